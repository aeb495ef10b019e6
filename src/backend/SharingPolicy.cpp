#include "pimentostage/backend/SharingPolicy.h"

#include <algorithm>
#include <array>

namespace pimentostage {

namespace {

// Part of its demand up to which each team is raised before the rest is given away.
constexpr double kProgressThreshold = 0.5;

template <typename Less>
std::size_t first(const std::vector<WaitingTeam> &teams, Less less)
{
    return static_cast<std::size_t>(std::min_element(teams.begin(), teams.end(), less)
                                    - teams.begin());
}

/// Weighted max-min: the team that got least for its share.
class WeightedFair : public SharingPolicy
{
public:
    std::size_t pick(const std::vector<WaitingTeam> &teams) const override
    {
        return first(teams, [](const WaitingTeam &a, const WaitingTeam &b) {
            return a.served_ < b.served_;
        });
    }
};

/// After Rotary (Liu et al.): raises every team to a threshold of progress, the lowest first; what
/// is left goes to the team that progresses most.
class Threshold : public SharingPolicy
{
public:
    std::size_t pick(const std::vector<WaitingTeam> &teams) const override
    {
        const std::size_t lowest = first(teams, [](const WaitingTeam &a, const WaitingTeam &b) {
            return a.progress_ < b.progress_;
        });
        if (teams[lowest].progress_ < kProgressThreshold)
            return lowest;
        return first(teams, [](const WaitingTeam &a, const WaitingTeam &b) {
            return a.progress_ > b.progress_;
        });
    }
};

class FirstCome : public SharingPolicy
{
public:
    std::size_t pick(const std::vector<WaitingTeam> &teams) const override
    {
        return first(teams, [](const WaitingTeam &a, const WaitingTeam &b) {
            return a.oldest_ < b.oldest_;
        });
    }
};

} // namespace

const SharingPolicy &policyFor(Sharing sharing)
{
    static const WeightedFair weightedFair;
    static const Threshold threshold;
    static const FirstCome firstCome;
    // One row for each Sharing, in its order.
    static const std::array<const SharingPolicy *, kEnumCount<Sharing>> policies { &weightedFair,
                                                                                   &threshold,
                                                                                   &firstCome };
    return *policies.at(static_cast<std::size_t>(sharing));
}

} // namespace pimentostage
