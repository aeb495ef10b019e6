#include "src/backend/BackendClient.h"

#include "pimentostage/backend/RangePlanner.h"
#include "src/backend/ActiveRequest.h"

#include <algorithm>
#include <random>
#include <utility>

namespace pimentostage {

namespace {

constexpr std::size_t kMaxReportedKeys = 32;
constexpr double kMinReportedRate = 4;
constexpr std::size_t kMinPruneSize = 64; // tracked requests
// Period of polling the queues with waiting requests, in addition to the end of each attempt.
constexpr Duration kQueuePollPeriod = std::chrono::milliseconds(10);

} // namespace

BackendClient::Worker::Worker(const BackendClientOptions &options, std::size_t index,
                              AdmissionQueues &queues,
                              const SnapshotPublisher<RoutingTable> &routing,
                              TrafficListener &listener, LogSink &log, MetricRegistry &metrics)
    : options_(options)
    , queues_(queues)
    , routing_(routing)
    , listener_(listener)
    , log_(log)
    , counters_(metrics)
    , random_(std::random_device {}())
    , http_(makeHttpClient(options, index))
{
    http_->post([this] { scheduleKeyLoadReport(); });
}

HttpClientOptions BackendClient::Worker::httpClientOptions(const BackendClientOptions &options,
                                                           std::size_t index)
{
    HttpClientOptions http;
    http.threadName_ = "backend-" + std::to_string(index);
    const auto threads = static_cast<long>(options.loop_ ? 1 : options.threads_);
    http.connectionsPerPeer_ = std::max(1L, options.connectionsPerBackend_ / threads);
    http.maxIdleAge_ = options.maxIdleAge_;
    http.maxUnfinishedBytes_ = kMaxUnfinishedBytes / static_cast<std::size_t>(threads);
    return http;
}

std::unique_ptr<HttpClient> BackendClient::Worker::makeHttpClient(
    const BackendClientOptions &options, std::size_t index)
{
    const HttpClientOptions http = httpClientOptions(options, index);
    return options.loop_ ? std::make_unique<HttpClient>(http, *options.loop_)
                         : std::make_unique<HttpClient>(http);
}

void BackendClient::Worker::countKey(const ForwardRequest &request)
{
    if (request.key_.empty())
        return;
    KeyCounts &counts = keyCounts_[request.service_];
    counts.isOrdered_ = request.orderedKey_.has_value();
    if (counts.isOrdered_)
        counts.hitters_.add(std::to_string(*request.orderedKey_ / RangeLoad::kKeysPerBucket));
    else
        counts.hitters_.add(request.key_);
}

void BackendClient::Worker::scheduleKeyLoadReport()
{
    http_->runAt(BootClock::now() + kKeyLoadPeriod, [this] {
        for (auto &[service, counts] : keyCounts_) {
            if (counts.hitters_.total() > 0)
                listener_.onKeyLoad(keyLoad(service, counts));
        }
        scheduleKeyLoadReport();
    });
}

KeyLoad BackendClient::Worker::keyLoad(const ServiceName &service, KeyCounts &counts)
{
    HeavyHitters &hitters = counts.hitters_;
    const double perSecond = 1 / toSeconds(kKeyLoadPeriod);
    KeyLoad load;
    load.service_ = service;
    load.total_ = perSecond * static_cast<double>(hitters.total());
    for (const KeyCount &key : hitters.takeCounts()) {
        const double rate = perSecond * static_cast<double>(key.count_);
        const bool isFrequent = counts.isOrdered_ || rate >= kMinReportedRate;
        if (load.keys_.size() < kMaxReportedKeys && isFrequent)
            load.keys_.push_back({ key.key_, rate });
    }
    return load;
}

std::shared_ptr<AdmissionQueue> BackendClient::Worker::queue(const AdmissionQueueKey &key)
{
    std::shared_ptr<AdmissionQueue> &queue = cachedQueues_[key];
    if (!queue)
        queue = queues_.find(key);
    return queue;
}

void BackendClient::Worker::startPolling(const std::shared_ptr<AdmissionQueue> &queue)
{
    polledQueues_.insert(queue);
    if (!isPolling_)
        scheduleQueuePoll();
}

void BackendClient::Worker::scheduleQueuePoll()
{
    isPolling_ = true;
    http_->runAt(BootClock::now() + kQueuePollPeriod, [this] {
        const TimePoint now = BootClock::now();
        for (const auto &queue : polledQueues_) {
            queue->expire(now);
            queue->admitNext(now);
        }
        std::erase_if(polledQueues_, [](const auto &queue) { return queue->waiting() == 0; });
        isPolling_ = !polledQueues_.empty();
        if (isPolling_)
            scheduleQueuePoll();
    });
}

RouteState &BackendClient::Worker::routeState(const ForwardRequest &request)
{
    std::unique_ptr<RouteState> &state = routeStates_[{ request.service_, request.route_ }];
    if (!state)
        state = std::make_unique<RouteState>();
    return *state;
}

ServiceBudgets &BackendClient::Worker::budgets(const ForwardRequest &request)
{
    return budgets_.try_emplace(request.service_, options_).first->second;
}

void BackendClient::Worker::forward(ForwardRequest request,
                                    std::shared_ptr<Abandonment> abandonment, ForwardDone done)
{
    http_->post([this, request = std::move(request), abandonment = std::move(abandonment),
                 done = std::move(done)]() mutable {
        countKey(request);
        auto active = std::make_shared<ActiveRequest>(*this, std::move(request), std::move(done));
        track(active);
        active->start(abandonment);
    });
}

void BackendClient::Worker::track(const std::shared_ptr<ActiveRequest> &request)
{
    if (activeRequests_.size() >= pruneSize_) {
        std::erase_if(activeRequests_, [](const auto &weak) { return weak.expired(); });
        pruneSize_ = std::max(kMinPruneSize, 2 * activeRequests_.size());
    }
    activeRequests_.push_back(request);
}

void BackendClient::Worker::giveUpAll()
{
    http_->post([this] {
        for (const auto &weak : std::exchange(activeRequests_, {})) {
            if (const auto request = weak.lock())
                request->onHostStopping();
        }
    });
}

BackendClient::BackendClient(const BackendClientOptions &options,
                             const SnapshotPublisher<RoutingTable> &routing,
                             TrafficListener &listener, LogSink &log, MetricRegistry &metrics)
    : queues_(std::make_unique<AdmissionQueues>(options.queue_, metrics))
{
    const std::size_t threads = options.loop_ ? 1 : options.threads_;
    for (std::size_t i = 0; i < threads; ++i) {
        workers_.push_back(
            std::make_unique<Worker>(options, i, *queues_, routing, listener, log, metrics));
    }
}

BackendClient::~BackendClient() = default;

void BackendClient::forward(ForwardRequest request, std::shared_ptr<Abandonment> abandonment,
                            ForwardDone done)
{
    const std::size_t index = next_.fetch_add(1, std::memory_order_relaxed) % workers_.size();
    workers_[index]->forward(std::move(request), std::move(abandonment), std::move(done));
}

void BackendClient::giveUpAll()
{
    for (const std::unique_ptr<Worker> &worker : workers_)
        worker->giveUpAll();
}

} // namespace pimentostage
