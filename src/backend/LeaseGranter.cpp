#include "pimentostage/backend/LeaseGranter.h"

#include "pimentostage/base/Ids.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A holder whose last reply is older than this gets no further units.
constexpr Duration kReplyTimeout = 4 * kGrantPeriod;
// Period at which a holder is polled while requests for withdrawn units still run there.
constexpr Duration kDrainPollPeriod = std::chrono::milliseconds(5);

} // namespace

template <typename Holder>
LeaseGranter<Holder>::LeaseGranter(ServiceName service, Duration maxWorkDuration)
    : service_(std::move(service))
    , maxWorkDuration_(maxWorkDuration)
{ }

template <typename Holder>
void LeaseGranter<Holder>::begin(Epoch roleEpoch, TimePoint now)
{
    roleEpoch_ = roleEpoch;
    startedAt_ = now;
}

template <typename Holder>
void LeaseGranter<Holder>::end()
{
    std::erase_if(leases_, [](const auto &entry) { return !entry.second.receivesGrants_; });
    for (auto &[holder, lease] : leases_) {
        lease = Lease {};
        lease.receivesGrants_ = true;
    }
}

template <typename Holder>
void LeaseGranter<Holder>::setHolders(const std::set<Holder> &holders)
{
    for (auto &[holder, lease] : leases_)
        lease.receivesGrants_ = false;
    for (const Holder &holder : holders)
        leases_[holder].receivesGrants_ = true;
}

template <typename Holder>
void LeaseGranter<Holder>::assumeEarlierLease(const Holder &holder)
{
    Lease &lease = leases_[holder];
    lease.expiresAt_
        = std::max(lease.expiresAt_, startedAt_ + kClockDrift.stretched(kServerLeaseDuration));
}

template <typename Holder>
void LeaseGranter<Holder>::setUnits(const std::map<Holder, GrantedUnits> &units)
{
    static const GrantedUnits kNone;
    for (auto &[holder, lease] : leases_) {
        const auto found = units.find(holder);
        const GrantedUnits &wanted = found == units.end() ? kNone : found->second;
        const bool hasChanged = lease.unitsSequence_ == 0 || wanted != lease.units_;
        if (!hasChanged)
            continue;
        lease.units_ = wanted;
        lease.digest_ = digestOf(wanted);
        lease.unitsSequence_ = lease.sequence_ + 1;
        lease.nextGrantAt_ = TimePoint {};
    }
}

// A removed holder still gets grants that withdraw its units: its acknowledgement arrives sooner
// than its lease expires.
template <typename Holder>
auto LeaseGranter<Holder>::collectDueGrants(TimePoint now) -> std::vector<DueGrant>
{
    std::vector<DueGrant> due;
    for (auto &[holder, lease] : leases_) {
        const bool isFinished = !lease.receivesGrants_ && now >= lease.expiresAt_;
        if (isFinished || now < lease.nextGrantAt_)
            continue;
        lease.nextGrantAt_ = now + kGrantPeriod;
        if (lease.stamp_) {
            const TimePoint until
                = lease.stampReceivedAt_ + kClockDrift.stretched(kServerLeaseDuration);
            lease.expiresAt_ = std::max(lease.expiresAt_, until);
        }
        due.push_back({ holder, makeGrant(lease) });
    }
    return due;
}

template <typename Holder>
Grant LeaseGranter<Holder>::makeGrant(Lease &lease) const
{
    Grant grant;
    grant.service_ = service_;
    grant.roleEpoch_ = roleEpoch_;
    grant.sequence_ = ++lease.sequence_;
    grant.stamp_ = lease.stamp_.value_or(ServerStamp {});
    grant.lease_ = kServerLeaseDuration;
    grant.unitsDigest_ = lease.digest_;
    if (lease.ackedSequence_ < lease.unitsSequence_)
        grant.units_ = lease.units_;
    return grant;
}

