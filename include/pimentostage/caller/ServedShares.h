#pragma once

#include "pimentostage/base/DecayingRate.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <mutex>
#include <optional>

namespace pimentostage {

/// Tells how well each team is served: the part of what it asked for within its contract that was
/// answered, weighted by kind.
class ServedShares
{
public:
    /// The team that is served worst.
    struct Worst
    {
        TeamName team_;
        double share_ = 1; ///< from 0 to 1
    };

    /// Counts a request that is over: admitted within its contract and answered, or not answered.
    /// @param cost weight of its kind.
    void onEnd(const TeamName &team, double cost, bool isAnswered, TimePoint now);

    /// @return the team served worst lately, among those that asked for something.
    [[nodiscard]] std::optional<Worst> worst(TimePoint now) const;

private:
    struct Team
    {
        DecayingRate asked_;
        DecayingRate answered_;

        Team();
    };

    mutable std::mutex mutex_;
    std::map<TeamName, Team> teams_;
};

} // namespace pimentostage
