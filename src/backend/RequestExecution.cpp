#include "pimentostage/backend/RequestExecution.h"

#include "pimentostage/backend/AttemptBudget.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Time between attempts to find the current owner of a key, or any back end.
constexpr Duration kOwnerRetryDelay = std::chrono::milliseconds(20);

constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

GiveUpReason reasonFor(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::TimedOut:
        return GiveUpReason::DeadlinePassed;
    case AttemptFailure::Broken:
    case AttemptFailure::Mismatched:
    case AttemptFailure::Unproven:
        return GiveUpReason::AnswerBroken;
    case AttemptFailure::Gone:
    case AttemptFailure::Shed:
    case AttemptFailure::StaleEpoch:
    case AttemptFailure::Full:
    case AttemptFailure::Undeclared:
        break;
    }
    return GiveUpReason::AttemptsFailed;
}

} // namespace

RequestExecution::RequestExecution(const ExecutionPolicy &policy, AttemptBudget &retries,
                                   AttemptBudget &hedges)
    : policy_(policy)
    , retries_(retries)
    , hedges_(hedges)
{ }

ExecutionActions RequestExecution::start(TimePoint now)
{
    retries_.recordRequest();
    hedges_.recordRequest();
    if (now >= policy_.deadline_)
        return giveUp(GiveUpReason::DeadlinePassed);
    ExecutionActions actions = send(false, now);
    if (policy_.idempotent_ && policy_.hedgeAfter_) {
        hedgeAt_ = now + *policy_.hedgeAfter_;
        actions.emplace_back(WakeAt { *hedgeAt_ });
    }
    return actions;
}

ExecutionActions RequestExecution::send(bool isHedge, TimePoint now)
{
    if (now >= policy_.deadline_)
        return giveUp(GiveUpReason::DeadlinePassed);
    const auto attempt = static_cast<AttemptNumber>(attempts_.size());
    attempts_.push_back(AttemptRecord { true, isHedge, AttemptState::NotSent });
    return { SendAttempt { attempt, isHedge } };
}

ExecutionActions RequestExecution::onNoBackend(AttemptNumber attempt, TimePoint now)
{
    AttemptRecord &record = attempts_.at(attempt);
    record.running_ = false;
    record.state_ = AttemptState::NotSent;
    if (finished_ || isRunning())
        return {};
    if (!mayAwaitOwner(now))
        return giveUp(GiveUpReason::NoBackend);
    // Nothing was sent, so this does not count as an attempt: an owner or a back end may become
    // available before the deadline.
    attempts_.pop_back();
    retryAt_ = now + kOwnerRetryDelay;
    return { WakeAt { *retryAt_ } };
}

bool RequestExecution::mayAwaitOwner(TimePoint now)
{
    if (!noBackendSince_)
        noBackendSince_ = now;
    const bool isInTime = !policy_.maxOwnerWait_
                          || now + kOwnerRetryDelay < *noBackendSince_ + *policy_.maxOwnerWait_;
    return isInTime && now + kOwnerRetryDelay < policy_.deadline_;
}

ExecutionActions RequestExecution::onBusy(AttemptNumber attempt, TimePoint now)
{
    // Nothing was sent, so this does not count as an attempt.
    attempts_.erase(attempts_.begin() + attempt);
    if (finished_ || isRunning())
        return {};
    return awaitAdmission(now);
}

ExecutionActions RequestExecution::awaitAdmission(TimePoint now)
{
    if (now >= policy_.deadline_)
        return giveUp(GiveUpReason::DeadlinePassed);
    isWaiting_ = true;
    return { AwaitAdmission {} };
}

ExecutionActions RequestExecution::onAdmitted(TimePoint now)
{
    if (finished_ || !isWaiting_)
        return {};
    isWaiting_ = false;
    return send(false, now);
}

ExecutionActions RequestExecution::onAdmissionRefused(TimePoint now)
{
    if (finished_ || !isWaiting_)
        return {};
    isWaiting_ = false;
    return giveUp(now >= policy_.deadline_ ? GiveUpReason::DeadlinePassed
                                           : GiveUpReason::Overloaded);
}

ExecutionActions RequestExecution::onFailed(AttemptNumber attempt, AttemptState state,
                                            AttemptFailure failure, TimePoint now)
{
    AttemptRecord &record = attempts_.at(attempt);
    record.running_ = false;
    record.state_ = state;
    if (finished_ || isRunning())
        return {};
    return retryOrGiveUp(state, failure, now);
}

