#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MemoryBudget.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/TrafficView.h"
#include "pimentostage/operator/Settings.h"
#include "src/backend/BackendClient.h"
#include "src/caller/CallerServer.h"
#include "src/daemon/ControlPlane.h"
#include "src/operator/OperatorServer.h"

#include <string>

namespace pimentostage {

class StopSchedule;

/// One entry host's process: the control plane, the traffic threads and the listeners.
class Node
    : private TokenDemandListener
    , private TrafficListener
    , private HostStatus
{
public:
    Node(const Settings &settings, const PeerAdapters &adapters, LogSink &log);
    ~Node() override;

    /// Starts all threads and listeners.
    /// @return nothing, or the Error of the first step that failed.
    leaf::result<void> start();

    /// Stops gracefully: becomes not ready, resigns from all roles, finishes the running requests,
    /// then removes the registration and stops all threads.
    void stop();

private:
    void stopThreads();
    /// Closes connections and waits for running requests until @p schedule is finished.
    void finishRequests(const StopSchedule &schedule);
    /// Logs @p event of a stop that was signalled at @p signalledAt.
    void logStop(const char *event, TimePoint signalledAt);
    void onTokensNeeded(const AccountName &account) override;
    void onBackendCold(const BackendName &backend) override;
    void onBackendWarm(const BackendName &backend) override;
    void onKeyLoad(const KeyLoad &load) override;
    [[nodiscard]] bool isReady() const override;
    [[nodiscard]] std::string statusJson() override;
    [[nodiscard]] std::string ownerJson(const std::string &service,
                                        const std::string &key) override;

    const Settings settings_;
    LogSink &log_;
    MetricRegistry metrics_;
    SnapshotPublisher<RoutingTable> routing_;
    SnapshotPublisher<TrafficView> views_;
    const std::shared_ptr<MemoryBudget> memory_; ///< of all peers' messages
    /// The thread shared by caller and back-end traffic; nullptr if each has its own threads.
    const std::unique_ptr<EventLoop> trafficLoop_;
    ControlPlane control_;
    BackendClient backends_;
    CallerService callers_;
    CallerServer callerServer_;
    OperatorServer operatorServer_;
    const std::unique_ptr<OperatorServer> readyServer_; ///< nullptr if no address is configured
};

} // namespace pimentostage
