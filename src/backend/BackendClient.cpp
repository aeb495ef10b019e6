#include "src/backend/BackendClient.h"

#include "pimentostage/backend/HeavyHitters.h"
#include "pimentostage/backend/LatencyQuantile.h"
#include "pimentostage/backend/ShareBudget.h"
#include "pimentostage/base/Hash.h"
#include "src/backend/BackendProtocol.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <random>

namespace pimentostage {

namespace {

constexpr double kHedgeQuantile = 0.95;
constexpr Duration kLeastHedgeDelay = std::chrono::milliseconds(1);
constexpr double kBudgetReserve = 10;
constexpr std::size_t kKeysCounted = 128;
constexpr std::size_t kKeysReported = 32;
constexpr double kLeastRateReported = 4;

/// Budgets and latency of one route, shared by all requests of one traffic thread.
struct RouteState
{
    RouteState(double retryShare, double hedgeShare)
        : retries_(retryShare, kBudgetReserve)
        , hedges_(hedgeShare, kBudgetReserve)
    { }

    ShareBudget retries_;
    ShareBudget hedges_;
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
        , latency_(counters.histogram("pimento_backend_latency_seconds",
                                      "Time from sending an attempt to its whole answer."))
    { }

    Counter &attempts_;
    Counter &hedges_;
    Counter &failures_;
    Counter &mismatches_;
    DurationHistogram &latency_;
};

} // namespace

/// One traffic thread with its connections to back ends.
class BackendClient::Worker
{
public:
    Worker(const BackendClientOptions &options, std::size_t index,
           const SnapshotPublisher<RoutingTable> &routing, TrafficListener &listener, LogSink &log,
           Counters &counters)
        : options_(options)
        , routing_(routing)
        , listener_(listener)
        , log_(log)
        , counters_(counters)
        , random_(std::random_device {}())
        , loop_(loopOptions(options, index))
    {
        loop_.post([this] { reportKeyLoadLater(); });
    }

    void forward(ForwardRequest request, ForwardDone done);

private:
    class Run;

    static HttpLoopOptions loopOptions(const BackendClientOptions &options, std::size_t index)
    {
        HttpLoopOptions loop;
        loop.threadName_ = "backend-" + std::to_string(index);
        const auto threads = static_cast<long>(options.threads_);
        loop.connectionsPerPeer_ = std::max(1L, options.connectionsPerBackend_ / threads);
        loop.mostIdleAge_ = options.mostIdleAge_;
        return loop;
    }

    void countKey(const ForwardRequest &request)
    {
        if (request.key_.empty())
            return;
        hitters_.try_emplace(request.service_, kKeysCounted).first->second.add(request.key_);
    }

    void reportKeyLoadLater()
    {
        loop_.runAt(BootClock::now() + kKeyLoadPeriod, [this] {
            for (auto &[service, hitters] : hitters_) {
                if (hitters.total() > 0)
                    listener_.onKeyLoad(keyLoad(service, hitters));
            }
            reportKeyLoadLater();
        });
    }

    static KeyLoad keyLoad(const ServiceName &service, HeavyHitters &hitters)
    {
        const double perSecond = 1 / toSeconds(kKeyLoadPeriod);
        KeyLoad load;
        load.service_ = service;
        load.total_ = perSecond * static_cast<double>(hitters.total());
        for (const KeyCount &key : hitters.take()) {
            const double rate = perSecond * static_cast<double>(key.count_);
            if (load.keys_.size() < kKeysReported && rate >= kLeastRateReported)
                load.keys_.push_back({ key.key_, rate });
        }
        return load;
    }

    RouteState &routeState(const ForwardRequest &request)
    {
        std::unique_ptr<RouteState> &state = routeStates_[{ request.service_, request.route_ }];
        if (!state)
            state = std::make_unique<RouteState>(options_.retryShare_, options_.hedgeShare_);
        return *state;
    }

    struct RouteKey
    {
        ServiceName service_;
        RouteName route_;

        auto operator<=>(const RouteKey &) const = default;
    };

    const BackendClientOptions options_;
    SnapshotReader<RoutingTable> routing_;
    TrafficListener &listener_;
    LogSink &log_;
    BackendCounters counters_;
    Random random_;
    std::map<RouteKey, std::unique_ptr<RouteState>> routeStates_;
    std::map<ServiceName, HeavyHitters> hitters_;
    HttpLoop loop_;
};

/// One request on its way; performs what its RequestExecution decides.
class BackendClient::Worker::Run : public std::enable_shared_from_this<Run>
{
public:
    Run(Worker &worker, ForwardRequest request, ForwardDone done)
        : worker_(worker)
        , request_(std::move(request))
        , done_(std::move(done))
        , route_(worker.routeState(request_))
        , execution_(policy(), route_.retries_, route_.hedges_)
    { }

