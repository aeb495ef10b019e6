#include "src/backend/ActiveRequest.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Maximum waits for admission and for an owner, as divisors of the latency objective. The wait for
// admission is shorter: it may not come, whereas an owner is available again when a move ends. With
// half of the objective, admission_bench earns 0.03 more of the value in 2 s at twice the capacity
// and 0.06 less in 30 s.
constexpr int kAdmissionWaitDivisor = 4;
constexpr int kOwnerWaitDivisor = 2;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(1);
constexpr int kFirstServerError = 500;

bool isServerError(const HttpResult &result)
{
    return result.answer_ && result.answer_->status_ >= kFirstServerError;
}

} // namespace

void BackendClient::Worker::ActiveRequest::start(const std::shared_ptr<Abandonment> &abandonment)
{
    abandonment->onAbandoned([weak = weak_from_this(), &worker = worker_] {
        worker.http_->post([weak] {
            if (const auto self = weak.lock())
                self->perform(self->execution_.onCallerLeft(BootClock::now()));
        });
    });
    perform(execution_.start(BootClock::now()));
}

ExecutionPolicy BackendClient::Worker::ActiveRequest::policy() const
{
    ExecutionPolicy policy;
    policy.idempotent_ = request_.idempotent_;
    policy.waitsForOwner_ = !request_.key_.empty();
    policy.deadline_ = request_.deadline_;
    policy.maxAttempts_ = request_.maxAttempts_;
    policy.maxRejections_ = worker_.options_.maxRejections_;
    if (hasTarget())
        policy.maxOwnerWait_ = request_.target_ / kOwnerWaitDivisor;
    if (request_.key_.empty())
        policy.hedgeAfter_ = hedgeDelay();
    return policy;
}

// Only another back end can be faster, and only if the hedge is sent early enough to meet the
// latency objective.
std::optional<Duration> BackendClient::Worker::ActiveRequest::hedgeDelay() const
{
    const Duration quantile = route_.latency_.value();
    if (!worker_.options_.hedging_ || quantile <= Duration::zero())
        return std::nullopt;
    const Duration delay = std::max(kMinHedgeDelay, quantile);
    return hasTarget() ? std::min(delay, request_.target_ / 2) : delay;
}

void BackendClient::Worker::ActiveRequest::perform(const ExecutionActions &actions)
{
    for (const ExecutionAction &action : actions)
        std::visit([this](const auto &step) { perform(step); }, action);
}

void BackendClient::Worker::ActiveRequest::perform(const SendAttempt &send)
{
    const TimePoint now = BootClock::now();
    const std::shared_ptr<const RoutingTable> table = worker_.routing_.get();
    const auto routes = table->services_.find(request_.service_.str());
    if (routes == table->services_.end()) {
        perform(execution_.onNoBackend(send.attempt_, now));
        return;
    }
    queue_ = worker_.queue({ queueName(routes->second),
                             admissionRuleFor(worker_.options_.admissionRule_, table->hasTeams_) });
    // Queued requests go first, and no hedges are sent while requests wait.
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
    recordAdmission(now);
    logChoice(send, choice);
    dispatch(send, choice, routes->second, now);
}

// A keyed service has a queue per owner, so that a busy owner does not block the others.
std::string BackendClient::Worker::ActiveRequest::queueName(const ServiceRoutes &routes) const
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

void BackendClient::Worker::ActiveRequest::recordAdmission(TimePoint now)
{
    if (!isAdmitted_)
        return;
    isAdmitted_ = false;
    worker_.counters_.waitTime_.record(toSeconds(now - queueEntry_->since_));
    // There may be capacity for more than one request.
    queue_->admitNext(now);
}

void BackendClient::Worker::ActiveRequest::perform(const AwaitAdmission &)
{
    const TimePoint now = BootClock::now();
    const auto done
        = [self = shared_from_this()](Admission admission, const WaitingRequest &request) {
              self->worker_.http_->post(
                  [self, admission, request] { self->onAdmission(admission, request); });
          };
    // A request that found no capacity after admission, or was shed, keeps its queue position.
    if (queueEntry_ && entryQueue_ == queue_) {
        queue_->putBack(*queueEntry_, done, now);
    } else if (!queue_->push(waitingRequest(now), done, now)) {
        refuseAdmission(now);
        return;
    } else {
        worker_.counters_.queueWaits_.add();
    }
    entryQueue_ = queue_;
    worker_.startPolling(queue_);
}

