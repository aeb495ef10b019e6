#include "pimentostage/backend/RangePlanner.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// Time constant of the measured load: short enough to follow hot keys that change within seconds.
constexpr double kLoadTimeConstantSeconds = 2;
// Minimum time that the first counts are assumed to cover.
constexpr double kMinAgeSeconds = 0.5;
// Part of the total load that is assumed to be spread evenly over all keys.
constexpr double kEvenShare = 0.3;
// Minimum total load assumed, in requests per second, so that an idle key space is divided evenly.
constexpr double kMinTotalLoad = 1;
// A back end whose utilisation exceeds the mean multiplied by this factor gives up keys.
constexpr double kMaxRelativeLoad = 1.3;
// Load, in requests per second, below which a move is not worth the pause in service that it costs.
constexpr double kMinMovedLoad = 1;
// Minimum weight of an assigned range, as a share of the mean load, to keep the number of ranges
// small.
constexpr double kMinAssignedShare = 0.25;
// Average number of ranges per back end from which on no range is moved for balance, as a move may
// split ranges and each range costs renewals.
constexpr std::size_t kMaxRangesPerBackend = 5;

using WeightByProcess = std::map<BackendProcess, double>;

WeightByProcess weightsOf(const std::vector<RangeOwner> &ranges, const RangeLoad &load,
                          const RangePlanner::Backends &backends)
{
    WeightByProcess weights;
    for (const auto &[process, backend] : backends) {
        if (backend.takesNewWork_)
            weights[process] = 0;
    }
    for (const RangeOwner &row : ranges) {
        const auto found = weights.find(row.owner_);
        if (found != weights.end())
            found->second += load.weight(row.range_);
    }
    return weights;
}

double totalCapacity(const WeightByProcess &weights, const RangePlanner::Backends &backends)
{
    double total = 0;
    for (const auto &[process, weight] : weights)
        total += backends.at(process).capacity_;
    return total;
}

BackendProcess leastUtilised(const WeightByProcess &weights, const RangePlanner::Backends &backends)
{
    const auto best
        = std::min_element(weights.begin(), weights.end(), [&](const auto &a, const auto &b) {
              return a.second / backends.at(a.first).capacity_
                     < b.second / backends.at(b.first).capacity_;
          });
    return best->first;
}

/// A part of a range, with its weight.
struct Segment
{
    KeyRange range_;
    double weight_ = 0;
};

std::uint32_t bucketOf(std::uint32_t key)
{
    return key / RangeLoad::kKeysPerBucket;
}

/// @return the shortest run of buckets in @p range with a weight of at least @p wanted, clipped to
///         the range.
std::optional<Segment> shortestSegment(const KeyRange &range, const RangeLoad &load, double wanted)
{
    std::optional<Segment> best;
    std::uint32_t first = bucketOf(range.from_);
    double weight = 0;
    for (std::uint32_t last = first; last <= bucketOf(range.to_); ++last) {
        weight += load.weight(last);
        while (first < last && weight - load.weight(first) >= wanted)
            weight -= load.weight(first++);
        if (weight < wanted)
            continue;
        const KeyRange clipped { std::max(range.from_, first * RangeLoad::kKeysPerBucket),
                                 std::min(range.to_, (last + 1) * RangeLoad::kKeysPerBucket - 1) };
        if (!best || clipped.size() < best->range_.size())
            best = Segment { clipped, weight };
    }
    return best;
}

/// @return the shortest prefix of @p range with a weight of at least @p wanted, of at least one
///         bucket; all of @p range if it weighs less.
KeyRange prefixOfWeight(const KeyRange &range, const RangeLoad &load, double wanted)
{
    double weight = 0;
    std::uint32_t bucket = bucketOf(range.from_);
    while (bucket < bucketOf(range.to_)) {
        weight += load.weight(bucket);
        if (weight >= wanted)
            break;
        ++bucket;
    }
    return { range.from_, std::min(range.to_, (bucket + 1) * RangeLoad::kKeysPerBucket - 1) };
}

} // namespace

RangeLoad::RangeLoad()
    : requests_(kBuckets, 0)
{
    updateScale();
}

void RangeLoad::add(std::uint32_t bucket, double requests)
{
    if (bucket >= kBuckets)
        return;
    requests_[bucket] += requests;
    sum_ += requests;
}

void RangeLoad::decay(Duration passed)
{
    const double factor = std::exp(-toSeconds(passed) / kLoadTimeConstantSeconds);
    ageSeconds_ += sum_ > 0 ? toSeconds(passed) : 0;
    sum_ = 0;
    for (double &requests : requests_) {
        requests *= factor;
        sum_ += requests;
    }
    updateScale();
}

// Shortly after the first count, the decayed counts cover less time than the time constant.
void RangeLoad::updateScale()
{
    const double seconds
        = kLoadTimeConstantSeconds
          * (1 - std::exp(-std::max(kMinAgeSeconds, ageSeconds_) / kLoadTimeConstantSeconds));
    ratePerCount_ = 1 / seconds;
    evenWeight_ = std::max(kMinTotalLoad, kEvenShare * total()) / kBuckets;
}

double RangeLoad::total() const
{
    return sum_ * ratePerCount_;
}

double RangeLoad::weight(std::uint32_t bucket) const
{
    return requests_[bucket] * ratePerCount_ + evenWeight_;
}

