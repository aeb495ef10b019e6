#pragma once

#include "pimentostage/base/Counters.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/TrafficView.h"
#include "pimentostage/operator/Settings.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/sibling/AllowanceLender.h"
#include "src/backend/BackendClient.h"
#include "src/caller/CallerServer.h"
#include "src/daemon/ControlLoop.h"
#include "src/daemon/PurseBook.h"
#include "src/operator/OperatorServer.h"
#include "src/platform/ConfigWatcher.h"
#include "src/platform/StoreClient.h"

#include <memory>
#include <set>
#include <string>

namespace pimentostage {

/// One entry host's process: the control thread's state and the traffic threads around it.
class Node
    : public ControlPort
    , public HostStatus
{
public:
    Node(const Settings &settings, LogSink &log);
    ~Node() override;

    /// Starts all threads and listeners.
    /// @return nothing, or the Error that prevented it.
    leaf::result<void> start();

    /// Stops gracefully: turns not ready, finishes what runs, then leaves.
    void stop();

    void tokensWanted(const AccountName &account) override;
    [[nodiscard]] bool isReady() const override;
    [[nodiscard]] std::string statusJson() override;
    [[nodiscard]] std::string ownerJson(const std::string &service,
                                        const std::string &key) override;

private:
    void startControl();
    void pollHosts();
    void onConfigChange();
    void publish();
    void trackZones(const Configuration &configuration);
    void lendLocally(const AccountName &account);
    void tick();
    [[nodiscard]] Readiness readiness() const;

    const Settings settings_;
    LogSink &log_;
    Counters counters_;
    SnapshotPublisher<RoutingTable> routing_;
    SnapshotPublisher<TrafficView> views_;
    std::atomic<Readiness> readiness_ { Readiness::Starting };
    std::atomic<bool> stopping_ { false };

    // Owned by the control thread.
    ConfigState config_;
    RoutingTableBuilder tableBuilder_;
    FleetFacts facts_;
    std::map<ZoneName, ZoneState> zoneStates_;
    PurseBook purses_;
    std::map<AccountName, AllowanceLender> lenders_;
    std::vector<ListedHost> hosts_;

    BackendClient backends_;
    CallerService callers_;
    CallerServer callerServer_;
    OperatorServer operatorServer_;
    ControlLoop control_;
    StoreClient store_;
    ConfigWatcher watcher_;
};

} // namespace pimentostage