WaitingRequest BackendClient::Worker::ActiveRequest::waitingRequest(TimePoint now) const
{
    WaitingRequest waiting;
    waiting.team_ = request_.team_;
    waiting.share_ = request_.share_;
    waiting.cost_ = request_.cost_;
    waiting.priority_ = request_.priority_;
    waiting.since_ = queueEntry_ ? queueEntry_->since_ : now;
    waiting.deadline_ = request_.deadline_;
    if (hasTarget())
        waiting.admitBy_ = waiting.since_ + request_.target_ / kAdmissionWaitDivisor;
    if (queue_->rule() == AdmissionRule::TeamShares)
        waiting.deadline_ = std::min(waiting.deadline_, waiting.admitBy_);
    else
        describeForOrder(waiting);
    return waiting;
}

void BackendClient::Worker::ActiveRequest::describeForOrder(WaitingRequest &waiting) const
{
    waiting.id_ = hash64(request_.id_.str());
    waiting.route_ = request_.route_;
    waiting.work_ = route_.work_.value();
    waiting.objective_ = hasTarget() ? waiting.since_ + request_.target_ : request_.deadline_;
    waiting.hasRun_ = execution_.attemptCount() > 0;
}

void BackendClient::Worker::ActiveRequest::refuseAdmission(TimePoint now)
{
    admissionRefusal_ = queue_->refusal(waitingRequest(now), worker_.random_.unit(), now);
    perform(execution_.onAdmissionRefused(now));
}

// A request that back ends rejected as not run is refused like one that the queue refuses.
void BackendClient::Worker::ActiveRequest::perform(const GiveUp &giveUp)
{
    GiveUp described = giveUp;
    if (giveUp.reason_ == GiveUpReason::Overloaded && queue_) {
        const TimePoint now = BootClock::now();
        described.admission_
            = admissionRefusal_ ? *admissionRefusal_
                                : queue_->refusal(waitingRequest(now), worker_.random_.unit(), now);
    }
    done_(std::move(described));
}

void BackendClient::Worker::ActiveRequest::onAdmission(Admission admission,
                                                       const WaitingRequest &request)
{
    const TimePoint now = BootClock::now();
    if (admission == Admission::Refused) {
        refuseAdmission(now);
        return;
    }
    queueEntry_ = request;
    isAdmitted_ = true;
    tried_.clear();
    perform(execution_.onAdmitted(now));
}

void BackendClient::Worker::ActiveRequest::dispatch(const SendAttempt &send,
                                                    const BackendChoice &choice,
                                                    const ServiceRoutes &routes, TimePoint now)
{
    tried_.push_back(choice.candidate_->backend_.name_);
    worker_.counters_.attempts_.add();
    if (send.isHedge_)
        worker_.counters_.hedges_.add();
    HttpRequest http
        = worker_.options_.protocol_->encodeAttempt_(request_, send.attempt_, choice, now);
    // The attempts may have the same id, so it does not tell a repeated answer to an earlier one.
    http.avoidedConnections_ = usedConnections_;
    InFlightAttempt &inFlight = inFlight_[send.attempt_];
    inFlight.stats_ = choice.candidate_->stats_;
    inFlight.backend_ = choice.candidate_->backend_.name_;
    inFlight.routerLease_ = routes.routerLease_;
    inFlight.unit_ = choice.unit_;
    inFlight.slots_ = choice.candidate_->backend_.slots_;
    inFlight.queue_ = queue_;
    inFlight.rollout_ = routes.rollout_;
    inFlight.isTarget_ = choice.candidate_->isTarget_;
    inFlight.isCold_ = inFlight.stats_->coldStart().isCold(now);
    inFlight.sentAt_ = now;
    if (routes.rollout_ && !isCounted_) {
        isCounted_ = true;
        routes.rollout_->budget().recordRequest();
    }
    if (routes.routerLease_) {
        http.maySend_
            = [routerLease = routes.routerLease_, unit = choice.unit_, epoch = choice.epoch_, now] {
                  return routerLease->maySend(unit, epoch, now, BootClock::now());
              };
    }
    inFlight.transfer_ = worker_.http_->start(
        std::move(http), [self = shared_from_this(), attempt = send.attempt_](HttpResult result) {
            self->onResult(attempt, std::move(result));
        });
}