double RangeLoad::weight(const KeyRange &range) const
{
    double sum = 0;
    for (std::uint32_t bucket = bucketOf(range.from_); bucket <= bucketOf(range.to_); ++bucket)
        sum += weight(bucket);
    return sum;
}

std::vector<RangeMove> RangePlanner::assignUnowned(const std::vector<RangeOwner> &ranges,
                                                   const RangeLoad &load, const Backends &backends)
{
    std::vector<RangeMove> moves;
    const auto isOwned = [&](const RangeOwner &row) {
        const auto owner = backends.find(row.owner_);
        return (owner != backends.end() && owner->second.takesNewWork_) || !row.previous_.isNone();
    };
    if (std::all_of(ranges.begin(), ranges.end(), isOwned))
        return moves;
    WeightByProcess weights = weightsOf(ranges, load, backends);
    if (weights.empty())
        return moves;
    // A range that is already moving is not moved again: two back ends may hold it until the move
    // ends.
    const auto isSettled = [&](const RangeOwner &row) {
        return weights.contains(row.owner_) || !row.previous_.isNone();
    };
    double unowned = 0;
    for (const RangeOwner &row : ranges)
        unowned += isSettled(row) ? 0 : load.weight(row.range_);
    double total = unowned;
    for (const auto &[process, weight] : weights)
        total += weight;
    const double mean = total / totalCapacity(weights, backends);
    for (const RangeOwner &row : ranges) {
        if (isSettled(row))
            continue;
        KeyRange rest = row.range_;
        while (true) {
            const BackendProcess to = leastUtilised(weights, backends);
            const double headroom = mean * backends.at(to).capacity_ - weights[to];
            const KeyRange part
                = prefixOfWeight(rest, load, std::max(headroom, kMinAssignedShare * mean));
            weights[to] += load.weight(part);
            moves.push_back({ part, to });
            if (part.to_ == rest.to_)
                break;
            rest.from_ = part.to_ + 1;
        }
    }
    return moves;
}

std::vector<RangeMove> RangePlanner::balance(const std::vector<RangeOwner> &ranges,
                                             const RangeLoad &load, const Backends &backends)
{
    const WeightByProcess weights = weightsOf(ranges, load, backends);
    if (weights.size() < 2 || ranges.size() >= kMaxRangesPerBackend * weights.size())
        return {};
    double total = 0;
    for (const auto &[process, weight] : weights)
        total += weight;
    const double mean = total / totalCapacity(weights, backends);
    const auto busiest
        = std::max_element(weights.begin(), weights.end(), [&](const auto &a, const auto &b) {
              return a.second / backends.at(a.first).capacity_
                     < b.second / backends.at(b.first).capacity_;
          });
    const BackendProcess to = leastUtilised(weights, backends);
    const double surplus = busiest->second - mean * backends.at(busiest->first).capacity_;
    const double headroom = mean * backends.at(to).capacity_ - weights.at(to);
    const double wanted = std::min(surplus, headroom);
    const bool isCloseEnough
        = busiest->second <= kMaxRelativeLoad * mean * backends.at(busiest->first).capacity_;
    if (isCloseEnough || wanted < kMinMovedLoad)
        return {};
    std::optional<Segment> best;
    for (const RangeOwner &row : ranges) {
        if (row.owner_ != busiest->first || !row.previous_.isNone())
            continue;
        const auto segment = shortestSegment(row.range_, load, wanted);
        if (segment && (!best || segment->range_.size() < best->range_.size()))
            best = segment;
    }
    // Moving a single bucket heavier than the difference would only overload the other back end.
    const bool isUseful = best && best->weight_ < surplus + headroom;
    if (!isUseful)
        return {};
    return { RangeMove { best->range_, to } };
}

std::vector<RangeOwner> withMove(const std::vector<RangeOwner> &ranges, const RangeMove &move,
                                 Epoch epoch)
{
    std::vector<RangeOwner> next;
    for (const RangeOwner &row : ranges) {
        const KeyRange overlap { std::max(row.range_.from_, move.range_.from_),
                                 std::min(row.range_.to_, move.range_.to_) };
        if (overlap.from_ > overlap.to_) {
            next.push_back(row);
            continue;
        }
        if (row.range_.from_ < overlap.from_) {
            next.push_back(row);
            next.back().range_.to_ = overlap.from_ - 1;
        }
        RangeOwner moved = row;
        moved.range_ = overlap;
        moved.epoch_ = epoch;
        moved.owner_ = move.to_;
        moved.previous_ = row.owner_ == move.to_ ? BackendProcess {} : row.owner_;
        next.push_back(moved);
        if (overlap.to_ < row.range_.to_) {
            next.push_back(row);
            next.back().range_.from_ = overlap.to_ + 1;
        }
    }
    return next;
}

std::vector<RangeOwner> mergeAdjacent(const std::vector<RangeOwner> &ranges)
{
    std::vector<RangeOwner> next;
    for (const RangeOwner &row : ranges) {
        const bool isSame = !next.empty() && next.back().owner_ == row.owner_
                            && next.back().epoch_ == row.epoch_
                            && next.back().previous_ == row.previous_;
        if (isSame)
            next.back().range_.to_ = row.range_.to_;
        else
            next.push_back(row);
    }
    return next;
}

} // namespace pimentostage
