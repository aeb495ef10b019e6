#pragma once

#include "pimentostage/base/DecayingRate.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <mutex>
#include <optional>

namespace pimentostage {

/// Ratio of each team's requests within its contract that were answered, weighted by kind.
///
/// Thread-safe.
class AnsweredRatios
{
public:
    /// A team and its ratio of answered requests.
    struct TeamRatio
    {
        TeamName team_;
        double ratio_ = 1; ///< from 0 to 1
    };

    /// Counts a finished request that was admitted within its team's contract.
    /// @param cost weight of the request's kind.
    /// @param isAnswered whether a back end's answer was returned instead of a refusal.
    void onRequestFinished(const TeamName &team, double cost, bool isAnswered, TimePoint now);

    /// @return the team with the lowest recent ratio, among the teams with recent requests.
    [[nodiscard]] std::optional<TeamRatio> lowest(TimePoint now) const;

private:
    struct TeamRates
    {
        DecayingRate requested_;
        DecayingRate answered_;

        TeamRates();
    };

    mutable std::mutex mutex_;
    std::map<TeamName, TeamRates> teams_;
};

} // namespace pimentostage
