#include "src/backend/BackendRun.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Parts of the latency objective for which a request waits: for room, which may not come, and for
// an owner, which comes when a move ends.
constexpr int kRoomWaitDivisor = 4;
constexpr int kOwnerWaitDivisor = 2;
constexpr Duration kLeastHedgeDelay = std::chrono::milliseconds(1);

} // namespace

void BackendClient::Worker::Run::start(const std::shared_ptr<Abandonment> &abandonment)
{
    abandonment->then([run = weak_from_this(), &worker = worker_] {
        worker.loop_->post([run] {
            if (const auto self = run.lock())
                self->perform(self->execution_.onCallerLeft(BootClock::now()));
        });
    });
    perform(execution_.start(BootClock::now()));
}

ExecutionPolicy BackendClient::Worker::Run::policy() const
{
    ExecutionPolicy policy;
    policy.idempotent_ = request_.idempotent_;
    policy.waitsForOwner_ = !request_.key_.empty();
    policy.deadline_ = request_.deadline_;
    policy.mostAttempts_ = request_.mostAttempts_;
    policy.mostRejections_ = worker_.options_.mostRejections_;
    if (hasTarget())
        policy.mostOwnerWait_ = request_.target_ / kOwnerWaitDivisor;
    if (request_.key_.empty())
        policy.hedgeAfter_ = hedgeDelay();
    return policy;
}

// Only another back end can be faster, and only if it still has time to meet the objective.
std::optional<Duration> BackendClient::Worker::Run::hedgeDelay() const
{
    const Duration quantile = route_.latency_.value();
    if (!worker_.options_.hedging_ || quantile <= Duration::zero())
        return std::nullopt;
    const Duration delay = std::max(kLeastHedgeDelay, quantile);
    return hasTarget() ? std::min(delay, request_.target_ / 2) : delay;
}

void BackendClient::Worker::Run::perform(const ExecutionActions &actions)
{
    for (const ExecutionAction &action : actions)
        std::visit([this](const auto &step) { perform(step); }, action);
}

void BackendClient::Worker::Run::perform(const SendAttempt &send)
{
    const TimePoint now = BootClock::now();
    const std::shared_ptr<const RoutingTable> table = worker_.routing_.get();
    const auto routes = table->services_.find(request_.service_.str());
    if (routes == table->services_.end()) {
        perform(execution_.onNoBackend(send.attempt_, now));
        return;
    }
    queue_ = worker_.queue(queueName(routes->second));
    // Those who wait come first, and nothing is hedged while anybody waits.
    const bool mustWait = queue_->waiting() > 0 && !isAdmitted_;
    BackendChoice choice;
    if (mustWait)
        choice.isBusy_ = true;
    else
        choice = BackendSelector::select(routes->second, { request_.key_, request_.orderedKey_ },
                                         tried_, worker_.random_, now);
    if (!choice.candidate_) {
        isAdmitted_ = false;
        perform(choice.isBusy_ ? execution_.onBusy(send.attempt_, now)
                               : execution_.onNoBackend(send.attempt_, now));
        return;
    }
    noteAdmission(now);
    logChoice(send, choice);
    dispatch(send, choice, routes->second, now);
}

// A keyed service has a queue for each owner, so that one does not hold up the others.
std::string BackendClient::Worker::Run::queueName(const ServiceRoutes &routes) const
{
    if (request_.orderedKey_) {
        const RangeOwner *row
            = routes.ranges_ ? routes.ranges_->find(*request_.orderedKey_) : nullptr;
        return request_.service_.str() + '/' + (row ? row->owner_.name_.str() : "");
    }
    if (!routes.placement_ || request_.key_.empty())
        return request_.service_.str();
    return request_.service_.str() + '/'
           + ownerOf(*routes.placement_, request_.key_).backend_.str();
}

void BackendClient::Worker::Run::noteAdmission(TimePoint now)
{
    if (!isAdmitted_)
        return;
    isAdmitted_ = false;
    worker_.counters_.waited_.record(toSeconds(now - place_->since_));
    // There may be room for more than one.
    queue_->admitNext(now);
}