ExecutionActions RequestExecution::retryOrGiveUp(AttemptState state, AttemptFailure failure,
                                                 TimePoint now)
{
    if (now >= policy_.deadline_)
        return giveUp(GiveUpReason::DeadlinePassed);
    if (!mayRetry(state))
        return giveUp(reasonFor(failure));
    const bool isRejected = state == AttemptState::DeclaredNotRun;
    if (isRejected && !mayRetryAfterRejection())
        return giveUp(GiveUpReason::Overloaded);
    // The owner is changing or lost. The request did not run, so it waits for the next owner.
    const bool isOwnerUnavailable = failure == AttemptFailure::StaleEpoch
                                    || (policy_.waitsForOwner_ && failure == AttemptFailure::Gone);
    if (isOwnerUnavailable && !mayAwaitOwner(now))
        return giveUp(GiveUpReason::NoBackend);
    if (isOwnerUnavailable) {
        retryAt_ = now + kOwnerRetryDelay;
        return { WakeAt { *retryAt_ } };
    }
    const bool isExhausted = attempts_.size() >= policy_.maxAttempts_;
    // A back end that sheds a request has not run it, so the request can wait in the queue.
    const bool isShed = failure == AttemptFailure::Shed;
    if (isShed && (isExhausted || policy_.waitsForOwner_))
        return awaitAdmission(now);
    const bool isBudgeted = isRejected && areRejectionsLimited();
    if (isExhausted || (!isBudgeted && !retries_.tryAcquire()))
        return isShed ? awaitAdmission(now) : giveUp(reasonFor(failure));
    // No other back end may run it, so it waits until its owner has room.
    if (failure == AttemptFailure::Full && policy_.waitsForOwner_)
        return awaitAdmission(now);
    return send(false, now);
}

bool RequestExecution::areRejectionsLimited() const
{
    return policy_.maxRejections_ != kUnlimited;
}

// Where rejections are limited, a resend after a rejection also draws on the retry budget.
bool RequestExecution::mayRetryAfterRejection()
{
    if (!areRejectionsLimited())
        return true;
    ++rejections_;
    return rejections_ <= policy_.maxRejections_ && attempts_.size() < policy_.maxAttempts_
           && retries_.tryAcquire();
}

ExecutionActions RequestExecution::onAnswered(AttemptNumber attempt, TimePoint)
{
    AttemptRecord &record = attempts_.at(attempt);
    record.running_ = false;
    record.state_ = AttemptState::Answered;
    if (finished_)
        return {};
    finished_ = true;
    ExecutionActions actions;
    for (AttemptNumber other = 0; other < attempts_.size(); ++other) {
        if (attempts_[other].running_)
            actions.emplace_back(CancelAttempt { other });
    }
    actions.emplace_back(DeliverAnswer { attempt });
    return actions;
}

ExecutionActions RequestExecution::onWake(TimePoint now)
{
    if (finished_)
        return {};
    if (retryAt_ && now >= *retryAt_) {
        retryAt_.reset();
        return isRunning() ? ExecutionActions {} : send(false, now);
    }
    const bool isHedgeDue = hedgeAt_ && now >= *hedgeAt_;
    if (!isHedgeDue)
        return {};
    hedgeAt_.reset();
    const bool mayHedge = isRunning() && attempts_.size() < policy_.maxAttempts_
                          && now < policy_.deadline_ && hedges_.tryAcquire();
    return mayHedge ? send(true, now) : ExecutionActions {};
}

ExecutionActions RequestExecution::onCallerLeft(TimePoint)
{
    if (finished_ || (isRunning() && !policy_.idempotent_))
        return {};
    return cancelAndGiveUp(GiveUpReason::CallerLeft);
}

ExecutionActions RequestExecution::onHostStopping()
{
    return finished_ ? ExecutionActions {} : cancelAndGiveUp(GiveUpReason::HostStopping);
}

ExecutionActions RequestExecution::cancelAndGiveUp(GiveUpReason reason)
{
    ExecutionActions actions;
    for (AttemptNumber attempt = 0; attempt < attempts_.size(); ++attempt) {
        if (!attempts_[attempt].running_)
            continue;
        attempts_[attempt].running_ = false;
        attempts_[attempt].state_ = AttemptState::Sent;
        actions.emplace_back(CancelAttempt { attempt });
    }
    const ExecutionActions end = giveUp(reason);
    actions.insert(actions.end(), end.begin(), end.end());
    return actions;
}

ExecutionActions RequestExecution::giveUp(GiveUpReason reason)
{
    finished_ = true;
    return { GiveUp { reason, outcome() } };
}

bool RequestExecution::mayRetry(AttemptState state) const
{
    return policy_.idempotent_ || outcomeOf(state) == Outcome::NotRun;
}

bool RequestExecution::isRunning() const
{
    return std::any_of(attempts_.begin(), attempts_.end(),
                       [](const AttemptRecord &record) { return record.running_; });
}

Outcome RequestExecution::outcome() const
{
    Outcome outcome = Outcome::NotRun;
    for (const AttemptRecord &record : attempts_)
        outcome = combined(outcome, outcomeOf(record.state_));
    return outcome;
}

} // namespace pimentostage
