#include "pimentostage/sibling/HolderAuthority.h"

#include "pimentostage/sibling/RoleTiming.h"

#include <algorithm>

namespace pimentostage {

HolderAuthority::HolderAuthority(std::vector<Member> members)
    : members_(std::move(members))
{ }

void HolderAuthority::onStoreConfirmed(TimePoint sentAt)
{
    if (ended_)
        return;
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

void HolderAuthority::startReconfiguration(std::vector<Member> members)
{
    nextMembers_ = std::move(members);
}

void HolderAuthority::finishReconfiguration()
{
    if (nextMembers_.empty())
        return;
    members_ = std::move(nextMembers_);
    nextMembers_.clear();
}

void HolderAuthority::end()
{
    ended_ = true;
    validUntil_ = TimePoint {};
}

std::vector<Member> HolderAuthority::membersToRequestFrom(TimePoint now) const
{
    std::vector<Member> members = allMembers();
    const std::size_t majorityPlusOne = majorityOf(members_.size()) + 1;
    const bool isRenewed = nextMembers_.empty() && validUntil_ >= now + kPromiseDuration / 2;
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
    std::vector<Member> all = members_;
    all.insert(all.end(), nextMembers_.begin(), nextMembers_.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

TimePoint HolderAuthority::promisedUntil() const
{
    const TimePoint until = promisedUntil(members_);
    return nextMembers_.empty() ? until : std::min(until, promisedUntil(nextMembers_));
}

TimePoint HolderAuthority::promisedUntil(const std::vector<Member> &members) const
{
    std::vector<TimePoint> ends;
    for (const Member &member : members) {
        const auto found = promiseEnds_.find(member);
        ends.push_back(found == promiseEnds_.end() ? TimePoint {} : found->second);
    }
    if (ends.empty())
        return TimePoint {};
    std::sort(ends.rbegin(), ends.rend());
    return ends[majorityOf(ends.size()) - 1];
}

} // namespace pimentostage
