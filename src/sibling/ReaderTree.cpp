#include "pimentostage/sibling/ReaderTree.h"

#include "pimentostage/sibling/HostRanking.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr const char *kReaderRoleName = "readers";

} // namespace

ReaderTree::ReaderTree(MemberUpdate self, std::size_t readers)
    : self_(std::move(self))
    , readers_(readers)
    , isReader_(readers == 0)
{ }

void ReaderTree::update(const Membership &membership)
{
    if (readers_ == 0 || membership.viewNumber() == viewNumber_)
        return;
    viewNumber_ = membership.viewNumber();
    const std::vector<Member> ranked
        = rankedFor(RoleName(kReaderRoleName), membership.view(), membership.highCapacityMembers());
    const auto position = std::find(ranked.begin(), ranked.end(), self_.member_);
    const auto rank = static_cast<std::size_t>(position - ranked.begin());
    isReader_ = rank < readers_;
    source_.reset();
    if (isReader_ || position == ranked.end())
        return;
    std::vector<HostName> precedingInZone; // higher-ranked hosts of this data centre, in order
    for (std::size_t i = 0; i < rank; ++i) {
        if (membership.find(ranked[i].host_)->zone_ == self_.zone_)
            precedingInZone.push_back(ranked[i].host_);
    }
    // In a small fleet a direct request to a reader costs less than the latency of another hop.
    const bool isSmall = ranked.size() <= readers_ + readers_ * kMaxChildren;
    const std::size_t readersInZone = static_cast<std::size_t>(std::count_if(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(readers_),
        [&](const Member &member) { return membership.find(member.host_)->zone_ == self_.zone_; }));
    const bool isSourceReader = precedingInZone.empty() || (isSmall && readersInZone == 0);
    source_ = isSourceReader ? ranked[rank % readers_].host_
                             : precedingInZone[(precedingInZone.size() - 1) / kMaxChildren];
}

} // namespace pimentostage
