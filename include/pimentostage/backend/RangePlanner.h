#pragma once

#include "pimentostage/platform/Objects.h"

#include <map>
#include <vector>

namespace pimentostage {

/// Load of an ordered key space, measured per bucket; all buckets have the same number of keys.
class RangeLoad
{
public:
    static constexpr std::uint32_t kKeysPerBucket = 16;
    static constexpr std::uint32_t kBuckets = (kLastOrderedKey + 1) / kKeysPerBucket;

    RangeLoad();

    /// Adds @p requests counted for @p bucket. Ignores a bucket outside the key space.
    void add(std::uint32_t bucket, double requests);
    /// Decays the counts exponentially by the elapsed time @p passed.
    void decay(Duration passed);

    /// @return requests per second on all keys.
    [[nodiscard]] double total() const;
    /// @return the weight of a bucket: its requests per second plus its share of the load that is
    ///         assumed to be spread evenly, so that keys without requests have a weight too.
    [[nodiscard]] double weight(std::uint32_t bucket) const;
    /// @return the total weight of the buckets that overlap @p range.
    [[nodiscard]] double weight(const KeyRange &range) const;

private:
    void updateScale();

    std::vector<double> requests_; ///< decayed counts by bucket
    double sum_ = 0; ///< of requests_
    double ageSeconds_ = 0; ///< since the first count
    double ratePerCount_ = 0; ///< requests per second for a decayed count of 1
    double evenWeight_ = 0; ///< weight of a bucket without requests
};

/// A back end as input of the planner.
struct PlannedBackend
{
    double capacity_ = 1; ///< relative to the other back ends
    bool takesNewWork_ = true;
};

/// A range to move to another owner.
struct RangeMove
{
    KeyRange range_;
    BackendProcess to_;
};

/// Divides an ordered key space among back ends by load, with few ranges and few moves.
class RangePlanner
{
public:
    using Backends = std::map<BackendProcess, PlannedBackend>;

    /// @param ranges the current placement.
    /// @return moves for the ranges that have no owner or whose owner takes no new work.
    ///         Ranges that are already moving are left out.
    static std::vector<RangeMove> assignUnowned(const std::vector<RangeOwner> &ranges,
                                                const RangeLoad &load, const Backends &backends);

    /// @return one move that brings the most utilised back end closer to the mean, or none if all
    ///         are close enough to it or no move is worth its cost.
    static std::vector<RangeMove> balance(const std::vector<RangeOwner> &ranges,
                                          const RangeLoad &load, const Backends &backends);
};

/// @return @p ranges after @p move: the moved range has the new owner, the former owner as previous
///         owner, and @p epoch.
std::vector<RangeOwner> withMove(const std::vector<RangeOwner> &ranges, const RangeMove &move,
                                 Epoch epoch);

/// @return @p ranges with adjacent ranges of the same owner, epoch and previous owner merged.
std::vector<RangeOwner> mergeAdjacent(const std::vector<RangeOwner> &ranges);

} // namespace pimentostage
