#include "pimentostage/backend/LeaseGranter.h"

#include "pimentostage/base/Ids.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A holder that has not answered for this long is given no more units.
constexpr Duration kAnswerWindow = 4 * kGrantPeriod;
// How often a holder is asked whether requests for units withdrawn from it have ended.
constexpr Duration kDrainingPeriod = std::chrono::milliseconds(5);

} // namespace

template <typename Holder>
LeaseGranter<Holder>::LeaseGranter(ServiceName service, Duration tail)
    : service_(std::move(service))
    , tail_(tail)
{ }

template <typename Holder>
void LeaseGranter<Holder>::begin(Epoch roleEpoch, TimePoint now)
{
    roleEpoch_ = roleEpoch;
    begunAt_ = now;
}

template <typename Holder>
void LeaseGranter<Holder>::end()
{
    std::erase_if(leases_, [](const auto &entry) { return !entry.second.isGranted_; });
    for (auto &[holder, lease] : leases_) {
        lease = Lease {};
        lease.isGranted_ = true;
    }
}

template <typename Holder>
void LeaseGranter<Holder>::setHolders(const std::set<Holder> &holders)
{
    for (auto &[holder, lease] : leases_)
        lease.isGranted_ = false;
    for (const Holder &holder : holders)
        leases_[holder].isGranted_ = true;
}

template <typename Holder>
void LeaseGranter<Holder>::expectEarlierLease(const Holder &holder)
{
    Lease &lease = leases_[holder];
    lease.until_ = std::max(lease.until_, begunAt_ + kClockDrift.stretched(kServerLease));
}

template <typename Holder>
void LeaseGranter<Holder>::setUnits(const std::map<Holder, GrantedUnits> &units)
{
    static const GrantedUnits kNone;
    for (auto &[holder, lease] : leases_) {
        const auto found = units.find(holder);
        const GrantedUnits &wanted = found == units.end() ? kNone : found->second;
        const bool isChange = lease.unitsSequence_ == 0 || wanted != lease.units_;
        if (!isChange)
            continue;
        lease.units_ = wanted;
        lease.digest_ = digestOf(wanted);
        lease.unitsSequence_ = lease.sequence_ + 1;
        lease.next_ = TimePoint {};
    }
}

// A holder that is to get no grants any more is still told what is withdrawn from it, for its word
// comes sooner than the end of its lease.
template <typename Holder>
auto LeaseGranter<Holder>::takeDue(TimePoint now) -> std::vector<Due>
{
    std::vector<Due> due;
    for (auto &[holder, lease] : leases_) {
        const bool isGone = !lease.isGranted_ && now >= lease.until_;
        if (isGone || now < lease.next_)
            continue;
        lease.next_ = now + kGrantPeriod;
        if (lease.stamp_) {
            const TimePoint until = lease.stampAt_ + kClockDrift.stretched(kServerLease);
            lease.until_ = std::max(lease.until_, until);
        }
        due.push_back({ holder, grantFor(lease) });
    }
    return due;
}

template <typename Holder>
Grant LeaseGranter<Holder>::grantFor(Lease &lease) const
{
    Grant grant;
    grant.service_ = service_;
    grant.roleEpoch_ = roleEpoch_;
    grant.sequence_ = ++lease.sequence_;
    grant.stamp_ = lease.stamp_.value_or(ServerStamp {});
    grant.lease_ = kServerLease;
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
    const bool isOlder = lease.stamp_ && !isRestarted && reply.stamp_.at_ < lease.stamp_->at_;
    const bool isForeign = reply.roleEpoch_ > roleEpoch_;
    if (isOlder || isForeign)
        return;
    const bool isFirst = !lease.stamp_ || isRestarted;
    lease.stamp_ = reply.stamp_;
    lease.stampAt_ = now;
    lease.repliedAt_ = now;
    const bool isOurs = reply.roleEpoch_ == roleEpoch_;
    lease.ackedSequence_ = isOurs ? reply.sequence_ : 0;
    lease.draining_ = { reply.draining_.begin(), reply.draining_.end() };
    const bool mustResend = isFirst || reply.result_ == GrantResult::UnknownStamp
                            || reply.result_ == GrantResult::UnknownUnits;
    if (reply.result_ == GrantResult::UnknownUnits)
        lease.ackedSequence_ = 0;
    if (mustResend)
        lease.next_ = now;
    else if (!lease.draining_.empty())
        lease.next_ = std::min(lease.next_, now + kDrainingPeriod);
}

template <typename Holder>
auto LeaseGranter<Holder>::find(const Holder &holder) const -> const Lease *
{
    const auto found = leases_.find(holder);
    return found == leases_.end() ? nullptr : &found->second;
}

template <typename Holder>
bool LeaseGranter<Holder>::isAnswering(const Lease &lease, TimePoint now)
{
    return lease.repliedAt_ + kAnswerWindow > now;
}

template <typename Holder>
bool LeaseGranter<Holder>::isAnswering(const Holder &holder, TimePoint now) const
{
    const Lease *lease = find(holder);
    return lease && isAnswering(*lease, now);
}

template <typename Holder>
bool LeaseGranter<Holder>::hasLapsed(const Lease &lease, TimePoint now) const
{
    return now >= lease.until_ + tail_;
}

template <typename Holder>
bool LeaseGranter<Holder>::hasLapsed(const Holder &holder, TimePoint now) const
{
    const Lease *lease = find(holder);
    if (!lease)
        return now >= begunAt_ + kClockDrift.stretched(kServerLease) + tail_;
    return hasLapsed(*lease, now);
}

template <typename Holder>
bool LeaseGranter<Holder>::hasReleased(const Holder &holder, const UnitName &unit,
                                       TimePoint now) const
{
    const Lease *lease = find(holder);
    return lease ? hasReleased(*lease, unit, now) : hasLapsed(holder, now);
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
    if (hasLapsed(lease, now))
        return true;
    const bool isTaken = lease.unitsSequence_ > 0 && lease.ackedSequence_ >= lease.unitsSequence_;
    return isTaken && !lease.units_.contains(unit) && !lease.draining_.contains(unit);
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
std::size_t LeaseGranter<Holder>::answering(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(leases_.begin(), leases_.end(),
                      [&](const auto &entry) { return isAnswering(entry.second, now); }));
}

template class LeaseGranter<BackendName>;
template class LeaseGranter<Member>;

} // namespace pimentostage
