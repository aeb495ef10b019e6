#pragma once

#include "pimentostage/backend/HotKeyTracker.h"
#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/backend/RequestQueue.h"
#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/Abandonment.h"
#include "src/base/HttpClient.h"

#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

class AdmissionQueue;
class AdmissionQueues;

/// A request to be run at a back end of one service.
struct ForwardRequest
{
    RequestId id_;
    ServiceName service_;
    RouteName route_;
    TeamName team_; ///< empty on open routes
    std::string key_; ///< empty for services that are not keyed
    std::optional<std::uint32_t> orderedKey_; ///< value of key_ for a service with ordered keys
    std::string method_;
    std::string path_;
    std::string host_; ///< virtual host given by the caller; empty if none
    std::vector<HttpHeader> headers_; ///< headers of the caller's request to pass on
    std::string body_;
    bool idempotent_ = false;
    double share_ = 1; ///< the team's weight when capacity is scarce
    double cost_ = 1; ///< relative cost of the request's kind
    std::uint32_t priority_ = 0; ///< 0 is served first when capacity is scarce
    std::uint32_t maxAttempts_ = 3;
    Duration target_ {}; ///< latency objective; zero if none
    TimePoint deadline_;
};

/// A back end's complete answer, or the reason why there is none.
using ForwardResult = std::variant<HttpAnswer, GiveUp>;
using ForwardDone = std::function<void(ForwardResult)>;

class EventLoop;
struct BackendProtocol;

struct BackendClientOptions
{
    const BackendProtocol *protocol_ = nullptr; ///< encoding of requests and answers
    EventLoop *loop_ = nullptr; ///< if set, the only thread to run on
    std::size_t threads_ = 2;
    long connectionsPerBackend_ = 13; ///< over all threads
    Duration maxIdleAge_ = std::chrono::seconds(15);
    /// Maximum number of rejections of a request that are followed by a resend.
    std::uint32_t maxRejections_ = std::numeric_limits<std::uint32_t>::max();
    double retryShare_ = 0.1;
    double budgetReserve_ = 10; ///< burst of retries, and of hedges, allowed per service
    double hedgeShare_ = 0.05;
    bool hedging_ = true;
    FairQueueOptions queue_;
    std::optional<AdmissionRule> admissionRule_; ///< chosen by the catalogue if empty
};

/// Receives observations of the traffic threads; called on them.
class TrafficListener
{
public:
    virtual ~TrafficListener() = default;
    /// The back end shed a request, was unreachable, or runs a new process.
    virtual void onBackendCold(const BackendName &backend) = 0;
    /// The back end has completed its warm-up.
    virtual void onBackendWarm(const BackendName &backend) = 0;
    /// Reports one traffic thread's load on a keyed service every kKeyLoadPeriod.
    virtual void onKeyLoad(const KeyLoad &load) = 0;
};

/// Runs requests at back ends on traffic threads of its own.
class BackendClient
{
public:
    BackendClient(const BackendClientOptions &options,
                  const SnapshotPublisher<RoutingTable> &routing, TrafficListener &listener,
                  LogSink &log, MetricRegistry &metrics);
    ~BackendClient();

    /// Runs @p request at a back end.
    /// @param abandonment signals that the caller has disconnected.
    /// @param done called once, on one of this client's threads.
    void forward(ForwardRequest request, std::shared_ptr<Abandonment> abandonment,
                 ForwardDone done);

    /// Gives up all running requests, for the end of a planned stop.
    void giveUpAll();

private:
    class Worker;

    std::unique_ptr<AdmissionQueues> queues_; ///< must outlive the workers
    std::vector<std::unique_ptr<Worker>> workers_;
    std::atomic<std::size_t> next_ { 0 };
};

} // namespace pimentostage
