#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "pimentostage/backend/HotKeyTracker.h"
#include "pimentostage/backend/ShardCoordinator.h"
#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Counters.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pimentostage {

/// Runs a ShardCoordinator for each keyed service that this host coordinates.
///
/// Lives on the control thread.
class PlacementControl
{
public:
    /// Passes on an object that this host has written itself.
    using OnOwnWrite = std::function<void(const StoredObject &)>;
    /// @return whether this host may act in a role at a time.
    using Holds = std::function<bool(const RoleName &, TimePoint)>;

    /// @param routers takes grants to entry hosts, this one included.
    PlacementControl(ObjectStore &store, BackendLink &backends, SiblingSender &routers, Clock clock,
                     Holds holds, std::uint64_t seed, LogSink &log, Counters &counters,
                     OnOwnWrite onOwnWrite);

    /// Takes services and back ends from the configuration in force.
    void onConfig(const Configuration &configuration, const std::set<std::string> &leavingHosts,
                  TimePoint now);

    /// Replaces the entry hosts that are believed to run.
    void setRouters(const std::set<Member> &routers);
    void onMessage(const Member &router, const RouterGrantReply &message, TimePoint now);

    void onRoleGained(const RoleName &role, Epoch epoch, TimePoint now);
    void onRoleLost(const RoleName &role);
    void tick(TimePoint now);

    /// Takes what @p host measured of a service, to find its hot keys.
    void onKeyLoad(const HostName &host, const KeyLoad &load, TimePoint now);

    /// @return how many units are on their way between owners, of all services coordinated here.
    [[nodiscard]] std::size_t movingUnits() const;

private:
    struct Coordinated
    {
        Service service_;
        std::optional<Epoch> roleEpoch_; ///< while this host has the role
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
    void updateCoordinator(Coordinated &coordinated, const Service &service, TimePoint now);
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
    std::map<ServiceName, Coordinated> services_;
};

} // namespace pimentostage
