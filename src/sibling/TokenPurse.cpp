#include "pimentostage/sibling/TokenPurse.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A renewal gives back only if the share is this much larger than the demand.
constexpr double kMostSurplus = 3;
// What a recalled purse keeps: the demand of the moment with some room, and little in its bucket.
constexpr double kRecalledHeadroom = 1.2;
constexpr double kRecalledBurstSeconds = 0.05;

} // namespace

TokenPurse::TokenPurse(AccountName account)
    : account_(std::move(account))
{ }

SpendResult TokenPurse::spend(double tokens, TimePoint now, Waiter waiter)
{
    const std::lock_guard lock(mutex_);
    usedAt_ = now;
    demand_.add(tokens, now);
    recentDemand_.add(tokens, now);
    refill(now);
    if (waiting_.empty() && take(tokens))
        return SpendResult::Spent;
    if (now < emptyUntil_ || waiting_.size() >= kMostWaiters)
        return SpendResult::Refused;
    waiting_.push_back(Waiting { tokens, now, std::move(waiter) });
    return SpendResult::Waiting;
}

AllowanceRequest TokenPurse::request(TimePoint now, PurseNeed need)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    AllowanceRequest request;
    request.account_ = account_;
    request.lastLoan_ = lastLoan_;
    request.demand_ = demand_.at(now);
    if (need == PurseNeed::Recalled) {
        request.demand_ = std::min(request.demand_, recentDemand_.at(now));
        const double rate = kRecalledHeadroom * request.demand_;
        request.returned_ = shrink(rate, 1 + rate * kRecalledBurstSeconds);
    } else if (rate_ > kMostSurplus * request.demand_) {
        request.returned_ = shrink(kMostSurplus * request.demand_, burst_);
    }
    for (const Waiting &waiting : waiting_) {
        request.wanted_ += waiting.tokens_;
        const bool isLeast = request.leastUseful_ == 0 || waiting.tokens_ < request.leastUseful_;
        if (isLeast)
            request.leastUseful_ = waiting.tokens_;
    }
    if (now < validUntil_) {
        request.heldRate_ = rate_;
        request.heldBurst_ = burst_;
        request.heldFor_ = validUntil_ - now;
    }
    return request;
}

void TokenPurse::refuseBefore(Epoch epoch)
{
    const std::lock_guard lock(mutex_);
    leastEpoch_ = std::max(leastEpoch_, epoch);
}

void TokenPurse::applyLoan(const AllowanceLoan &loan, TimePoint sentAt, TimePoint now)
{
    std::vector<Decided> decided;
    {
        const std::lock_guard lock(mutex_);
        if (loan.number_ <= lastLoan_ || loan.number_.epoch_ < leastEpoch_)
            return;
        refill(now);
        lastLoan_ = loan.number_;
        rate_ = loan.rate_;
        burst_ = loan.burst_;
        level_ = std::min(level_, burst_);
        validUntil_ = sentAt + loan.validity_;
        topUp_ = loan.tokens_;
        topUpUntil_ = sentAt + kTopUpValidity;
        emptyUntil_ = now + loan.emptyFor_;
        refill(now);
        decided = decideWaiters(now);
    }
    for (const Decided &entry : decided)
        entry.waiter_(entry.result_);
}

void TokenPurse::serveWaiters(TimePoint now)
{
    std::vector<Decided> decided;
    {
        const std::lock_guard lock(mutex_);
        refill(now);
        decided = decideWaiters(now);
    }
    for (const Decided &entry : decided)
        entry.waiter_(entry.result_);
}

std::vector<TokenPurse::Decided> TokenPurse::decideWaiters(TimePoint now)
{
    std::vector<Decided> decided;
    while (!waiting_.empty()) {
        const bool isServed = take(waiting_.front().tokens_);
        if (!isServed && now >= emptyUntil_)
            break;
        const SpendResult result = isServed ? SpendResult::Spent : SpendResult::Refused;
        decided.push_back(Decided { std::move(waiting_.front().waiter_), result });
        waiting_.pop_front();
    }
    return decided;
}

void TokenPurse::expireWaiters(TimePoint now)
{
    std::vector<Waiter> expired;
    {
        const std::lock_guard lock(mutex_);
        while (!waiting_.empty() && waiting_.front().since_ + kMostWait <= now) {
            expired.push_back(std::move(waiting_.front().waiter_));
            waiting_.pop_front();
        }
    }
    for (const Waiter &waiter : expired)
        waiter(SpendResult::Unavailable);
}

bool TokenPurse::holdsLoan(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return now < validUntil_ || now < topUpUntil_;
}

bool TokenPurse::hasWaiters() const
{
    const std::lock_guard lock(mutex_);
    return !waiting_.empty();
}

TimePoint TokenPurse::usedAt() const
{
    const std::lock_guard lock(mutex_);
    return usedAt_;
}

void TokenPurse::refill(TimePoint now)
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

bool TokenPurse::take(double tokens)
{
    if (level_ + topUp_ < tokens)
        return false;
    const double fromTopUp = std::min(topUp_, tokens);
    topUp_ -= fromTopUp;
    level_ -= tokens - fromTopUp;
    return true;
}

/// @return tokens that no longer fit into the bucket.
double TokenPurse::shrink(double rate, double burst)
{
    rate_ = std::min(rate_, rate);
    burst_ = std::min(burst_, burst);
    const double surplus = std::max(0.0, level_ - burst_);
    level_ -= surplus;
    return surplus;
}

} // namespace pimentostage
