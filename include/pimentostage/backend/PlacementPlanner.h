#pragma once

#include "pimentostage/base/Ids.h"

#include <vector>

namespace pimentostage {

/// A back end that may own shards, as input to the planner.
struct PlacementBackend
{
    BackendName name_;
    double capacity_ = 1; ///< relative to the others
    bool canGainShards_ = true; ///< whether it may get more shards than it owns

    auto operator<=>(const PlacementBackend &) const = default;
};

/// Assigns shards to back ends in proportion to capacity, with the fewest possible moves.
class PlacementPlanner
{
public:
    /// @param owners the current owner of each shard; an empty name if it has none.
    /// @param backends the back ends that may own shards.
    /// @return the planned owner of each shard: the current one where quotas permit; an empty name
    ///         if no back end can take the shard.
    static std::vector<BackendName> plan(const std::vector<BackendName> &owners,
                                         const std::vector<PlacementBackend> &backends);

    /// Baseline for comparison: weighted rendezvous hashing, each shard goes to the back end with
    /// the highest weighted hash.
    static std::vector<BackendName> planByRendezvous(std::size_t shards,
                                                     const std::vector<PlacementBackend> &backends);
};

} // namespace pimentostage
