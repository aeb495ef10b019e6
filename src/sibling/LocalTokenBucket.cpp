#include "pimentostage/sibling/LocalTokenBucket.h"

#include <algorithm>
#include <utility>

namespace pimentostage {

namespace {

// A regular request returns a part of the share only if its rate exceeds the demand by this factor.
constexpr double kMaxSurplusFactor = 3;
// After a reclaim the host keeps the current demand times this factor, and a bucket that holds one
// token plus those that accrue in kReclaimBurstSeconds.
constexpr double kReclaimHeadroom = 1.2;
constexpr double kReclaimBurstSeconds = 0.05;

} // namespace

LocalTokenBucket::LocalTokenBucket(AccountName account)
    : account_(std::move(account))
{ }

SpendResult LocalTokenBucket::spend(double tokens, TimePoint now, Callback callback)
{
    const std::lock_guard lock(mutex_);
    if (isClosed_)
        return SpendResult::Refused;
    lastUsedAt_ = now;
    demand_.add(tokens, now);
    recentDemand_.add(tokens, now);
    refill(now);
    if (waiters_.empty() && takeTokens(tokens))
        return SpendResult::Spent;
    if (now < noTokensUntil_ || waiters_.size() >= kMaxWaiters)
        return SpendResult::Refused;
    waiters_.push_back(Waiter { tokens, now, std::move(callback) });
    return SpendResult::Waiting;
}

AllowanceRequest LocalTokenBucket::request(TimePoint now, RequestKind kind)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    AllowanceRequest request;
    request.account_ = account_;
    request.lastLeaseId_ = lastLeaseId_;
    request.demand_ = demand_.at(now);
    if (kind == RequestKind::Reclaim) {
        request.demand_ = std::min(request.demand_, recentDemand_.at(now));
        const double rate = kReclaimHeadroom * request.demand_;
        request.returnedTokens_ = shrink(rate, 1 + rate * kReclaimBurstSeconds);
    } else if (rate_ > kMaxSurplusFactor * request.demand_) {
        request.returnedTokens_ = shrink(kMaxSurplusFactor * request.demand_, burst_);
    }
    for (const Waiter &waiter : waiters_) {
        request.requestedTokens_ += waiter.tokens_;
        const bool isSmallest
            = request.minUsefulTokens_ == 0 || waiter.tokens_ < request.minUsefulTokens_;
        if (isSmallest)
            request.minUsefulTokens_ = waiter.tokens_;
    }
    if (now < validUntil_) {
        request.heldRate_ = rate_;
        request.heldBurst_ = burst_;
        request.heldValidity_ = validUntil_ - now;
    }
    return request;
}

void LocalTokenBucket::rejectLeasesBefore(Epoch epoch)
{
    const std::lock_guard lock(mutex_);
    minEpoch_ = std::max(minEpoch_, epoch);
}

void LocalTokenBucket::applyLease(const AllowanceLease &lease, TimePoint sentAt, TimePoint now)
{
    std::vector<Completion> completions;
    {
        const std::lock_guard lock(mutex_);
        if (lease.id_ <= lastLeaseId_ || lease.id_.epoch_ < minEpoch_)
            return;
        refill(now);
        lastLeaseId_ = lease.id_;
        rate_ = lease.rate_;
        burst_ = lease.burst_;
        level_ = std::min(level_, burst_);
        validUntil_ = sentAt + lease.validity_;
        topUp_ = lease.tokens_;
        topUpUntil_ = sentAt + kTopUpValidity;
        noTokensUntil_ = now + lease.retryAfter_;
        refill(now);
        completions = completeWaiters(now);
    }
    for (const Completion &completion : completions)
        completion.callback_(completion.result_);
}

void LocalTokenBucket::serveWaiters(TimePoint now)
{
    std::vector<Completion> completions;
    {
        const std::lock_guard lock(mutex_);
        refill(now);
        completions = completeWaiters(now);
    }
    for (const Completion &completion : completions)
        completion.callback_(completion.result_);
}

std::vector<LocalTokenBucket::Completion> LocalTokenBucket::completeWaiters(TimePoint now)
{
    std::vector<Completion> completions;
    while (!waiters_.empty()) {
        const bool isServed = takeTokens(waiters_.front().tokens_);
        if (!isServed && now >= noTokensUntil_)
            break;
        const SpendResult result = isServed ? SpendResult::Spent : SpendResult::Refused;
        completions.push_back(Completion { std::move(waiters_.front().callback_), result });
        waiters_.pop_front();
    }
    return completions;
}

void LocalTokenBucket::expireWaiters(TimePoint now)
{
    std::vector<Callback> expired;
    {
        const std::lock_guard lock(mutex_);
        while (!waiters_.empty() && waiters_.front().since_ + kMaxWait <= now) {
            expired.push_back(std::move(waiters_.front().callback_));
            waiters_.pop_front();
        }
    }
    for (const Callback &callback : expired)
        callback(SpendResult::Unavailable);
}

void LocalTokenBucket::close()
{
    std::deque<Waiter> refused;
    {
        const std::lock_guard lock(mutex_);
        isClosed_ = true;
        refused = std::exchange(waiters_, {});
    }
    for (const Waiter &waiter : refused)
        waiter.callback_(SpendResult::Refused);
}

bool LocalTokenBucket::holdsLease(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return now < validUntil_ || now < topUpUntil_;
}

bool LocalTokenBucket::hasWaiters() const
{
    const std::lock_guard lock(mutex_);
    return !waiters_.empty();
}

TimePoint LocalTokenBucket::lastUsedAt() const
{
    const std::lock_guard lock(mutex_);
    return lastUsedAt_;
}

void LocalTokenBucket::refill(TimePoint now)
{
    if (now >= validUntil_) {
        rate_ = 0;
        burst_ = 0;
        level_ = 0;
    } else if (now > refilledAt_) {
        level_ = std::min(burst_, level_ + rate_ * toSeconds(now - refilledAt_));
    }
    refilledAt_ = std::max(refilledAt_, now);
    if (now >= topUpUntil_)
        topUp_ = 0;
}

bool LocalTokenBucket::takeTokens(double tokens)
{
    if (level_ + topUp_ < tokens)
        return false;
    const double fromTopUp = std::min(topUp_, tokens);
    topUp_ -= fromTopUp;
    level_ -= tokens - fromTopUp;
    return true;
}

/// @return the tokens that no longer fit into the bucket.
double LocalTokenBucket::shrink(double rate, double burst)
{
    rate_ = std::min(rate_, rate);
    burst_ = std::min(burst_, burst);
    const double surplus = std::max(0.0, level_ - burst_);
    level_ -= surplus;
    return surplus;
}

} // namespace pimentostage
