#include "pimentostage/backend/SharingPolicy.h"

#include <algorithm>
#include <array>

namespace pimentostage {

namespace {

// Fraction of its demand that each team is served before the remaining capacity is assigned.
constexpr double kProgressThreshold = 0.5;

template <typename Less>
std::size_t first(const std::vector<WaitingTeam> &teams, Less less)
{
    return static_cast<std::size_t>(std::min_element(teams.begin(), teams.end(), less)
                                    - teams.begin());
}

/// Weighted max-min fairness: serves the team with the lowest cost served relative to its share.
class WeightedFair : public SharingPolicy
{
public:
    std::size_t pick(const std::vector<WaitingTeam> &teams) const override
    {
        return first(teams, [](const WaitingTeam &a, const WaitingTeam &b) {
            return a.virtualTime_ < b.virtualTime_;
        });
    }
};

/// Follows Rotary (Liu et al.): serves the team with the lowest progress until every team has
/// reached a threshold, then the team with the highest progress.
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
            return a.oldestRequestAt_ < b.oldestRequestAt_;
        });
    }
};

} // namespace

const SharingPolicy &policyFor(Sharing sharing)
{
    static const WeightedFair weightedFair;
    static const Threshold threshold;
    static const FirstCome firstCome;
    // Indexed by Sharing.
    static const std::array<const SharingPolicy *, kEnumCount<Sharing>> policies { &weightedFair,
                                                                                   &threshold,
                                                                                   &firstCome };
    return *policies.at(static_cast<std::size_t>(sharing));
}

} // namespace pimentostage
