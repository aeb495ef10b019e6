#pragma once

#include "pimentostage/backend/AttemptBudget.h"
#include "pimentostage/backend/HeavyHitters.h"
#include "pimentostage/backend/LatencyQuantile.h"
#include "pimentostage/backend/WorkEstimate.h"
#include "src/backend/AdmissionQueue.h"
#include "src/backend/BackendClient.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimentostage {

/// An attempt is hedged once it has taken longer than this quantile of the latencies.
inline constexpr double kHedgeQuantile = 0.95;
/// Maximum number of keys of one service that are counted individually per period.
inline constexpr std::size_t kMaxCountedKeys = 128;

/// Retry and hedge budgets of one service, shared by all its requests on one traffic thread.
struct ServiceBudgets
{
    explicit ServiceBudgets(const BackendClientOptions &options)
        : retries_(options.retryShare_, options.budgetReserve_)
        , hedges_(options.hedgeShare_, options.budgetReserve_)
    { }

    AttemptBudget retries_;
    AttemptBudget hedges_;
};

/// Latency and work of one route, over all its requests on one traffic thread.
struct RouteState
{
    LatencyQuantile latency_ { kHedgeQuantile };
    WorkEstimate work_;
};

struct BackendCounters
{
    explicit BackendCounters(MetricRegistry &metrics)
        : attempts_(
            metrics.counter("pimento_backend_attempts_total", "Attempts sent to back ends."))
        , hedges_(metrics.counter("pimento_backend_hedges_total", "Attempts that were hedges."))
        , failures_(metrics.counter("pimento_backend_failures_total",
                                    "Attempts that ended without a usable answer."))
        , failuresByKind_(failureCounters(metrics))
        , mismatches_(metrics.counter("pimento_backend_mismatches_total",
                                      "Answers that belonged to another request."))
        , givenUpAnswers_(
              metrics.counter("pimento_backend_answers_given_up_total",
                              "Unfinished answers given up because all together were too large."))
        , queueWaits_(metrics.counter("pimento_queue_waits_total",
                                      "Requests that had to wait for room at a back end."))
        , waitTime_(metrics.histogram("pimento_queue_wait_seconds",
                                      "Time for which requests waited before they were sent."))
        , latency_(metrics.histogram("pimento_backend_latency_seconds",
                                     "Time from sending an attempt to its whole answer."))
    { }

    /// Indexed by AttemptFailure.
    using FailureCounters = std::array<Counter *, kEnumCount<AttemptFailure>>;

    static FailureCounters failureCounters(MetricRegistry &metrics)
    {
        FailureCounters counters {};
        for (const auto &row : EnumTable<AttemptFailure>::kRows) {
            counters.at(static_cast<std::size_t>(row.value_))
                = &metrics.counter("pimento_backend_attempt_failures_total",
                                   "Attempts that ended without a usable answer, by failure.",
                                   { Label { "failure", std::string(row.name_) } });
        }
        return counters;
    }

    Counter &attempts_;
    Counter &hedges_;
    Counter &failures_;
    FailureCounters failuresByKind_;
    Counter &mismatches_;
    Counter &givenUpAnswers_;
    Counter &queueWaits_;
    DurationHistogram &waitTime_;
    DurationHistogram &latency_;
};

/// A traffic thread and its connections to back ends.
class BackendClient::Worker
{
public:
    Worker(const BackendClientOptions &options, std::size_t index, AdmissionQueues &queues,
           const SnapshotPublisher<RoutingTable> &routing, TrafficListener &listener, LogSink &log,
           MetricRegistry &metrics);

    void forward(ForwardRequest request, std::shared_ptr<Abandonment> abandonment,
                 ForwardDone done);

    void giveUpAll();

private:
    class ActiveRequest;

    static HttpClientOptions httpClientOptions(const BackendClientOptions &options,
                                               std::size_t index);

    static std::unique_ptr<HttpClient> makeHttpClient(const BackendClientOptions &options,
                                                      std::size_t index);

    void countKey(const ForwardRequest &request);

    void scheduleKeyLoadReport();

    /// Counts of one service's keys in the current period; ordered keys are counted in buckets.
    struct KeyCounts
    {
        HeavyHitters hitters_ { kMaxCountedKeys };
        bool isOrdered_ = false;
    };

    static KeyLoad keyLoad(const ServiceName &service, KeyCounts &counts);

    /// @return the queue with @p key, from the cache of this thread if possible.
    std::shared_ptr<AdmissionQueue> queue(const AdmissionQueueKey &key);

    /// Polls @p queue every kQueuePollPeriod while requests wait in it.
    void startPolling(const std::shared_ptr<AdmissionQueue> &queue);

    void scheduleQueuePoll();

    /// Registers @p request for giveUpAll().
    void track(const std::shared_ptr<ActiveRequest> &request);

    RouteState &routeState(const ForwardRequest &request);

    ServiceBudgets &budgets(const ForwardRequest &request);

    struct RouteKey
    {
        ServiceName service_;
        RouteName route_;

        auto operator<=>(const RouteKey &) const = default;
    };

    const BackendClientOptions options_;
    AdmissionQueues &queues_;
    SnapshotReader<RoutingTable> routing_;
    TrafficListener &listener_;
    LogSink &log_;
    BackendCounters counters_;
    Random random_;
    std::map<RouteKey, std::unique_ptr<RouteState>> routeStates_;
    std::map<ServiceName, ServiceBudgets> budgets_;
    std::map<ServiceName, KeyCounts> keyCounts_;
    std::map<AdmissionQueueKey, std::shared_ptr<AdmissionQueue>> cachedQueues_;
    std::set<std::shared_ptr<AdmissionQueue>> polledQueues_;
    bool isPolling_ = false;
    std::vector<std::weak_ptr<ActiveRequest>> activeRequests_; ///< finished ones are removed late
    std::size_t pruneSize_ = 0; ///< size of activeRequests_ at which finished ones are removed
    std::unique_ptr<HttpClient> http_;
};

} // namespace pimentostage
