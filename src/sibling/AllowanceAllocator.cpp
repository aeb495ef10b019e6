#include "pimentostage/sibling/AllowanceAllocator.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Maximum part of the rate that is allocated as shares; the rest refills the central bucket, which
// serves requests for immediate tokens.
constexpr double kShareableFraction = 0.8;
// Maximum part of the burst that the buckets of all shares may hold together.
constexpr double kShareableBurstFraction = 0.5;
// Ratio of a share to the demand; absorbs most variation of the demand without a further request.
constexpr double kShareHeadroom = 1.5;
// A share's bucket holds the tokens that accrue in this time, plus kMinShareBurst.
constexpr double kShareBurstSeconds = 0.25;
constexpr double kMinShareBurst = 1;
// Minimum time between two reclaim messages to the same host.
constexpr Duration kReclaimPeriod = std::chrono::milliseconds(200);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(20);

} // namespace

AllowanceAllocator::AllowanceAllocator(const RateLimit &limit, const AllocatorStart &start,
                                       TimePoint now)
    : limit_(limit)
    , start_(start)
    , advancedTo_(start.since_)
{
    const bool isFirst = start_.recoveryUntil_ <= start_.since_;
    if (isFirst)
        level_ = limit_.burst_;
    advance(now);
}

void AllowanceAllocator::setLimit(const RateLimit &limit, TimePoint now)
{
    advance(now);
    limit_ = limit;
    level_ = std::clamp(level_, 0.0, centralCap());
}

void AllowanceAllocator::endRecovery(TimePoint now)
{
    advance(now);
    start_.recoveryUntil_ = std::min(start_.recoveryUntil_, now);
}

AllocationResult AllowanceAllocator::allocate(const HostName &host, const AllowanceRequest &request,
                                              TimePoint now)
{
    advance(now);
    HostState &state = hosts_[host];
    state.demand_ = request.demand_;
    state.lastRequestAt_ = now;
    acknowledge(state, request);
    adoptPriorShare(state, request, now);

    Share share = chooseShare(host, state, now);
    share.id_ = AllowanceLeaseId { start_.epoch_, ++lastSequence_ };
    share.expiresAt_ = now + kClockDrift.stretched(kShareValidity);
    state.shares_.push_back(share);
    level_ = std::clamp(level_, 0.0, centralCap());

    AllowanceLease lease;
    lease.account_ = request.account_;
    lease.id_ = share.id_;
    lease.rate_ = share.rate_;
    lease.burst_ = share.burst_;
    lease.validity_ = kShareValidity;
    lease.tokens_ = takeTokens(request, now);
    AllocationResult result;
    if (lease.tokens_ < request.requestedTokens_)
        result.reclaimFrom_ = chooseReclaims(host, now);
    const bool isExhausted
        = lease.tokens_ < request.requestedTokens_ && result.reclaimFrom_.empty();
    if (isExhausted)
        lease.retryAfter_ = retryAfter(request, now);
    result.allowanceLease_ = std::move(lease);
    return result;
}

// The host uses the lease that it names in the request, possibly reduced, and no older one.
void AllowanceAllocator::acknowledge(HostState &state, const AllowanceRequest &request)
{
    std::erase_if(state.shares_,
                  [&](const Share &share) { return share.id_ < request.lastLeaseId_; });
    for (Share &share : state.shares_) {
        if (share.id_ != request.lastLeaseId_)
            continue;
        share.rate_ = std::min(share.rate_, request.heldRate_);
        share.burst_ = std::min(share.burst_, request.heldBurst_);
    }
    level_ = std::clamp(level_ + request.returnedTokens_, 0.0, centralCap());
}

std::vector<HostName> AllowanceAllocator::chooseReclaims(const HostName &except, TimePoint now)
{
    std::vector<HostName> reclaims;
    for (auto &[host, state] : hosts_) {
        const bool holdsShare = std::any_of(state.shares_.begin(), state.shares_.end(),
                                            [](const Share &share) { return share.rate_ > 0; });
        if (host == except || !holdsShare || now < state.lastReclaimAt_ + kReclaimPeriod)
            continue;
        state.lastReclaimAt_ = now;
        reclaims.push_back(host);
    }
    return reclaims;
}

// A share that an earlier holder allocated is kept unchanged: its rate is already within the
// limit.
void AllowanceAllocator::adoptPriorShare(HostState &state, const AllowanceRequest &request,
                                         TimePoint now)
{
    const bool isPriorShare = request.lastLeaseId_.epoch_ < start_.epoch_ && request.heldRate_ > 0;
    if (!isPriorShare || request.heldValidity_ <= Duration::zero())
        return;
    const bool isRecorded
        = std::any_of(state.shares_.begin(), state.shares_.end(),
                      [&](const Share &share) { return share.id_ == request.lastLeaseId_; });
    if (isRecorded)
        return;
    const TimePoint until = now + kClockDrift.stretched(request.heldValidity_);
    state.shares_.insert(state.shares_.begin(), Share { request.lastLeaseId_, request.heldRate_,
                                                        request.heldBurst_, until });
}

