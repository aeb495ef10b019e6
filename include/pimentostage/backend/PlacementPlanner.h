#pragma once

#include "pimentostage/base/Ids.h"

#include <vector>

namespace pimentostage {

/// A back end that may own shards.
struct PlacementBackend
{
    BackendName name_;
    double capacity_ = 1; ///< relative to the others
    bool mayGain_ = true; ///< whether it may be given more shards than it owns

    auto operator<=>(const PlacementBackend &) const = default;
};

/// Assigns shards to back ends by capacity, moving as few as possible.
class PlacementPlanner
{
public:
    /// @param owners the present owner of each shard; empty names have none.
    /// @param backends those that may own shards.
    /// @return the owner wanted for each shard; an owner that may stay stays. Empty names if there
    ///         are no back ends.
    static std::vector<BackendName> plan(const std::vector<BackendName> &owners,
                                         const std::vector<PlacementBackend> &backends);

    /// The baseline: each shard goes to the back end with the highest weighted hash.
    static std::vector<BackendName> planByRendezvous(std::size_t shards,
                                                     const std::vector<PlacementBackend> &backends);
};

} // namespace pimentostage
