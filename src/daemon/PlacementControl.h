#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "pimentostage/backend/HotKeyTracker.h"
#include "pimentostage/backend/ShardCoordinator.h"
#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pimentostage {

/// Runs a ShardCoordinator for each keyed service with hashed keys.
///
/// Lives on the control thread.
class PlacementControl
{
public:
    /// Called with an object that this host has written to the store.
    using OnOwnWrite = std::function<void(const StoredObject &)>;
    /// @return whether this host may act in a role at the given time.
    using Holds = std::function<bool(const RoleName &, TimePoint)>;

    /// @param routers sends grants to entry hosts, this one included.
    PlacementControl(ObjectStore &store, BackendLink &backends, SiblingSender &routers, Clock clock,
                     Holds holds, std::uint64_t seed, LogSink &log, MetricRegistry &metrics,
                     OnOwnWrite onOwnWrite);

    /// Updates services and back ends from the configuration in force.
    void onConfig(const Configuration &configuration, const std::set<std::string> &leavingHosts,
                  TimePoint now);

    /// Replaces the set of entry hosts assumed to be running.
    void setRouters(const std::set<Member> &routers);
    void onMessage(const Member &router, const RouterGrantReply &message, TimePoint now);

    void onRoleGained(const RoleName &role, Epoch epoch, TimePoint now);
    void onRoleLost(const RoleName &role);
    void tick(TimePoint now);

    /// Records the load that @p host measured for a service, to detect hot keys.
    void onKeyLoad(const HostName &host, const KeyLoad &load, TimePoint now);

    /// @return the number of units that are moving between owners, over all services coordinated
    /// here.
    [[nodiscard]] std::size_t movingUnits() const;

private:
    struct CoordinatedService
    {
        Service service_;
        std::optional<Epoch> roleEpoch_; ///< set while this host holds the role
        std::unique_ptr<ShardCoordinator> coordinator_;
        std::map<BackendName, Address> addresses_;
        HotKeyTracker hotKeys_;
    };

    void perform(const ServiceName &service, const CoordinatorActions &actions);
    void perform(const ServiceName &service, const ReadPlacement &read);
    void perform(const ServiceName &service, const WritePlacement &write);
    void perform(const ServiceName &service, const SendGrant &send);
    void perform(const ServiceName &service, const SendRouterGrant &send);
    void perform(const ServiceName &service, const ProbeBackend &probe);
    void perform(const ServiceName &service, const MoveDecided &move);
    void updateCoordinator(CoordinatedService &coordinated, const Service &service, TimePoint now);
    void onProbeReply(const ServiceName &service, const BackendName &backend);
    void onWriteReply(const ServiceName &service, const Placement &placement,
                      const Reply<WriteResult> &reply);
    void onGrantReply(const ServiceName &service, const BackendName &backend,
                      const std::optional<GrantReply> &reply);
    ShardCoordinator *find(const ServiceName &service);

    ObjectStore &store_;
    BackendLink &backends_;
    SiblingSender &routers_;
    const Clock clock_;
    const Holds holds_;
    const std::uint64_t seed_;
    LogSink &log_;
    const OnOwnWrite onOwnWrite_;
    Counter &grants_;
    Counter &grantFailures_;
    Counter &moves_;
    std::set<Member> runningRouters_;
    std::map<ServiceName, CoordinatedService> services_;
};

} // namespace pimentostage
