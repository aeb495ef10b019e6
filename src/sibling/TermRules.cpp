#include "pimentostage/sibling/TermRules.h"

#include "pimentostage/sibling/RoleTiming.h"

#include <algorithm>
#include <array>

namespace pimentostage {

namespace {

// With fewer members, the loss of all of them at once is too likely to wait for one of them.
constexpr std::size_t kMinExtendedMembers = 3;
// Hosts of the fleet that may be missing among the members, for instance during their restart.
constexpr std::size_t kMaxAbsentHosts = 1;
// From this number of members on, the holder can do without one of them, and a successor needs two.
constexpr std::size_t kMinMembersToSpareOne = 5;

std::size_t nearlyAllOf(std::size_t members)
{
    return members < kMinMembersToSpareOne ? members : members - 1;
}

std::size_t moreThan(std::size_t members)
{
    return members + 1;
}

/// How many promises a rule requires of a number of members.
struct TermQuorums
{
    TermRule rule_;
    std::size_t (*onPromises_)(std::size_t members);
    std::size_t (*afterwards_)(std::size_t members);
};

constexpr std::array kTermQuorums {
    TermQuorums { TermRule::Majority, &majorityOf, &majorityOf },
    TermQuorums { TermRule::Bounded, &majorityOf, &moreThan },
    TermQuorums { TermRule::Extended, &majorityOf, &nearlyAllOf },
};
static_assert(kTermQuorums.size() == kEnumCount<TermRule>);

const TermQuorums &quorumsOf(TermRule rule)
{
    return *std::find_if(kTermQuorums.begin(), kTermQuorums.end(),
                         [&](const TermQuorums &row) { return row.rule_ == rule; });
}

} // namespace

std::size_t quorumOnPromises(TermRule rule, std::size_t members)
{
    return quorumsOf(rule).onPromises_(members);
}

std::size_t quorumAfterwards(TermRule rule, std::size_t members)
{
    return quorumsOf(rule).afterwards_(members);
}

TermRule ruleFor(std::size_t members, std::size_t fleetSize)
{
    const bool coversFleet = members + kMaxAbsentHosts >= std::min(kMaxVoters, fleetSize);
    return coversFleet && members >= kMinExtendedMembers ? TermRule::Extended : TermRule::Bounded;
}

} // namespace pimentostage
