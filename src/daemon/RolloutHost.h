#pragma once

#include "pimentostage/backend/RolloutTraffic.h"
#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/backend/ServiceVersions.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/sibling/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pimentostage {

/// The role whose holder decides about all roll-outs.
inline const RoleName kRolloutRole { "rollouts" };

/// This host's part in the roll-outs: follows which versions are allowed, reports outcomes to the
/// holder of the role `rollouts` and applies its leases.
///
/// Lives on the control thread. Does nothing where roll-outs are off.
class RolloutHost
{
public:
    /// @return the number of this host's requests that run at a back end.
    using RunningAt = std::function<std::uint32_t(const BackendName &)>;

    /// @param isOn whether roll-outs are on.
    /// @param hosts reaches all entry hosts, this one included.
    RolloutHost(const Member &self, bool isOn, SiblingSender &hosts, RunningAt runningAt,
                LogSink &log);

    /// Updates versions and roll-outs from the configuration in force.
    void onConfig(const std::shared_ptr<const Configuration> &configuration, TimePoint now);
    /// Reports outcomes every kReportPeriod while a roll-out runs.
    void tick(TimePoint now);
    void onMessage(const ExposureLeases &message);

    /// Sets which back ends the traffic threads may use.
    void addTo(FleetState &fleet) const;
    [[nodiscard]] const ServiceVersions &versions() const { return versions_; }
    /// @return the names of the back ends that get no keys.
    [[nodiscard]] std::set<std::string> withheldFromKeys() const;

    /// Period of the reports. A bad version is recognized within a few of them.
    static constexpr Duration kReportPeriod = std::chrono::milliseconds(250);

private:
    struct Running
    {
        Rollout rollout_;
        std::shared_ptr<RolloutTraffic> traffic_;
        bool couldUseCurrent_ = false; ///< at the last report
        bool wasIdle_ = false; ///< at the last report no request ran at the version in force
    };

    void logVersion(const ServiceName &service, const AllowedVersions &versions);
    /// Logs once when the permission for the version in force has run out without a newer lease.
    void logExpiry(const ServiceName &service, Running &running, TimePoint now);
    [[nodiscard]] VersionOutcomeReport report(const ServiceName &service, Running &running,
                                              Epoch holder, TimePoint now) const;
    [[nodiscard]] bool isIdleAtCurrent(const ServiceName &service, const std::string &target) const;

    const Member self_;
    const bool isOn_;
    SiblingSender &hosts_;
    const RunningAt runningAt_;
    LogSink &log_;
    std::shared_ptr<const Configuration> configuration_;
    ServiceVersions versions_;
    std::map<ServiceName, std::string> loggedVersions_;
    std::map<ServiceName, Running> running_;
    TimePoint nextReport_ {};
};

} // namespace pimentostage