void BackendClient::Worker::Run::perform(const AwaitRoom &)
{
    const TimePoint now = BootClock::now();
    const auto done
        = [self = shared_from_this()](Admission admission, const WaitingRequest &request) {
              self->worker_.loop_->post(
                  [self, admission, request] { self->onAdmission(admission, request); });
          };
    // One whose turn came in vain, or that was shed, keeps its place.
    if (place_ && placeQueue_ == queue_) {
        queue_->putBack(*place_, done, now);
    } else if (!queue_->push(waitingRequest(now), done, now)) {
        perform(execution_.onNoRoom(now));
        return;
    } else {
        worker_.counters_.waits_.add();
    }
    placeQueue_ = queue_;
    worker_.watch(queue_);
}

WaitingRequest BackendClient::Worker::Run::waitingRequest(TimePoint now) const
{
    WaitingRequest waiting;
    waiting.team_ = request_.team_;
    waiting.share_ = request_.share_;
    waiting.cost_ = request_.cost_;
    waiting.since_ = place_ ? place_->since_ : now;
    waiting.deadline_ = request_.deadline_;
    if (hasTarget())
        waiting.deadline_
            = std::min(waiting.deadline_, waiting.since_ + request_.target_ / kRoomWaitDivisor);
    return waiting;
}

void BackendClient::Worker::Run::onAdmission(Admission admission, const WaitingRequest &request)
{
    const TimePoint now = BootClock::now();
    if (admission == Admission::Refused) {
        perform(execution_.onNoRoom(now));
        return;
    }
    place_ = request;
    isAdmitted_ = true;
    tried_.clear();
    perform(execution_.onRoom(now));
}

void BackendClient::Worker::Run::dispatch(const SendAttempt &send, const BackendChoice &choice,
                                          const ServiceRoutes &routes, TimePoint now)
{
    tried_.push_back(choice.candidate_->backend_.name_);
    worker_.counters_.attempts_.add();
    if (send.isHedge_)
        worker_.counters_.hedges_.add();
    HttpRequest http
        = worker_.options_.protocol_->encodeAttempt_(request_, send.attempt_, choice, now);
    InFlight &flight = inFlight_[send.attempt_];
    flight.stats_ = choice.candidate_->stats_;
    flight.backend_ = choice.candidate_->backend_.name_;
    flight.fence_ = routes.fence_;
    flight.unit_ = choice.unit_;
    flight.slots_ = choice.candidate_->backend_.slots_;
    flight.queue_ = queue_;
    if (routes.fence_) {
        http.maySend_ = [fence = routes.fence_, unit = choice.unit_, epoch = choice.epoch_, now] {
            return fence->maySend(unit, epoch, now, BootClock::now());
        };
    }
    flight.transfer_ = worker_.loop_->start(
        std::move(http), [self = shared_from_this(), attempt = send.attempt_](HttpResult result) {
            self->onResult(attempt, std::move(result));
        });
}

void BackendClient::Worker::Run::perform(const CancelAttempt &cancel)
{
    const auto found = inFlight_.find(cancel.attempt_);
    if (found == inFlight_.end())
        return;
    worker_.loop_->cancel(found->second.transfer_);
    end(found->second, AttemptState::Sent, BootClock::now());
    inFlight_.erase(found);
}

void BackendClient::Worker::Run::perform(const WakeAt &wake)
{
    worker_.loop_->runAt(wake.at_, [self = shared_from_this()] {
        self->perform(self->execution_.onWake(BootClock::now()));
    });
}

void BackendClient::Worker::Run::onResult(AttemptNumber attempt, HttpResult result)
{
    const TimePoint now = BootClock::now();
    const InFlight flight = std::move(inFlight_.at(attempt));
    inFlight_.erase(attempt);
    const AttemptVerdict verdict = worker_.options_.protocol_->judge_(result);
    learnLimit(flight, verdict, now);
    end(flight, verdict.state_, now);
    if (verdict.load_)
        flight.stats_->onLoadReport(*verdict.load_, now);
    noteWarmth(flight, verdict, now);
    if (!verdict.failure_) {
        flight.stats_->onAnswer(result.elapsed_, now);
        worker_.counters_.latency_.record(toSeconds(result.elapsed_));
        route_.latency_.record(result.elapsed_);
        logAnswer(attempt, flight.backend_, verdict, result);
        answer_ = std::move(*result.answer_);
        perform(execution_.onAnswered(attempt, now));
        return;
    }
    countFailure(*flight.stats_, *verdict.failure_, now);
    logFailure(attempt, flight.backend_, verdict, result);
    perform(execution_.onFailed(attempt, verdict.state_, *verdict.failure_, now));
}