AllowanceAllocator::Share AllowanceAllocator::chooseShare(const HostName &host,
                                                          const HostState &state,
                                                          TimePoint now) const
{
    double totalDemand = 0;
    double activeHosts = 0;
    for (const auto &[name, other] : hosts_) {
        const bool isActive = other.demand_ > 0 && now < other.lastRequestAt_ + kShareValidity;
        totalDemand += isActive ? other.demand_ : 0;
        activeHosts += isActive ? 1 : 0;
    }
    double ownRate = 0;
    double ownBurst = 0;
    for (const Share &share : state.shares_) {
        ownRate = std::max(ownRate, share.rate_);
        ownBurst = std::max(ownBurst, share.burst_);
    }
    const bool isRecovering = now < start_.recoveryUntil_;
    const double freeRate
        = isRecovering ? ownRate : kShareableFraction * limit_.rate_ - (allocatedRate() - ownRate);
    const double freeBurst
        = isRecovering ? ownBurst
                       : kShareableBurstFraction * limit_.burst_ - (allocatedBurst() - ownBurst);

    Share share;
    if (activeHosts == 0 || hosts_.at(host).demand_ <= 0)
        return share;
    const double scale = std::min(kShareHeadroom, kShareableFraction * limit_.rate_ / totalDemand);
    const double burstQuota = kShareableBurstFraction * limit_.burst_ / activeHosts;
    share.rate_ = std::clamp(state.demand_ * scale, 0.0, std::max(0.0, freeRate));
    share.burst_ = std::min({ kMinShareBurst + share.rate_ * kShareBurstSeconds, burstQuota,
                              std::max(0.0, freeBurst) });
    if (share.burst_ < kMinShareBurst || share.rate_ <= 0)
        return Share {};
    return share;
}

double AllowanceAllocator::takeTokens(const AllowanceRequest &request, TimePoint now)
{
    const bool isUseful = request.requestedTokens_ > 0 && level_ >= request.minUsefulTokens_;
    if (!isUseful)
        return 0;
    const double tokens = std::min(request.requestedTokens_, level_);
    level_ -= tokens;
    topUps_.push_back(TopUp { tokens, now + kClockDrift.stretched(kTopUpValidity) });
    return tokens;
}

Duration AllowanceAllocator::retryAfter(const AllowanceRequest &request, TimePoint now) const
{
    const double rate = centralRate(now);
    if (rate <= 0)
        return kMaxRetryAfter;
    const Duration wait = fromSeconds(std::max(0.0, request.minUsefulTokens_ - level_) / rate);
    return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

void AllowanceAllocator::advance(TimePoint now)
{
    while (advancedTo_ < now) {
        const TimePoint until = nextExpiry(now);
        refill(until);
        dropExpired(until);
    }
}

TimePoint AllowanceAllocator::nextExpiry(TimePoint until) const
{
    TimePoint next = until;
    const auto consider = [&](TimePoint expiry) {
        if (expiry > advancedTo_)
            next = std::min(next, expiry);
    };
    consider(start_.since_ + kTopUpValidity);
    consider(start_.recoveryUntil_);
    for (const auto &[host, state] : hosts_) {
        for (const Share &share : state.shares_)
            consider(share.expiresAt_);
    }
    for (const TopUp &topUp : topUps_)
        consider(topUp.expiresAt_);
    return next;
}

void AllowanceAllocator::refill(TimePoint until)
{
    const double gained = centralRate(advancedTo_) * toSeconds(until - advancedTo_);
    level_ = std::clamp(level_ + gained, 0.0, centralCap());
    advancedTo_ = until;
}

void AllowanceAllocator::dropExpired(TimePoint now)
{
    for (auto &[host, state] : hosts_)
        std::erase_if(state.shares_, [&](const Share &share) { return share.expiresAt_ <= now; });
    std::erase_if(hosts_, [&](const auto &entry) {
        return entry.second.shares_.empty() && entry.second.lastRequestAt_ + kShareValidity <= now;
    });
    std::erase_if(topUps_, [&](const TopUp &topUp) { return topUp.expiresAt_ <= now; });
}

double AllowanceAllocator::allocatedRate() const
{
    double total = 0;
    for (const auto &[host, state] : hosts_) {
        double maximum = 0;
        for (const Share &share : state.shares_)
            maximum = std::max(maximum, share.rate_);
        total += maximum;
    }
    return total;
}

double AllowanceAllocator::allocatedBurst() const
{
    double total = 0;
    for (const auto &[host, state] : hosts_) {
        double maximum = 0;
        for (const Share &share : state.shares_)
            maximum = std::max(maximum, share.burst_);
        total += maximum;
    }
    return total;
}

double AllowanceAllocator::centralRate(TimePoint now) const
{
    if (now >= start_.recoveryUntil_)
        return std::max(0.0, limit_.rate_ - allocatedRate());
    // An earlier holder allocated at most the shareable fraction as shares. Its top-ups may have
    // used the rest, but they expire first.
    return now < start_.since_ + kTopUpValidity ? 0 : (1 - kShareableFraction) * limit_.rate_;
}

double AllowanceAllocator::centralCap() const
{
    double outstanding = 0;
    for (const TopUp &topUp : topUps_)
        outstanding += topUp.tokens_;
    const bool isRecovering = advancedTo_ < start_.recoveryUntil_;
    const double sharedBurst
        = isRecovering ? std::max(allocatedBurst(), kShareableBurstFraction * limit_.burst_)
                       : allocatedBurst();
    return std::max(0.0, limit_.burst_ - sharedBurst - outstanding);
}

} // namespace pimentostage
