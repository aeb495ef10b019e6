#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "pimentostage/backend/RangeLink.h"
#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Counters.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/TrafficView.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/ReaderTree.h"
#include "src/daemon/AllowanceControl.h"
#include "src/daemon/ConfigPublisher.h"
#include "src/daemon/ControlOptions.h"
#include "src/daemon/HostRegistrar.h"
#include "src/daemon/LocalSender.h"
#include "src/daemon/MemberControl.h"
#include "src/daemon/PlacementControl.h"
#include "src/daemon/PurseBook.h"
#include "src/daemon/RangeControl.h"
#include "src/daemon/RoleControl.h"
#include "src/daemon/StoreReading.h"

#include <atomic>
#include <memory>
#include <vector>

namespace pimentostage {

/// How a ControlCore reaches its peers and tells the time.
struct ControlPorts
{
    ObjectStore &store_;
    SiblingSender &siblings_; ///< reaches all entry hosts but this one
    BackendLink &backends_;
    RangeLink &ranges_;
    RunAfter runAfter_;
    Clock clock_;
    std::uint64_t seed_ = 0; ///< of random choices and nonces; differs between processes
};

/// All mutable control state of a host, free of threads, sockets and clocks.
///
/// Publishes what traffic threads read. All functions are called on the control thread, unless
/// they say otherwise.
class ControlCore : private RoleListener
{
public:
    ControlCore(const MemberUpdate &self, const ControlOptions &options, const ControlPorts &ports,
                SnapshotPublisher<RoutingTable> &routing, SnapshotPublisher<TrafficView> &views,
                LogSink &log, Counters &counters);

    /// Starts to read the configuration and the host list.
    void start();
    /// Must be called every ControlOptions::tick_.
    void tick();
    /// Takes a message of a sibling.
    void onSiblingMessage(const MemberUpdate &from, const SiblingMessage &message);

    /// Turns not ready, gives roles up and notifies the siblings.
    void leave();
    /// Ends this host's registration, after its last request.
    /// @param done called once the store has answered, or at once if there is no registration.
    void endRegistration(std::function<void()> done);
    /// @return writes to the store that have not been answered yet.
    [[nodiscard]] std::size_t pendingWrites() const { return roles_.pendingWrites(); }

    /// Spenders of @p account wait.
    void onTokensWanted(const AccountName &account);
    /// Takes an observation of a cold start. @param isObservedHere whether it is this host's own.
    void applyWarmth(const BackendWarmth &warmth, bool isObservedHere, TimePoint now);
    /// Adds up what traffic threads measured of a keyed service.
    void sumKeyLoad(const KeyLoad &load);

    /// @return what this host last published of its readiness. Any thread may ask.
    [[nodiscard]] Readiness readiness() const { return readiness_; }
    [[nodiscard]] const ConfigState &config() const { return config_; }
    [[nodiscard]] Membership &membership() { return members_.membership(); }
    [[nodiscard]] const RoleControl &roles() const { return roles_; }
    /// @return whether the last call to the store succeeded.
    [[nodiscard]] bool isStoreConnected() const { return reading_.isConnected(); }

private:
    void onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now) override;
    void onRoleLost(const RoleName &role) override;

    void onFeedRead(bool isFirst);
    [[nodiscard]] bool isConfigurationKnown() const;
    void readEntryHosts(const Configuration &configuration);
    void pollHosts();
    void onHosts(const std::vector<ListedHost> &hosts, TimePoint now);
    void askForLeavingHosts();
    void onLeavingHostsPull(const HostName &from, TimePoint now);
    void onLeavingHosts(const LeavingHosts &message, TimePoint now);
    void onConfigPush(const ConfigPush &push);
    void onOwnWrite(const StoredObject &object);
    void onRouterGrant(const MemberUpdate &from, const RouterGrant &message, TimePoint now);
    void onConfigChange(TimePoint now);
    void reportKeyLoads(TimePoint now);
    void expireWarmups(TimePoint now);
    void publish(TimePoint now);
    void trackZones(const Configuration &configuration, TimePoint now);
    void updateGauges(TimePoint now);
    void keepRegistrations(const Configuration &configuration, TimePoint now);
    [[nodiscard]] Readiness readinessAt(TimePoint now) const;
    [[nodiscard]] TimePoint trustedUntil(Duration age, TimePoint now) const;

    /// Passes a sibling's message to the part that takes it; an overload for each message.
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
    Counters &counters_;
    std::atomic<Readiness> readiness_ { Readiness::Starting };
    bool leaving_ = false;
    const std::shared_ptr<ConfigTrust> trust_ = std::make_shared<ConfigTrust>();

    ConfigState config_;
    std::uint64_t publishedDigest_ = 0;
    Readiness publishedReadiness_ = Readiness::Starting;
    RoutingTableBuilder tableBuilder_;
    FleetFacts facts_;
    std::map<ZoneName, ZoneState> zoneStates_;
    PurseBook purses_;
    Random random_;
    std::vector<ListedHost> hosts_;
    std::optional<TimePoint> listReadAt_; ///< when the host list was last read
    bool isListReadable_ = false; ///< it was read by the last call
    bool hasAskedForList_ = false; ///< it was read, or could not be
    std::map<ServiceName, KeyLoad> keyLoads_; ///< of all traffic threads since the last report
    TimePoint nextKeyLoads_ {};

    LocalSender routers_; ///< reaches all entry hosts, this one included
    ReaderTree readerTree_;
    StoreReading reading_;
    HostRegistrar registrar_;
    TimePoint nextGauges_ {};
    MemberControl members_;
    ConfigPublisher publisher_;
    RoleControl roles_;
    PlacementControl placement_;
    RangeControl ranges_;
    AllowanceControl allowance_;
};

} // namespace pimentostage