void BackendClient::Worker::ActiveRequest::perform(const CancelAttempt &cancel)
{
    const auto found = inFlight_.find(cancel.attempt_);
    if (found == inFlight_.end())
        return;
    worker_.http_->cancel(found->second.transfer_);
    const TimePoint now = BootClock::now();
    // A slow version would look fast if only its answers counted: another back end answered before,
    // or the deadline passed.
    recordOutcome(found->second, now >= request_.deadline_, now);
    end(found->second, AttemptState::Sent, now);
    inFlight_.erase(found);
}

void BackendClient::Worker::ActiveRequest::perform(const WakeAt &wake)
{
    worker_.http_->runAt(wake.at_, [self = shared_from_this()] {
        self->perform(self->execution_.onWake(BootClock::now()));
    });
}

void BackendClient::Worker::ActiveRequest::onResult(AttemptNumber attempt, HttpResult result)
{
    const TimePoint now = BootClock::now();
    const InFlightAttempt inFlight = std::move(inFlight_.at(attempt));
    inFlight_.erase(attempt);
    if (result.connection_ != 0)
        usedConnections_.push_back(result.connection_);
    AttemptResult attemptResult = worker_.options_.protocol_->interpretResult_(result);
    if (attemptResult.failure_ == AttemptFailure::Full && !inFlight.stats_->hasAnsweredLately(now))
        attemptResult.failure_ = AttemptFailure::Broken;
    updateConcurrencyLimit(inFlight, attemptResult, now);
    end(inFlight, attemptResult.state_, now);
    if (attemptResult.load_ && !isFromOtherInstance(attemptResult))
        inFlight.stats_->onLoadReport(*attemptResult.load_, now);
    updateWarmup(inFlight, attemptResult, now);
    // A rejection as not run tells of the load, which has nothing to do with the version.
    if (attemptResult.state_ != AttemptState::DeclaredNotRun)
        recordOutcome(inFlight, attemptResult.failure_ || isServerError(result), now);
    if (!attemptResult.failure_) {
        inFlight.stats_->onAnswer(result.elapsed_, now);
        worker_.counters_.latency_.record(toSeconds(result.elapsed_));
        route_.latency_.record(result.elapsed_);
        route_.work_.record(result.elapsed_, attemptResult.load_, inFlight.slots_);
        logAnswer(attempt, inFlight.backend_, attemptResult, result);
        answer_ = std::move(*result.answer_);
        perform(execution_.onAnswered(attempt, now));
        return;
    }
    countFailure(*inFlight.stats_, attemptResult, now);
    if (result.error_ && result.error_->code_ == ErrorCode::TooLarge)
        worker_.counters_.givenUpAnswers_.add();
    logFailure(attempt, inFlight.backend_, attemptResult, result);
    perform(execution_.onFailed(attempt, attemptResult.state_, *attemptResult.failure_, now));
}

void BackendClient::Worker::ActiveRequest::end(const InFlightAttempt &inFlight, AttemptState state,
                                               TimePoint now) const
{
    inFlight.stats_->end();
    inFlight.queue_->admitNext(now);
    if (inFlight.routerLease_)
        inFlight.routerLease_->end(inFlight.unit_, latestEndTime(state, request_.deadline_, now),
                                   now);
}

void BackendClient::Worker::ActiveRequest::recordOutcome(const InFlightAttempt &inFlight,
                                                         bool isFailed, TimePoint now) const
{
    // The back ends of the target have just started, and cold ones work half as fast; so neither
    // their answers nor their timeouts tell of the version.
    const bool isComparable = !inFlight.isCold_ || (isFailed && now < request_.deadline_);
    if (inFlight.rollout_ && isComparable)
        inFlight.rollout_->record(request_.route_, inFlight.isTarget_, isFailed,
                                  now - inFlight.sentAt_);
}

void BackendClient::Worker::ActiveRequest::updateConcurrencyLimit(
    const InFlightAttempt &inFlight, const AttemptResult &attemptResult, TimePoint now)
{
    const bool isRejected = attemptResult.failure_ == AttemptFailure::Shed
                            || attemptResult.failure_ == AttemptFailure::Full;
    if (isRejected)
        inFlight.stats_->concurrency().onShed(inFlight.stats_->inFlight(), now);
    else if (!attemptResult.failure_)
        inFlight.stats_->concurrency().onAnswer(inFlight.stats_->inFlight());
}

