#pragma once

#include "pimentostage/backend/ServiceVersions.h"
#include "pimentostage/platform/Configuration.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace pimentostage {

/// The orders of roll-outs and the states in the store, as a host knows them.
class RolloutOrders
{
public:
    RolloutOrders();

    /// Updates from the configuration in force.
    void update(const std::shared_ptr<const Configuration> &configuration,
                const ServiceVersions &versions, TimePoint now);

    /// @return the services whose roll-outs are open: ordered and not ended, or ended and not
    ///         reported to the operators.
    [[nodiscard]] std::set<ServiceName> openServices() const;
    [[nodiscard]] bool isOpen(const ServiceName &service) const;
    /// @return the order of @p service, or nullptr.
    [[nodiscard]] const Rollout *find(const ServiceName &service) const;
    /// @return the state of the last roll-out of @p service, or nullptr.
    [[nodiscard]] const RolloutState *state(const ServiceName &service) const;
    /// @return as state(), but only that of a roll-out that is open.
    [[nodiscard]] const RolloutState *openState(const ServiceName &service) const;
    /// @return the version in force of @p service; empty if it is unknown.
    [[nodiscard]] std::string versionInForce(const ServiceName &service) const;
    /// @return the time at which the order was written, on this host's clock; later than that if
    ///         this host was started after it.
    [[nodiscard]] TimePoint orderedAt(const ServiceName &service, TimePoint now) const;
    [[nodiscard]] const Configuration &configuration() const { return *configuration_; }

private:
    void trackDeletions();

    /// When this host first saw an order.
    struct SeenOrder
    {
        Rollout rollout_;
        TimePoint seenAt_;
    };

    std::shared_ptr<const Configuration> configuration_;
    std::map<ServiceName, std::string> versionsInForce_;
    std::map<ServiceName, SeenOrder> seen_;
    std::set<ServiceName> deleted_; ///< whose orders this host saw deleted
    /// Orders that equal a deleted one: version of the former order in the state at that time.
    std::map<ServiceName, Version> renewed_;
};

} // namespace pimentostage