void BackendClient::Worker::Run::end(const InFlight &flight, AttemptState state,
                                     TimePoint now) const
{
    flight.stats_->end();
    flight.queue_->admitNext(now);
    if (flight.fence_)
        flight.fence_->end(flight.unit_, mayRunUntil(state, request_.deadline_, now), now);
}

void BackendClient::Worker::Run::learnLimit(const InFlight &flight, const AttemptVerdict &verdict,
                                            TimePoint now)
{
    if (verdict.failure_ == AttemptFailure::Shed)
        flight.stats_->concurrency().onShed(flight.stats_->inFlight(), now);
    else if (!verdict.failure_)
        flight.stats_->concurrency().onAnswer(flight.stats_->inFlight());
}

// Cold starts come without warning: the answers themselves are the first sign.
void BackendClient::Worker::Run::noteWarmth(const InFlight &flight, const AttemptVerdict &verdict,
                                            TimePoint now)
{
    const bool isNewProcess
        = verdict.incarnation_ && flight.stats_->onIncarnation(*verdict.incarnation_);
    const bool isShed = verdict.failure_ == AttemptFailure::Shed;
    const bool isGone = verdict.failure_ == AttemptFailure::ConnectFailed;
    // A warm back end sheds only once all of its slots are taken.
    const bool isShedCold = isShed && (!verdict.load_ || verdict.load_->running_ < flight.slots_);
    if (isShed)
        flight.stats_->warmup().onShed(now);
    const bool isCold = isNewProcess || isShedCold || isGone;
    if (isCold) {
        if (!flight.stats_->warmup().isCold())
            worker_.listener_.onBackendCold(flight.backend_);
        return;
    }
    if (!verdict.failure_ && flight.stats_->warmup().onAnswer(now) == Warmup::Change::Warm)
        worker_.listener_.onBackendWarm(flight.backend_);
}

void BackendClient::Worker::Run::countFailure(BackendStats &stats, AttemptFailure failure,
                                              TimePoint now)
{
    worker_.counters_.failures_.add();
    if (failure == AttemptFailure::Mismatched)
        worker_.counters_.mismatches_.add();
    // A stale epoch is the placement's doing, not the back end's.
    if (failure != AttemptFailure::StaleEpoch)
        stats.onFailure(now);
}

void BackendClient::Worker::Run::logChoice(const SendAttempt &send, const BackendChoice &choice)
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

const char *BackendClient::Worker::Run::reasonOf(const SendAttempt &send) const
{
    if (send.isHedge_)
        return "hedge";
    if (send.attempt_ > 0)
        return "retry";
    return request_.key_.empty() ? "balanced" : "owner";
}

void BackendClient::Worker::Run::logAnswer(AttemptNumber attempt, const BackendName &backend,
                                           const AttemptVerdict &verdict, const HttpResult &result)
{
    LogLine line(Severity::Info, "answer");
    line.add("request", request_.id_.str())
        .add("attempt", static_cast<std::uint64_t>(attempt))
        .add("backend", backend.str())
        .add("status", result.answer_->status_)
        .add("ms", toMilliseconds(result.elapsed_));
    if (verdict.load_) {
        line.add("running", static_cast<std::uint64_t>(verdict.load_->running_))
            .add("waiting", static_cast<std::uint64_t>(verdict.load_->waiting_))
            .add("pace", verdict.load_->pace_);
    }
    worker_.log_.write(line);
}

void BackendClient::Worker::Run::logFailure(AttemptNumber attempt, const BackendName &backend,
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

} // namespace pimentostage