// A cold start may begin without notice; answers and failures are the first indication.
void BackendClient::Worker::ActiveRequest::updateWarmup(const InFlightAttempt &inFlight,
                                                        const AttemptResult &attemptResult,
                                                        TimePoint now)
{
    const bool isNewProcess
        = attemptResult.incarnation_ && inFlight.stats_->onIncarnation(*attemptResult.incarnation_);
    const bool isShed = attemptResult.failure_ == AttemptFailure::Shed;
    const bool isUnreachable = attemptResult.failure_ == AttemptFailure::Gone;
    // A warm back end sheds only when all of its slots are in use.
    const bool isShedCold
        = isShed && (!attemptResult.load_ || attemptResult.load_->running_ < inFlight.slots_);
    // A full back end reports no load, so that nothing tells whether it is cold.
    if (isShed || attemptResult.failure_ == AttemptFailure::Full)
        inFlight.stats_->warmup().onShed(now);
    const bool isCold = isNewProcess || isShedCold || isUnreachable;
    if (isCold) {
        if (!inFlight.stats_->warmup().isCold())
            worker_.listener_.onBackendCold(inFlight.backend_);
        return;
    }
    if (!attemptResult.failure_ && inFlight.stats_->warmup().onAnswer(now) == Warmup::Change::Warm)
        worker_.listener_.onBackendWarm(inFlight.backend_);
}

// Only a request with a key can have come to the right process under a stale epoch.
bool BackendClient::Worker::ActiveRequest::isFromOtherInstance(
    const AttemptResult &attemptResult) const
{
    return attemptResult.failure_ == AttemptFailure::StaleEpoch && request_.key_.empty();
}

void BackendClient::Worker::ActiveRequest::countFailure(BackendStats &stats,
                                                        const AttemptResult &attemptResult,
                                                        TimePoint now)
{
    worker_.counters_.failures_.add();
    worker_.counters_.failuresByKind_.at(static_cast<std::size_t>(*attemptResult.failure_))->add();
    if (attemptResult.failure_ == AttemptFailure::Mismatched)
        worker_.counters_.mismatches_.add();
    if (attemptResult.failure_ == AttemptFailure::Full) {
        stats.onFull(now);
        return;
    }
    // A stale epoch results from the placement, not from a fault of the back end.
    if (attemptResult.failure_ != AttemptFailure::StaleEpoch || isFromOtherInstance(attemptResult))
        stats.onFailure(now);
}

void BackendClient::Worker::ActiveRequest::logChoice(const SendAttempt &send,
                                                     const BackendChoice &choice)
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

const char *BackendClient::Worker::ActiveRequest::reasonOf(const SendAttempt &send) const
{
    if (send.isHedge_)
        return "hedge";
    if (send.attempt_ > 0)
        return "retry";
    return request_.key_.empty() ? "balanced" : "owner";
}

void BackendClient::Worker::ActiveRequest::logAnswer(AttemptNumber attempt,
                                                     const BackendName &backend,
                                                     const AttemptResult &attemptResult,
                                                     const HttpResult &result)
{
    LogLine line(Severity::Info, "answer");
    line.add("request", request_.id_.str())
        .add("attempt", static_cast<std::uint64_t>(attempt))
        .add("backend", backend.str())
        .add("status", result.answer_->status_)
        .add("ms", toMilliseconds(result.elapsed_));
    if (attemptResult.load_) {
        line.add("running", static_cast<std::uint64_t>(attemptResult.load_->running_))
            .add("waiting", static_cast<std::uint64_t>(attemptResult.load_->waiting_))
            .add("pace", attemptResult.load_->pace_);
    }
    worker_.log_.write(line);
}

void BackendClient::Worker::ActiveRequest::logFailure(AttemptNumber attempt,
                                                      const BackendName &backend,
                                                      const AttemptResult &attemptResult,
                                                      const HttpResult &result)
{
    LogLine line(Severity::Warning, "attempt-failed");
    line.add("request", request_.id_.str())
        .add("attempt", static_cast<std::uint64_t>(attempt))
        .add("backend", backend.str())
        .add("state", toString(attemptResult.state_))
        .add("failure", toString(*attemptResult.failure_));
    if (result.answer_)
        line.add("status", result.answer_->status_);
    if (result.error_)
        line.add("error", result.error_->describe());
    worker_.log_.write(line);
}

} // namespace pimentostage