    void start() { perform(execution_.start(BootClock::now())); }

private:
    struct InFlight
    {
        HttpLoop::TransferId transfer_ = 0;
        std::shared_ptr<BackendStats> stats_;
        BackendName backend_;
        std::shared_ptr<RoutingFence> fence_; ///< nullptr if the back end checks the fence
        UnitName unit_;
    };

    ExecutionPolicy policy() const
    {
        ExecutionPolicy policy;
        policy.idempotent_ = request_.idempotent_;
        policy.waitsForOwner_ = !request_.key_.empty();
        policy.deadline_ = request_.deadline_;
        const Duration quantile = route_.latency_.value();
        if (worker_.options_.hedging_ && quantile > Duration::zero())
            policy.hedgeAfter_ = std::max(kLeastHedgeDelay, quantile);
        return policy;
    }

    void perform(const ExecutionActions &actions)
    {
        for (const ExecutionAction &action : actions)
            std::visit([this](const auto &step) { perform(step); }, action);
    }

    void perform(const SendAttempt &send)
    {
        const TimePoint now = BootClock::now();
        const std::shared_ptr<const RoutingTable> table = worker_.routing_.get();
        const auto routes = table->services_.find(request_.service_.str());
        BackendChoice choice;
        if (routes != table->services_.end()) {
            choice = BackendSelector::select(routes->second, request_.key_, tried_, worker_.random_,
                                             now);
        }
        if (!choice.candidate_) {
            perform(execution_.onNoBackend(send.attempt_, now));
            return;
        }
        logChoice(send, choice);
        dispatch(send, choice, routes->second, now);
    }

    void dispatch(const SendAttempt &send, const BackendChoice &choice, const ServiceRoutes &routes,
                  TimePoint now)
    {
        tried_.push_back(choice.candidate_->backend_.name_);
        worker_.counters_.attempts_.add();
        if (send.isHedge_)
            worker_.counters_.hedges_.add();
        HttpRequest http = encodeAttempt(request_, send.attempt_, choice, now);
        InFlight &flight = inFlight_[send.attempt_];
        flight.stats_ = choice.candidate_->stats_;
        flight.backend_ = choice.candidate_->backend_.name_;
        flight.fence_ = routes.fence_;
        flight.unit_ = choice.unit_;
        if (routes.fence_) {
            http.maySend_ = [fence = routes.fence_, unit = choice.unit_, epoch = choice.epoch_,
                             now] { return fence->maySend(unit, epoch, now, BootClock::now()); };
        }
        flight.transfer_
            = worker_.loop_.start(std::move(http), [self = shared_from_this(),
                                                    attempt = send.attempt_](HttpResult result) {
                  self->onResult(attempt, std::move(result));
              });
    }

    void perform(const CancelAttempt &cancel)
    {
        const auto found = inFlight_.find(cancel.attempt_);
        if (found == inFlight_.end())
            return;
        worker_.loop_.cancel(found->second.transfer_);
        end(found->second, AttemptState::Sent, BootClock::now());
        inFlight_.erase(found);
    }

    void perform(const WakeAt &wake)
    {
        worker_.loop_.runAt(wake.at_, [self = shared_from_this()] {
            self->perform(self->execution_.onWake(BootClock::now()));
        });
    }

    void perform(const DeliverAnswer &) { done_(std::move(answer_)); }

    void perform(const GiveUp &giveUp) { done_(giveUp); }

    void onResult(AttemptNumber attempt, HttpResult result)
    {
        const TimePoint now = BootClock::now();
        const InFlight flight = std::move(inFlight_.at(attempt));
        inFlight_.erase(attempt);
        const AttemptVerdict verdict = judge(result);
        end(flight, verdict.state_, now);
        if (verdict.load_)
            flight.stats_->onLoadReport(*verdict.load_, now);
        noteWarmth(flight, verdict, now);
        if (!verdict.failure_) {
            flight.stats_->onAnswer(result.elapsed_, now);
            worker_.counters_.latency_.record(toSeconds(result.elapsed_));
            route_.latency_.record(result.elapsed_);
            answer_ = std::move(*result.answer_);
            perform(execution_.onAnswered(attempt, now));
            return;
        }
        countFailure(*flight.stats_, *verdict.failure_, now);
        logFailure(attempt, flight.backend_, verdict, result);
        perform(execution_.onFailed(attempt, verdict.state_, *verdict.failure_, now));
    }

