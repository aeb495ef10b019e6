#pragma once

#include "pimentostage/platform/Objects.h"

#include <map>
#include <vector>

namespace pimentostage {

/// Load of an ordered key space, measured in buckets of equally many keys.
class RangeLoad
{
public:
    static constexpr std::uint32_t kKeysPerBucket = 16;
    static constexpr std::uint32_t kBuckets = (kLastOrderedKey + 1) / kKeysPerBucket;

    RangeLoad();

    /// Adds @p requests seen on the bucket @p bucket.
    void add(std::uint32_t bucket, double requests);
    /// Lets what was measured fade over @p passed.
    void decay(Duration passed);

    /// @return requests a second, of all keys.
    [[nodiscard]] double total() const;
    /// @return weight of one bucket: its requests a second and a small share of all, so that keys
    ///         without requests count too.
    [[nodiscard]] double weight(std::uint32_t bucket) const;
    /// @return weight of the buckets that @p range touches.
    [[nodiscard]] double weight(const KeyRange &range) const;

private:
    void updateScale();

    std::vector<double> requests_; ///< faded counts by bucket
    double sum_ = 0;
    double age_ = 0; ///< seconds since the first count
    double perSecond_ = 0; ///< what one faded count stands for, in requests a second
    double even_ = 0; ///< weight of a bucket without requests
};

/// What the planner knows of a back end.
struct PlannedBackend
{
    double capacity_ = 1;
    bool takesNewWork_ = true;
};

/// A range that is to get another owner.
struct RangeMove
{
    KeyRange range_;
    BackendProcess to_;
};

/// Divides an ordered key space among back ends by load, in few ranges and with few moves.
class RangePlanner
{
public:
    using Backends = std::map<BackendProcess, PlannedBackend>;

    /// @param ranges the present placement.
    /// @return moves for the ranges whose owner takes no new work or is nobody.
    static std::vector<RangeMove> adopt(const std::vector<RangeOwner> &ranges,
                                        const RangeLoad &load, const Backends &backends);

    /// @return one move that brings the busiest back end closer to the mean, or none if all are
    ///         close enough.
    static std::vector<RangeMove> balance(const std::vector<RangeOwner> &ranges,
                                          const RangeLoad &load, const Backends &backends);
};

/// @return @p ranges with @p move made: the range gets the owner, its former owner as previous, and
///         @p epoch.
std::vector<RangeOwner> withMove(const std::vector<RangeOwner> &ranges, const RangeMove &move,
                                 Epoch epoch);

/// @return @p ranges with neighbours of equal owner, epoch and previous owner joined.
std::vector<RangeOwner> joined(const std::vector<RangeOwner> &ranges);

} // namespace pimentostage
