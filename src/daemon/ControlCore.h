#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "pimentostage/backend/RangeLink.h"
#include "pimentostage/backend/ZoneReturns.h"
#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/TrafficView.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/ReaderTree.h"
#include "src/daemon/AllowanceControl.h"
#include "src/daemon/ConfigPublisher.h"
#include "src/daemon/ControlOptions.h"
#include "src/daemon/FeedReader.h"
#include "src/daemon/HostRegistrar.h"
#include "src/daemon/LocalTokenBuckets.h"
#include "src/daemon/LoopbackSender.h"
#include "src/daemon/MemberControl.h"
#include "src/daemon/PlacementControl.h"
#include "src/daemon/RangeControl.h"
#include "src/daemon/RoleControl.h"
#include "src/daemon/RolloutControl.h"
#include "src/daemon/RolloutHost.h"
#include "src/daemon/RoomControl.h"

#include <atomic>
#include <memory>
#include <set>
#include <vector>

namespace pimentostage {

/// Interfaces through which a ControlCore reaches its peers, timers and the clock.
struct ControlPorts
{
    ObjectStore &store_;
    SiblingSender &siblings_; ///< reaches all entry hosts except this one
    BackendLink &backends_;
    RangeLink &ranges_;
    RunAfter runAfter_;
    Clock clock_;
    std::uint64_t seed_ = 0; ///< for random choices and nonces; must differ between processes
};

/// All mutable control state of a host, independent of threads, sockets and real clocks.
///
/// Publishes the snapshots that traffic threads read. All functions must be called on the control
/// thread unless stated otherwise.
class ControlCore : private RoleListener
{
public:
    ControlCore(const MemberUpdate &self, const ControlOptions &options, const ControlPorts &ports,
                SnapshotPublisher<RoutingTable> &routing, SnapshotPublisher<TrafficView> &views,
                LogSink &log, MetricRegistry &metrics);

    /// Starts reading the configuration and the host list.
    void start();
    /// Must be called every ControlOptions::tick_.
    void tick();
    /// Handles a message from a sibling.
    void onSiblingMessage(const MemberUpdate &from, const SiblingMessage &message);

    /// Becomes not ready, resigns from all roles and notifies the siblings.
    void leave();
    /// Removes this host's registration; call it after the last request has ended.
    /// @param done called once the store has answered, or immediately if there is no registration.
    void endRegistration(std::function<void()> done);
    /// @return the number of writes to the store without an answer yet.
    [[nodiscard]] std::size_t pendingWrites() const { return roles_.pendingWrites(); }

    /// Called when requests wait for tokens of @p account.
    void onTokensNeeded(const AccountName &account);
    /// Applies an observation that a back end has become cold or warm.
    /// @param isObservedHere whether this host made the observation.
    void applyBackendColdState(const BackendColdState &coldState, bool isObservedHere,
                               TimePoint now);
    /// Adds the load that one traffic thread measured for a keyed service to the current period.
    void addKeyLoad(const KeyLoad &load);

    /// @return the readiness that this host last published. May be called on any thread.
    [[nodiscard]] Readiness readiness() const { return readiness_; }
    [[nodiscard]] const ConfigState &config() const { return config_; }
    [[nodiscard]] Membership &membership() { return members_.membership(); }
    [[nodiscard]] const RoleControl &roles() const { return roles_; }
    /// @return whether the last call to the store succeeded.
    [[nodiscard]] bool isStoreConnected() const { return feedReader_.isConnected(); }

private:
    void onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now) override;
    void onRoleLost(const RoleName &role) override;

    void onFeedRead(bool isFirst);
    [[nodiscard]] bool isConfigurationComplete() const;
    void updateEntryHosts(const Configuration &configuration);
    void pollHosts();
    void onHostList(const std::vector<ListedHost> &hosts, TimePoint now);
    void requestLeavingHosts();
    void onLeavingHostsPull(const HostName &from, TimePoint now);
    void onLeavingHosts(const LeavingHosts &message, TimePoint now);
    void onConfigPush(const ConfigPush &push);
    void onOwnWrite(const StoredObject &object);
    void onRouterGrant(const MemberUpdate &from, const RouterGrant &message, TimePoint now);
    void onConfigChange(TimePoint now);
    void reportKeyLoads(TimePoint now);
    void expireWarmups(TimePoint now);
    void publish(TimePoint now);
    void updateRouters();
    void trackZones(const Configuration &configuration, TimePoint now);
    void onZoneReturn(const ZoneName &zone, TimePoint now);
    void settleReturnedZones(TimePoint now);
    void updateGauges(TimePoint now);
    void maintainRegistrations(const Configuration &configuration, TimePoint now);
    [[nodiscard]] Readiness readinessAt(const Configuration &configuration, TimePoint now) const;
    [[nodiscard]] TimePoint configValidUntil(Duration age, TimePoint now) const;

    /// Routes a sibling's message to its handler; one overload per message type.
    struct Dispatcher;

    const MemberUpdate self_;
    const ControlOptions options_;
    ObjectStore &store_;
    SiblingSender &siblings_;
    const RunAfter runAfter_;
    const Clock clock_;
    SnapshotPublisher<RoutingTable> &routing_;
    SnapshotPublisher<TrafficView> &views_;
    LogSink &log_;
    MetricRegistry &metrics_;
    std::atomic<Readiness> readiness_ { Readiness::Starting };
    bool isLeaving_ = false;
    const Addressing addressing_;
    const std::shared_ptr<ConfigValidity> configValidity_;

    ConfigState config_;
    std::uint64_t publishedDigest_ = 0;
    Readiness publishedReadiness_ = Readiness::Starting;
    RoutingTableBuilder tableBuilder_;
    std::set<BackendName> coldBackends_; ///< whose cold start has begun; may have ended since
    FleetState fleetState_;
    std::map<ZoneName, ZoneState> zoneStates_;
    ZoneReturns zoneReturns_;
    LocalTokenBuckets tokenBuckets_;
    Random random_;
    std::vector<ListedHost> hosts_;
    std::optional<TimePoint> hostListReadAt_; ///< when the host list was last read successfully
    bool isHostListReadable_ = false; ///< whether the last read of the host list succeeded
    bool hasHostListReply_ = false; ///< whether the first read has ended, successfully or not
    std::map<ServiceName, KeyLoad> keyLoads_; ///< sums over all threads since the last report
    TimePoint nextKeyLoadReport_ {};

    LoopbackSender routers_; ///< reaches all entry hosts, this one included
    ReaderTree readerTree_;
    FeedReader feedReader_;
    HostRegistrar registrar_;
    /// Its holder is the only host that removes registrations of absent hosts.
    RoleName registrationRole_;
    TimePoint nextGaugeUpdate_ {};
    std::uint64_t routersViewNumber_ = 0; ///< of the view last passed to placement_; 0 for none
    MemberControl members_;
    RoomControl room_;
    ConfigPublisher publisher_;
    RoleControl roles_;
    PlacementControl placement_;
    RangeControl ranges_;
    AllowanceControl allowance_;
    RolloutHost rolloutHost_;
    RolloutControl rollouts_;
};

} // namespace pimentostage