template <typename Holder>
void LeaseGranter<Holder>::onReply(const Holder &holder, const GrantReply &reply, TimePoint now)
{
    const auto found = leases_.find(holder);
    if (found == leases_.end())
        return;
    Lease &lease = found->second;
    const bool isRestarted
        = lease.stamp_ && lease.stamp_->incarnation_ != reply.stamp_.incarnation_;
    const bool isOutdated = lease.stamp_ && !isRestarted && reply.stamp_.at_ < lease.stamp_->at_;
    const bool isFromNewerCoordinator = reply.roleEpoch_ > roleEpoch_;
    if (isOutdated || isFromNewerCoordinator)
        return;
    const bool isFirstFromProcess = !lease.stamp_ || isRestarted;
    lease.stamp_ = reply.stamp_;
    lease.stampReceivedAt_ = now;
    lease.lastReplyAt_ = now;
    const bool isSameRole = reply.roleEpoch_ == roleEpoch_;
    lease.ackedSequence_ = isSameRole ? reply.sequence_ : 0;
    lease.draining_ = { reply.draining_.begin(), reply.draining_.end() };
    const bool mustSendNow = isFirstFromProcess || reply.result_ == GrantResult::UnknownStamp
                             || reply.result_ == GrantResult::UnknownUnits;
    if (reply.result_ == GrantResult::UnknownUnits)
        lease.ackedSequence_ = 0;
    if (mustSendNow)
        lease.nextGrantAt_ = now;
    else if (!lease.draining_.empty())
        lease.nextGrantAt_ = std::min(lease.nextGrantAt_, now + kDrainPollPeriod);
}

template <typename Holder>
auto LeaseGranter<Holder>::find(const Holder &holder) const -> const Lease *
{
    const auto found = leases_.find(holder);
    return found == leases_.end() ? nullptr : &found->second;
}

template <typename Holder>
bool LeaseGranter<Holder>::isResponsive(const Lease &lease, TimePoint now)
{
    return lease.lastReplyAt_ + kReplyTimeout > now;
}

template <typename Holder>
bool LeaseGranter<Holder>::isResponsive(const Holder &holder, TimePoint now) const
{
    const Lease *lease = find(holder);
    return lease && isResponsive(*lease, now);
}

template <typename Holder>
bool LeaseGranter<Holder>::hasExpired(const Lease &lease, TimePoint now) const
{
    return now >= lease.expiresAt_ + maxWorkDuration_;
}

template <typename Holder>
bool LeaseGranter<Holder>::hasExpired(const Holder &holder, TimePoint now) const
{
    const Lease *lease = find(holder);
    if (!lease)
        return now >= startedAt_ + kClockDrift.stretched(kServerLeaseDuration) + maxWorkDuration_;
    return hasExpired(*lease, now);
}

template <typename Holder>
bool LeaseGranter<Holder>::hasReleased(const Holder &holder, const UnitName &unit,
                                       TimePoint now) const
{
    const Lease *lease = find(holder);
    return lease ? hasReleased(*lease, unit, now) : hasExpired(holder, now);
}

template <typename Holder>
bool LeaseGranter<Holder>::haveAllReleased(const UnitName &unit, TimePoint now) const
{
    return std::all_of(leases_.begin(), leases_.end(),
                       [&](const auto &entry) { return hasReleased(entry.second, unit, now); });
}

template <typename Holder>
bool LeaseGranter<Holder>::hasReleased(const Lease &lease, const UnitName &unit,
                                       TimePoint now) const
{
    if (hasExpired(lease, now))
        return true;
    const bool isAcknowledged
        = lease.unitsSequence_ > 0 && lease.ackedSequence_ >= lease.unitsSequence_;
    return isAcknowledged && !lease.units_.contains(unit) && !lease.draining_.contains(unit);
}

template <typename Holder>
std::set<Holder> LeaseGranter<Holder>::holders() const
{
    std::set<Holder> holders;
    for (const auto &[holder, lease] : leases_)
        holders.insert(holder);
    return holders;
}

template <typename Holder>
std::size_t LeaseGranter<Holder>::responsiveCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(leases_.begin(), leases_.end(),
                      [&](const auto &entry) { return isResponsive(entry.second, now); }));
}

template class LeaseGranter<BackendName>;
template class LeaseGranter<Member>;

} // namespace pimentostage
