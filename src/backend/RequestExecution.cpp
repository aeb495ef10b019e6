#include "pimentostage/backend/RequestExecution.h"

#include "pimentostage/backend/ShareBudget.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Time between tries to find the present owner of a key, or a back end with room.
constexpr Duration kOwnerDelay = std::chrono::milliseconds(20);

constexpr std::uint32_t kUnlimited = std::numeric_limits<std::uint32_t>::max();

GiveUpReason reasonFor(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::TimedOut:
        return GiveUpReason::DeadlinePassed;
    case AttemptFailure::Broken:
    case AttemptFailure::Mismatched:
        return GiveUpReason::AnswerBroken;
    case AttemptFailure::ConnectFailed:
    case AttemptFailure::Shed:
    case AttemptFailure::StaleEpoch:
        break;
    }
    return GiveUpReason::AttemptsFailed;
}

} // namespace

RequestExecution::RequestExecution(const ExecutionPolicy &policy, ShareBudget &retries,
                                   ShareBudget &hedges)
    : policy_(policy)
    , retries_(retries)
    , hedges_(hedges)
{ }

ExecutionActions RequestExecution::start(TimePoint now)
{
    retries_.earn();
    hedges_.earn();
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
    attempts_.push_back(Tracked { true, isHedge, AttemptState::NotSent });
    return { SendAttempt { attempt, isHedge } };
}

ExecutionActions RequestExecution::onNoBackend(AttemptNumber attempt, TimePoint now)
{
    Tracked &tracked = attempts_.at(attempt);
    tracked.running_ = false;
    tracked.state_ = AttemptState::NotSent;
    if (finished_ || isRunning())
        return {};
    if (!mayAwaitOwner(now))
        return giveUp(GiveUpReason::NoBackend);
    // No attempt was spent: the placement or a slot may become free before the deadline.
    attempts_.pop_back();
    retryAt_ = now + kOwnerDelay;
    return { WakeAt { *retryAt_ } };
}

bool RequestExecution::mayAwaitOwner(TimePoint now)
{
    if (!ownerlessSince_)
        ownerlessSince_ = now;
    const bool isInTime
        = !policy_.mostOwnerWait_ || now + kOwnerDelay < *ownerlessSince_ + *policy_.mostOwnerWait_;
    return isInTime && now + kOwnerDelay < policy_.deadline_;
}

ExecutionActions RequestExecution::onBusy(AttemptNumber attempt, TimePoint now)
{
    // No attempt was spent.
    attempts_.erase(attempts_.begin() + attempt);
    if (finished_ || isRunning())
        return {};
    return awaitRoom(now);
}

ExecutionActions RequestExecution::awaitRoom(TimePoint now)
{
    if (now >= policy_.deadline_)
        return giveUp(GiveUpReason::DeadlinePassed);
    isWaiting_ = true;
    return { AwaitRoom {} };
}

ExecutionActions RequestExecution::onRoom(TimePoint now)
{
    if (finished_ || !isWaiting_)
        return {};
    isWaiting_ = false;
    return send(false, now);
}

ExecutionActions RequestExecution::onNoRoom(TimePoint now)
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
    Tracked &tracked = attempts_.at(attempt);
    tracked.running_ = false;
    tracked.state_ = state;
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
    if (isRejected && !mayGoOnAfterRejection())
        return giveUp(GiveUpReason::Overloaded);
    // The owner is changing or lost: the request waits for the next one, for nothing was sent.
    const bool isOwnerGone
        = failure == AttemptFailure::StaleEpoch
          || (policy_.waitsForOwner_ && failure == AttemptFailure::ConnectFailed);
    if (isOwnerGone && !mayAwaitOwner(now))
        return giveUp(GiveUpReason::NoBackend);
    if (isOwnerGone) {
        retryAt_ = now + kOwnerDelay;
        return { WakeAt { *retryAt_ } };
    }
    const bool isSpent = attempts_.size() >= policy_.mostAttempts_;
    // A back end that sheds has not run the request, which then waits its turn.
    const bool isShed = failure == AttemptFailure::Shed;
    if (isShed && (isSpent || policy_.waitsForOwner_))
        return awaitRoom(now);
    const bool isPaid = isRejected && areRejectionsCounted();
    if (isSpent || (!isPaid && !retries_.take()))
        return isShed ? awaitRoom(now) : giveUp(reasonFor(failure));
    return send(false, now);
}

bool RequestExecution::areRejectionsCounted() const
{
    return policy_.mostRejections_ != kUnlimited;
}

// Where rejected arrivals count, sending the request again draws on the budget of retries.
bool RequestExecution::mayGoOnAfterRejection()
{
    if (!areRejectionsCounted())
        return true;
    ++rejections_;
    return rejections_ <= policy_.mostRejections_ && attempts_.size() < policy_.mostAttempts_
           && retries_.take();
}

ExecutionActions RequestExecution::onAnswered(AttemptNumber attempt, TimePoint)
{
    Tracked &tracked = attempts_.at(attempt);
    tracked.running_ = false;
    tracked.state_ = AttemptState::Answered;
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
    const bool mayHedge = isRunning() && attempts_.size() < policy_.mostAttempts_
                          && now < policy_.deadline_ && hedges_.take();
    return mayHedge ? send(true, now) : ExecutionActions {};
}

ExecutionActions RequestExecution::onCallerLeft(TimePoint)
{
    if (finished_ || (isRunning() && !policy_.idempotent_))
        return {};
    ExecutionActions actions;
    for (AttemptNumber attempt = 0; attempt < attempts_.size(); ++attempt) {
        if (!attempts_[attempt].running_)
            continue;
        attempts_[attempt].running_ = false;
        attempts_[attempt].state_ = AttemptState::Sent;
        actions.emplace_back(CancelAttempt { attempt });
    }
    const ExecutionActions end = giveUp(GiveUpReason::CallerLeft);
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
                       [](const Tracked &tracked) { return tracked.running_; });
}

Outcome RequestExecution::outcome() const
{
    Outcome outcome = Outcome::NotRun;
    for (const Tracked &tracked : attempts_)
        outcome = combined(outcome, outcomeOf(tracked.state_));
    return outcome;
}

} // namespace pimentostage
