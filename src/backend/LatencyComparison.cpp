#include "pimentostage/backend/LatencyComparison.h"

#include <algorithm>

namespace pimentostage {

namespace {

/// Width of a bucket in octaves.
constexpr double kBucketOctaves = 0.5;
/// Variance within a bucket, whose latencies are assumed to be evenly spread.
constexpr double kBucketVariance = kBucketOctaves * kBucketOctaves / 12;

} // namespace

LatencyMoments latencyMoments(const VersionOutcomes &outcomes)
{
    LatencyMoments moments;
    double sum = 0;
    double squares = 0;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
        const double count = outcomes.latency_[i];
        const double octaves = kBucketOctaves * static_cast<double>(i);
        moments.count_ += count;
        sum += count * octaves;
        squares += count * octaves * octaves;
    }
    if (moments.count_ > 0) {
        moments.mean_ = sum / moments.count_;
        moments.variance_
            = squares / moments.count_ - moments.mean_ * moments.mean_ + kBucketVariance;
    }
    return moments;
}

void LatencyComparison::keepBaseline(const RouteOutcomes &total)
{
    baseline_ = total.current_.since(skipped_.current_);
}

void LatencyComparison::skip(const RouteOutcomes &total)
{
    skipped_ = total;
    closed_ = total;
}

std::optional<LatencyShift> LatencyComparison::shift(const RouteOutcomes &outcomes,
                                                     const RouteOutcomes &total) const
{
    const LatencyMoments target = latencyMoments(outcomes.target_);
    if (target.count_ < kMinAnswers)
        return std::nullopt;
    // The slower of the two: under its full load, or in the same period as the target.
    const LatencyMoments usual
        = latencyMoments(baseline_ ? *baseline_ : total.current_.since(skipped_.current_));
    const LatencyMoments lately = latencyMoments(outcomes.current_);
    if (usual.count_ < kMinAnswers)
        return std::nullopt;
    const bool isLatelySlower = lately.count_ >= kMinAnswers && lately.mean_ > usual.mean_;
    const LatencyMoments &current = isLatelySlower ? lately : usual;
    // The variance of the target may be its own fault, so that of the version in force is assumed.
    const double variance = usual.variance_ / target.count_ + usual.variance_ / current.count_;
    return LatencyShift { target.mean_ - current.mean_, variance };
}

std::optional<LatencyShift> LatencyComparison::closeSlot(const RouteOutcomes &total)
{
    const RouteOutcomes slot { total.route_, total.current_.since(closed_.current_),
                               total.target_.since(closed_.target_) };
    std::optional<LatencyShift> result = shift(slot, total);
    if (result)
        closed_ = total;
    return result;
}

std::optional<LatencyShift> LatencyComparison::overall(const RouteOutcomes &total) const
{
    const RouteOutcomes all { total.route_, total.current_.since(skipped_.current_),
                              total.target_.since(skipped_.target_) };
    return shift(all, total);
}

LatencyShift combine(const std::vector<LatencyShift> &shifts)
{
    double precision = 0;
    double sum = 0;
    for (const LatencyShift &shift : shifts) {
        precision += 1 / shift.variance_;
        sum += shift.octaves_ / shift.variance_;
    }
    return precision > 0 ? LatencyShift { sum / precision, 1 / precision } : LatencyShift {};
}

} // namespace pimentostage
