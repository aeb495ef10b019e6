#include "pimentostage/sibling/HolderAuthority.h"

#include "pimentostage/sibling/RoleTiming.h"
#include "pimentostage/sibling/TermRules.h"

#include <algorithm>
#include <functional>

namespace pimentostage {

namespace {

// Without a confirmation for this time, all members are asked, since a majority may soon not do.
constexpr Duration kRecentConfirmation = kMaxTimeOnPromises / 2;

} // namespace

HolderAuthority::HolderAuthority(std::vector<Member> members, TermRule rule)
    : electorate_ { std::move(members), rule }
{ }

void HolderAuthority::onStoreConfirmed(TimePoint sentAt)
{
    if (ended_)
        return;
    confirmedAt_ = std::max(confirmedAt_, sentAt);
    validUntil_ = std::max(validUntil_, sentAt + kStoreAuthorityDuration);
}

void HolderAuthority::onPromise(const Member &voter, TimePoint sentAt, TimePoint now)
{
    TimePoint &until = promiseEnds_[voter];
    until = std::max(until, sentAt + kPromiseDuration);
    const bool hasLapsed = ended_ || now >= validUntil_;
    if (!hasLapsed)
        validUntil_ = std::max(validUntil_, promisedUntil());
}

void HolderAuthority::startReconfiguration(std::vector<Member> members, TermRule rule)
{
    next_ = Electorate { std::move(members), rule };
}

void HolderAuthority::finishReconfiguration()
{
    if (!next_)
        return;
    electorate_ = std::move(*next_);
    next_.reset();
}

void HolderAuthority::end()
{
    ended_ = true;
    validUntil_ = TimePoint {};
}

std::vector<Member> HolderAuthority::membersToRequestFrom(TimePoint now) const
{
    std::vector<Member> members = allMembers();
    const std::size_t majorityPlusOne = majorityOf(electorate_.members_.size()) + 1;
    const bool isRenewed = !next_ && validUntil_ >= now + kPromiseDuration / 2
                           && now < confirmedAt_ + kRecentConfirmation;
    if (!isRenewed || members.size() <= majorityPlusOne)
        return members;
    const auto promiseEnd = [&](const Member &member) {
        const auto found = promiseEnds_.find(member);
        return found == promiseEnds_.end() ? TimePoint {} : found->second;
    };
    std::stable_sort(members.begin(), members.end(), [&](const Member &a, const Member &b) {
        return promiseEnd(a) > promiseEnd(b);
    });
    members.resize(majorityPlusOne);
    return members;
}

std::vector<Member> HolderAuthority::allMembers() const
{
    std::vector<Member> all = electorate_.members_;
    if (next_)
        all.insert(all.end(), next_->members_.begin(), next_->members_.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

TimePoint HolderAuthority::promisedUntil() const
{
    const TimePoint until = promisedUntil(electorate_);
    return next_ ? std::min(until, promisedUntil(*next_)) : until;
}

TimePoint HolderAuthority::promisedUntil(const Electorate &electorate) const
{
    const std::vector<Member> &members = electorate.members_;
    const TimePoint first
        = promisedUntil(members, quorumOnPromises(electorate.rule_, members.size()));
    const TimePoint later
        = promisedUntil(members, quorumAfterwards(electorate.rule_, members.size()));
    return std::max(std::min(first, confirmedAt_ + kMaxTimeOnPromises), later);
}

TimePoint HolderAuthority::promisedUntil(const std::vector<Member> &members,
                                         std::size_t count) const
{
    if (members.empty() || count > members.size())
        return TimePoint {};
    std::vector<TimePoint> ends;
    for (const Member &member : members) {
        const auto found = promiseEnds_.find(member);
        ends.push_back(found == promiseEnds_.end() ? TimePoint {} : found->second);
    }
    std::sort(ends.begin(), ends.end(), std::greater<> {});
    return ends[count - 1];
}

} // namespace pimentostage
