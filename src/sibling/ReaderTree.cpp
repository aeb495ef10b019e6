#include "pimentostage/sibling/ReaderTree.h"

#include "pimentostage/sibling/RoleKeeper.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr const char *kReaderRank = "readers";

/// @return the rank of the host that the one at @p rank asks. Those next to the readers are
///         divided among them evenly, also if they are few.
std::size_t sourceRank(std::size_t rank, std::size_t readers)
{
    const bool isNextToReaders = rank < readers + readers * ReaderTree::kMostAskers;
    return isNextToReaders ? rank % readers : (rank - readers) / ReaderTree::kMostAskers;
}

} // namespace

ReaderTree::ReaderTree(Member self, std::size_t readers)
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
    const auto rank
        = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), self_) - ranked.begin());
    isReader_ = rank < readers_;
    source_.reset();
    if (!isReader_ && rank < ranked.size())
        source_ = ranked[sourceRank(rank, readers_)].host_;
}

} // namespace pimentostage
