#include "pimentostage/backend/RangePlanner.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// Time constant of the measured load: short enough to follow busy keys that change in seconds.
constexpr double kLoadSeconds = 2;
// Least time, in seconds, that the first counts are taken to stand for.
constexpr double kLeastAge = 0.5;
// Part of the whole load that counts as spread evenly over all keys.
constexpr double kEvenShare = 0.3;
// Least load assumed, in requests a second, so that an idle key space is divided evenly.
constexpr double kLeastTotal = 1;
// A back end further above the mean than this gives keys away.
constexpr double kMostAboveMean = 1.3;
// Load, in requests a second, below which a move is not worth the pause that it costs.
constexpr double kLeastMoved = 1;
// Least part of the mean load that one adopted range carries, so that few ranges are made.
constexpr double kLeastPart = 0.25;
// Most ranges of one back end, on average; more would cost too many renewals.
constexpr std::size_t kMostRangesPerBackend = 5;

using Utilisation = std::map<BackendProcess, double>; // weight held by process

Utilisation weightsOf(const std::vector<RangeOwner> &ranges, const RangeLoad &load,
                      const RangePlanner::Backends &backends)
{
    Utilisation weights;
    for (const auto &[process, facts] : backends) {
        if (facts.takesNewWork_)
            weights[process] = 0;
    }
    for (const RangeOwner &row : ranges) {
        const auto found = weights.find(row.owner_);
        if (found != weights.end())
            found->second += load.weight(row.range_);
    }
    return weights;
}

double totalCapacity(const Utilisation &weights, const RangePlanner::Backends &backends)
{
    double total = 0;
    for (const auto &[process, weight] : weights)
        total += backends.at(process).capacity_;
    return total;
}

BackendProcess leastUsed(const Utilisation &weights, const RangePlanner::Backends &backends)
{
    const auto best
        = std::min_element(weights.begin(), weights.end(), [&](const auto &a, const auto &b) {
              return a.second / backends.at(a.first).capacity_
                     < b.second / backends.at(b.first).capacity_;
          });
    return best->first;
}

/// The part of a range whose weight is closest to a wish, in as few keys as possible.
struct Piece
{
    KeyRange range_;
    double weight_ = 0;
};

std::uint32_t bucketOf(std::uint32_t key)
{
    return key / RangeLoad::kKeysPerBucket;
}

/// @return the shortest run of buckets in @p range that weighs at least @p wanted, cut to the
/// range.
std::optional<Piece> shortestPiece(const KeyRange &range, const RangeLoad &load, double wanted)
{
    std::optional<Piece> best;
    std::uint32_t first = bucketOf(range.from_);
    double weight = 0;
    for (std::uint32_t last = first; last <= bucketOf(range.to_); ++last) {
        weight += load.weight(last);
        while (first < last && weight - load.weight(first) >= wanted)
            weight -= load.weight(first++);
        if (weight < wanted)
            continue;
        const KeyRange cut { std::max(range.from_, first * RangeLoad::kKeysPerBucket),
                             std::min(range.to_, (last + 1) * RangeLoad::kKeysPerBucket - 1) };
        if (!best || cut.size() < best->range_.size())
            best = Piece { cut, weight };
    }
    return best;
}

/// @return the first part of @p range that weighs @p wanted, at least one bucket.
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
    const double factor = std::exp(-toSeconds(passed) / kLoadSeconds);
    age_ += sum_ > 0 ? toSeconds(passed) : 0;
    sum_ = 0;
    for (double &requests : requests_) {
        requests *= factor;
        sum_ += requests;
    }
    updateScale();
}

// Counts that have just begun stand for less time than the constant.
void RangeLoad::updateScale()
{
    const double seconds = kLoadSeconds * (1 - std::exp(-std::max(kLeastAge, age_) / kLoadSeconds));
    perSecond_ = 1 / seconds;
    even_ = std::max(kLeastTotal, kEvenShare * total()) / kBuckets;
}