    void end(const InFlight &flight, AttemptState state, TimePoint now) const
    {
        flight.stats_->end();
        if (flight.fence_)
            flight.fence_->end(flight.unit_, mayRunUntil(state, request_.deadline_, now), now);
    }

    // Cold starts come without warning: the answers themselves are the first sign.
    void noteWarmth(const InFlight &flight, const AttemptVerdict &verdict, TimePoint now)
    {
        const bool isNewProcess
            = verdict.incarnation_ && flight.stats_->onIncarnation(*verdict.incarnation_);
        const bool isShed = verdict.failure_ == AttemptFailure::Shed;
        const bool isGone = verdict.failure_ == AttemptFailure::ConnectFailed;
        if (isShed)
            flight.stats_->warmup().onShed(now);
        const bool isCold = isNewProcess || isShed || isGone;
        if (isCold) {
            if (!flight.stats_->warmup().isCold())
                worker_.listener_.onBackendCold(flight.backend_);
            return;
        }
        if (!verdict.failure_ && flight.stats_->warmup().onAnswer(now) == Warmup::Change::Warm)
            worker_.listener_.onBackendWarm(flight.backend_);
    }

    void countFailure(BackendStats &stats, AttemptFailure failure, TimePoint now)
    {
        worker_.counters_.failures_.add();
        if (failure == AttemptFailure::Mismatched)
            worker_.counters_.mismatches_.add();
        // A stale epoch is the placement's doing, not the back end's.
        if (failure != AttemptFailure::StaleEpoch)
            stats.onFailure(now);
    }

    void logChoice(const SendAttempt &send, const BackendChoice &choice)
    {
        LogLine line(Severity::Info, "route");
        line.add("request", request_.id_.str())
            .add("attempt", static_cast<std::uint64_t>(send.attempt_))
            .add("team", request_.team_.str())
            .add("service", request_.service_.str())
            .add("route", request_.route_.str())
            .add("key_hash", hash64(request_.key_))
            .add("backend", choice.candidate_->backend_.name_.str())
            .add("zone", choice.candidate_->backend_.zone_.str())
            .add("epoch", choice.epoch_.value_)
            .add("reason", reasonOf(send));
        worker_.log_.write(line);
    }

    const char *reasonOf(const SendAttempt &send) const
    {
        if (send.isHedge_)
            return "hedge";
        if (send.attempt_ > 0)
            return "retry";
        return request_.key_.empty() ? "balanced" : "owner";
    }

    void logFailure(AttemptNumber attempt, const BackendName &backend,
                    const AttemptVerdict &verdict, const HttpResult &result)
    {
        LogLine line(Severity::Warning, "attempt-failed");
        line.add("request", request_.id_.str())
            .add("attempt", static_cast<std::uint64_t>(attempt))
            .add("backend", backend.str())
            .add("state", toString(verdict.state_))
            .add("failure", toString(*verdict.failure_));
        if (result.error_)
            line.add("error", result.error_->describe());
        worker_.log_.write(line);
    }

    Worker &worker_;
    const ForwardRequest request_;
    const ForwardDone done_;
    RouteState &route_;
    RequestExecution execution_;
    std::vector<BackendName> tried_;
    std::map<AttemptNumber, InFlight> inFlight_;
    HttpAnswer answer_;
};

void BackendClient::Worker::forward(ForwardRequest request, ForwardDone done)
{
    loop_.post([this, request = std::move(request), done = std::move(done)]() mutable {
        countKey(request);
        auto run = std::make_shared<Run>(*this, std::move(request), std::move(done));
        run->start();
    });
}

BackendClient::BackendClient(const BackendClientOptions &options,
                             const SnapshotPublisher<RoutingTable> &routing,
                             TrafficListener &listener, LogSink &log, Counters &counters)
{
    for (std::size_t i = 0; i < options.threads_; ++i)
        workers_.push_back(std::make_unique<Worker>(options, i, routing, listener, log, counters));
}

BackendClient::~BackendClient() = default;

void BackendClient::forward(ForwardRequest request, ForwardDone done)
{
    const std::size_t index = next_.fetch_add(1, std::memory_order_relaxed) % workers_.size();
    workers_[index]->forward(std::move(request), std::move(done));
}

} // namespace pimentostage
