#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"

#include <vector>

namespace pimentostage {

/// How scarce capacity is divided among teams.
enum class Sharing { WeightedFair, Threshold, FirstCome };

template <>
struct EnumTable<Sharing>
{
    static constexpr std::array kRows {
        EnumName<Sharing> { Sharing::WeightedFair, "weighted-fair" },
        EnumName<Sharing> { Sharing::Threshold, "threshold" },
        EnumName<Sharing> { Sharing::FirstCome, "first-come" },
    };
};

/// A team with waiting requests, as input of a policy.
struct WaitingTeam
{
    /// Cost served divided by the team's share. When the team starts to wait, it is raised to the
    /// highest value at which any team was served, so that idle time earns no credit.
    double virtualTime_ = 0;
    double progress_ = 0; ///< served fraction of its recent demand, from 0 to 1
    TimePoint oldestRequestAt_ {}; ///< when its first request arrived
};

/// Decides which team's request is served next.
class SharingPolicy
{
public:
    virtual ~SharingPolicy() = default;

    /// @param teams at least one.
    /// @return the index of the team whose first request is served next.
    [[nodiscard]] virtual std::size_t pick(const std::vector<WaitingTeam> &teams) const = 0;
};

/// @return the policy for @p sharing.
const SharingPolicy &policyFor(Sharing sharing);

} // namespace pimentostage