double RangeLoad::total() const
{
    return sum_ * perSecond_;
}

double RangeLoad::weight(std::uint32_t bucket) const
{
    return requests_[bucket] * perSecond_ + even_;
}

double RangeLoad::weight(const KeyRange &range) const
{
    double sum = 0;
    for (std::uint32_t bucket = bucketOf(range.from_); bucket <= bucketOf(range.to_); ++bucket)
        sum += weight(bucket);
    return sum;
}

std::vector<RangeMove> RangePlanner::adopt(const std::vector<RangeOwner> &ranges,
                                           const RangeLoad &load, const Backends &backends)
{
    std::vector<RangeMove> moves;
    const auto isOwned = [&](const RangeOwner &row) {
        const auto owner = backends.find(row.owner_);
        return (owner != backends.end() && owner->second.takesNewWork_)
               || !row.previous_.isNobody();
    };
    if (std::all_of(ranges.begin(), ranges.end(), isOwned))
        return moves;
    Utilisation weights = weightsOf(ranges, load, backends);
    if (weights.empty())
        return moves;
    // A move under way is finished first: until then two back ends may hold the range.
    const auto isSettled = [&](const RangeOwner &row) {
        return weights.contains(row.owner_) || !row.previous_.isNobody();
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
            const BackendProcess to = leastUsed(weights, backends);
            const double room = mean * backends.at(to).capacity_ - weights[to];
            const KeyRange part = prefixOfWeight(rest, load, std::max(room, kLeastPart * mean));
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
    const Utilisation weights = weightsOf(ranges, load, backends);
    if (weights.size() < 2 || ranges.size() >= kMostRangesPerBackend * weights.size())
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
    const BackendProcess to = leastUsed(weights, backends);
    const double surplus = busiest->second - mean * backends.at(busiest->first).capacity_;
    const double room = mean * backends.at(to).capacity_ - weights.at(to);
    const double wanted = std::min(surplus, room);
    const bool isCloseEnough
        = busiest->second <= kMostAboveMean * mean * backends.at(busiest->first).capacity_;
    if (isCloseEnough || wanted < kLeastMoved)
        return {};
    std::optional<Piece> best;
    for (const RangeOwner &row : ranges) {
        if (row.owner_ != busiest->first || !row.previous_.isNobody())
            continue;
        const auto piece = shortestPiece(row.range_, load, wanted);
        if (piece && (!best || piece->range_.size() < best->range_.size()))
            best = piece;
    }
    // A single bucket that outweighs the gap would only change the place of the trouble.
    const bool isUseful = best && best->weight_ < surplus + room;
    if (!isUseful)
        return {};
    return { RangeMove { best->range_, to } };
}

std::vector<RangeOwner> withMove(const std::vector<RangeOwner> &ranges, const RangeMove &move,
                                 Epoch epoch)
{
    std::vector<RangeOwner> next;
    for (const RangeOwner &row : ranges) {
        const KeyRange cut { std::max(row.range_.from_, move.range_.from_),
                             std::min(row.range_.to_, move.range_.to_) };
        if (cut.from_ > cut.to_) {
            next.push_back(row);
            continue;
        }
        if (row.range_.from_ < cut.from_) {
            next.push_back(row);
            next.back().range_.to_ = cut.from_ - 1;
        }
        RangeOwner moved = row;
        moved.range_ = cut;
        moved.epoch_ = epoch;
        moved.owner_ = move.to_;
        moved.previous_ = row.owner_ == move.to_ ? BackendProcess {} : row.owner_;
        next.push_back(moved);
        if (cut.to_ < row.range_.to_) {
            next.push_back(row);
            next.back().range_.from_ = cut.to_ + 1;
        }
    }
    return next;
}

std::vector<RangeOwner> joined(const std::vector<RangeOwner> &ranges)
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
