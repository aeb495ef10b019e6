#pragma once

#include "pimentostage/base/Counters.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/TrafficView.h"
#include "pimentostage/operator/Settings.h"
#include "pimentostage/platform/ConfigState.h"
#include "src/daemon/AllowanceControl.h"
#include "src/daemon/ControlLoop.h"
#include "src/daemon/LocalSender.h"
#include "src/daemon/MemberControl.h"
#include "src/daemon/PlacementControl.h"
#include "src/daemon/PurseBook.h"
#include "src/daemon/RoleControl.h"
#include "src/platform/ConfigWatcher.h"
#include "src/platform/StoreClient.h"
#include "src/sibling/SiblingLinks.h"

#include <atomic>
#include <memory>
#include <string>

namespace pimentostage {

/// All mutable control state of a host, and the one thread that owns it.
///
/// Publishes what traffic threads read. Public functions may be called on any thread but the
/// control thread, unless they say otherwise.
class ControlPlane : private RoleListener
{
public:
    ControlPlane(const Settings &settings, SnapshotPublisher<RoutingTable> &routing,
                 SnapshotPublisher<TrafficView> &views, LogSink &log, Counters &counters);
    ~ControlPlane() override;

    /// Starts the thread's work and listens for siblings.
    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start();

    /// Turns not ready, gives roles up and tells the siblings. Waits a bounded time for the store.
    void leave();
    /// Ends the thread.
    void stop();

    /// Spenders of @p account wait. Returns at once.
    void tokensWanted(const AccountName &account);
    /// Traffic noticed that a cold start has begun or ended. Returns at once.
    void backendWarmth(const BackendWarmth &warmth);
    /// What a traffic thread measured of a keyed service. Returns at once.
    void keyLoad(const KeyLoad &load);

    [[nodiscard]] Readiness readiness() const { return readiness_; }
    /// @return a JSON object about this host.
    [[nodiscard]] std::string statusJson();

private:
    void onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now) override;
    void onRoleLost(const RoleName &role) override;

    void startWork();
    void pollHosts();
    void onHosts(const std::vector<ListedHost> &hosts);
    void onConfigPush(const ConfigPush &push);
    void onOwnWrite(const StoredObject &object);
    void onSiblingMessage(const MemberUpdate &from, const SiblingMessage &message);
    void onRouterGrant(const MemberUpdate &from, const RouterGrant &message, TimePoint now);
    void onConfigChange();
    void applyWarmth(const BackendWarmth &warmth, bool isNews);
    void sumKeyLoad(const KeyLoad &load);
    void tellKeyLoads(TimePoint now);
    void expireWarmups(TimePoint now);
    void tick();
    void publish();
    void trackZones(const Configuration &configuration);
    void updateGauges(TimePoint now);
    [[nodiscard]] Readiness readinessAt(TimePoint now) const;

    /// Passes a sibling's message to the part that takes it; an overload for each message.
    struct Dispatcher;

    const Settings settings_;
    const MemberUpdate self_;
    SnapshotPublisher<RoutingTable> &routing_;
    SnapshotPublisher<TrafficView> &views_;
    LogSink &log_;
    Counters &counters_;
    std::atomic<Readiness> readiness_ { Readiness::Starting };
    std::atomic<bool> leaving_ { false };

    ConfigState config_;
    std::uint64_t publishedDigest_ = 0;
    Readiness publishedReadiness_ = Readiness::Starting;
    RoutingTableBuilder tableBuilder_;
    FleetFacts facts_;
    std::map<ZoneName, ZoneState> zoneStates_;
    PurseBook purses_;
    std::vector<ListedHost> hosts_;
    std::map<ServiceName, KeyLoad> keyLoads_; ///< of all traffic threads since the last telling
    TimePoint nextKeyLoads_ {};

    ControlLoop loop_;
    StoreClient store_;
    ConfigWatcher watcher_;
    SiblingLinks links_;
    LocalSender routers_; ///< reaches all entry hosts, this one included
    MemberControl members_;
    RoleControl roles_;
    PlacementControl placement_;
    AllowanceControl allowance_;
};

} // namespace pimentostage
