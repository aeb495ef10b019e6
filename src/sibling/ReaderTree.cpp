#include "pimentostage/sibling/ReaderTree.h"

#include "pimentostage/sibling/HostRanking.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr const char *kReaderRank = "readers";

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
        = rankedFor(RoleName(kReaderRank), membership.view(), membership.strongest());
    const auto place = std::find(ranked.begin(), ranked.end(), self_.member_);
    const auto rank = static_cast<std::size_t>(place - ranked.begin());
    isReader_ = rank < readers_;
    source_.reset();
    if (isReader_ || place == ranked.end())
        return;
    std::vector<HostName> before; // of this data centre, in the order of their ranks
    for (std::size_t i = 0; i < rank; ++i) {
        if (membership.find(ranked[i].host_)->zone_ == self_.zone_)
            before.push_back(ranked[i].host_);
    }
    // In a small fleet a question to a reader costs less than the time of one more step.
    const bool isSmall = ranked.size() <= readers_ + readers_ * kMostAskers;
    const std::size_t readersHere = static_cast<std::size_t>(std::count_if(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(readers_),
        [&](const Member &member) { return membership.find(member.host_)->zone_ == self_.zone_; }));
    const bool asksReader = before.empty() || (isSmall && readersHere == 0);
    source_
        = asksReader ? ranked[rank % readers_].host_ : before[(before.size() - 1) / kMostAskers];
}

} // namespace pimentostage
