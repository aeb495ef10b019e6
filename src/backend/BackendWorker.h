#pragma once

#include "pimentostage/backend/HeavyHitters.h"
#include "pimentostage/backend/LatencyQuantile.h"
#include "pimentostage/backend/ShareBudget.h"
#include "src/backend/AdmissionQueue.h"
#include "src/backend/BackendClient.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace pimentostage {

/// From this part of the latencies on an attempt is hedged.
inline constexpr double kHedgeQuantile = 0.95;
/// Keys of one service that are counted apart in one period.
inline constexpr std::size_t kKeysCounted = 128;

/// Budgets of one service, shared by all requests of one traffic thread.
struct ServiceBudgets
{
    explicit ServiceBudgets(const BackendClientOptions &options)
        : retries_(options.retryShare_, options.budgetReserve_)
        , hedges_(options.hedgeShare_, options.budgetReserve_)
    { }

    ShareBudget retries_;
    ShareBudget hedges_;
};

/// Latency of one route, of all requests of one traffic thread.
struct RouteState
{
    LatencyQuantile latency_ { kHedgeQuantile };
};

struct BackendCounters
{
    explicit BackendCounters(Counters &counters)
        : attempts_(
            counters.counter("pimento_backend_attempts_total", "Attempts sent to back ends."))
        , hedges_(counters.counter("pimento_backend_hedges_total", "Attempts that were hedges."))
        , failures_(counters.counter("pimento_backend_failures_total",
                                     "Attempts that ended without a usable answer."))
        , mismatches_(counters.counter("pimento_backend_mismatches_total",
                                       "Answers that belonged to another request."))
        , waits_(counters.counter("pimento_queue_waits_total",
                                  "Requests that had to wait for room at a back end."))
        , waited_(counters.histogram("pimento_queue_wait_seconds",
                                     "Time for which requests waited before they were sent."))
        , latency_(counters.histogram("pimento_backend_latency_seconds",
                                      "Time from sending an attempt to its whole answer."))
    { }

    Counter &attempts_;
    Counter &hedges_;
    Counter &failures_;
    Counter &mismatches_;
    Counter &waits_;
    DurationHistogram &waited_;
    DurationHistogram &latency_;
};

/// One traffic thread with its connections to back ends.
class BackendClient::Worker
{
public:
    Worker(const BackendClientOptions &options, std::size_t index, AdmissionQueues &queues,
           const SnapshotPublisher<RoutingTable> &routing, TrafficListener &listener, LogSink &log,
           Counters &counters);

    void forward(ForwardRequest request, std::shared_ptr<Abandonment> abandonment,
                 ForwardDone done);

private:
    class Run;

    static HttpLoopOptions loopOptions(const BackendClientOptions &options, std::size_t index);

    static std::unique_ptr<HttpLoop> makeLoop(const BackendClientOptions &options,
                                              std::size_t index);

    void countKey(const ForwardRequest &request);

    void reportKeyLoadLater();

    /// Keys of one service counted in one period; of ordered keys, buckets of them.
    struct KeyCounts
    {
        HeavyHitters hitters_ { kKeysCounted };
        bool isOrdered_ = false;
    };

    static KeyLoad keyLoad(const ServiceName &service, KeyCounts &counts);

    /// @return the queue called @p name.
    std::shared_ptr<AdmissionQueue> queue(const std::string &name);

    /// Looks at @p queue every kQueuePeriod for as long as requests wait there.
    void watch(const std::shared_ptr<AdmissionQueue> &queue);

    void watchLater();

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
    std::unordered_map<std::string, std::shared_ptr<AdmissionQueue>> knownQueues_;
    std::set<std::shared_ptr<AdmissionQueue>> watched_;
    bool isWatching_ = false;
    std::unique_ptr<HttpLoop> loop_;
};

} // namespace pimentostage
