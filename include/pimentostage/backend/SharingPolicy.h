#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"

#include <vector>

namespace pimentostage {

/// How a short capacity is divided among teams.
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

/// A team of which requests wait, as a policy sees it.
struct WaitingTeam
{
    double served_ = 0; ///< cost served divided by the team's share, since it last had to wait
    double progress_ = 0; ///< part of what it asked for lately that was served, from 0 to 1
    TimePoint oldest_ {}; ///< when its first request came
};

/// Decides whose request is next.
class SharingPolicy
{
public:
    virtual ~SharingPolicy() = default;

    /// @param teams at least one.
    /// @return the index of the team whose first request is next.
    [[nodiscard]] virtual std::size_t pick(const std::vector<WaitingTeam> &teams) const = 0;
};

/// @return the policy for @p sharing.
const SharingPolicy &policyFor(Sharing sharing);

} // namespace pimentostage
