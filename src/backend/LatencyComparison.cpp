#include "pimentostage/backend/LatencyComparison.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace pimentostage {

namespace {

/// Width of a bucket in octaves.
constexpr double kBucketOctaves = 0.5;
/// Variance within a bucket, whose latencies are assumed to be evenly spread.
constexpr double kBucketVariance = kBucketOctaves * kBucketOctaves / 12;

/// @return the outcomes of @p total that are not in @p earlier.
RouteOutcomes since(const RolloutOutcomes &earlier, const RouteOutcomes &total)
{
    const auto start = earlier.find(total.route_);
    if (start == earlier.end())
        return total;
    return { total.route_, total.current_.since(start->second.current_),
             total.target_.since(start->second.target_) };
}

/// @return the probability that a normal variable exceeds its mean by @p deviations standard
///         deviations.
double normalTail(double deviations)
{
    return 0.5 * std::erfc(deviations / std::numbers::sqrt2);
}

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

LatencyComparison::LatencyComparison(std::uint32_t backends)
    : backendVariance_(kBackendVariance / std::max(1U, backends))
{ }

void LatencyComparison::setBackends(std::uint32_t backends)
{
    backendVariance_ = kBackendVariance / std::max(1U, backends);
}

void LatencyComparison::skip(const RolloutOutcomes &outcomes)
{
    skipped_ = outcomes;
}

void LatencyComparison::start(const RolloutOutcomes &outcomes)
{
    // Half of the weight belongs to the first starting time. The others have half of 1 / (k (k +
    // 1)), which sums up to the other half.
    const auto k = static_cast<double>(startCount_++);
    starts_.push_back({ k == 0 ? 0.5 : 0.5 / (k * (k + 1)), outcomes });
    if (starts_.size() > kMaxStarts)
        starts_.erase(starts_.begin() + 1);
}

void LatencyComparison::keepBaseline(const RolloutOutcomes &outcomes)
{
    baseline_ = RolloutOutcomes {};
    for (const auto &[name, route] : outcomes)
        baseline_->emplace(name, since(skipped_, route));
}

std::optional<LatencyShift> LatencyComparison::shiftSince(const RolloutOutcomes &start,
                                                          const RouteOutcomes &total) const
{
    const RouteOutcomes outcomes = since(start, total);
    const LatencyMoments target = latencyMoments(outcomes.target_);
    LatencyMoments current = latencyMoments(outcomes.current_);
    if (baseline_) {
        // The slower of the two: under its full load, or in the same period as the target.
        const auto route = baseline_->find(total.route_);
        const LatencyMoments usual = route == baseline_->end()
                                         ? LatencyMoments {}
                                         : latencyMoments(route->second.current_);
        if (current.count_ < kMinAnswers || usual.mean_ > current.mean_)
            current = usual;
    }
    if (target.count_ < kMinAnswers || current.count_ < kMinAnswers)
        return std::nullopt;
    // The variance of the target may be its own fault, so that of the version in force is assumed.
    const double variance = current.variance_ / target.count_ + current.variance_ / current.count_;
    return LatencyShift { target.mean_ - current.mean_, variance };
}

std::optional<LatencyShift> LatencyComparison::shiftSince(
    const RolloutOutcomes &start, const RolloutOutcomes &outcomes,
    const std::optional<RouteName> &route) const
{
    double precision = 0;
    double sum = 0;
    for (const auto &[name, total] : outcomes) {
        if (route && name != *route)
            continue;
        if (const auto shift = shiftSince(start, total)) {
            precision += 1 / shift->variance_;
            sum += shift->octaves_ / shift->variance_;
        }
    }
    if (precision == 0)
        return std::nullopt;
    return LatencyShift { sum / precision, 1 / precision };
}

double LatencyComparison::evidence(const RolloutOutcomes &outcomes,
                                   const std::optional<RouteName> &route) const
{
    double sum = 0;
    for (const Start &start : starts_) {
        const auto shift = shiftSince(start.outcomes_, outcomes, route);
        const double ratio = shift ? kSlowdown * (shift->octaves_ - kSlowdown / 2)
                                         / (shift->variance_ + backendVariance_)
                                   : 0;
        sum += start.weight_ * std::exp(ratio);
    }
    return sum > 0 ? std::log(sum) : -std::numeric_limits<double>::infinity();
}

bool LatencyComparison::isSlowerSince(const RolloutOutcomes &start, const RolloutOutcomes &outcomes,
                                      const std::optional<RouteName> &route, double alpha) const
{
    const auto shift = shiftSince(start, outcomes, route);
    return shift
           && normalTail(shift->octaves_ / std::sqrt(shift->variance_ + backendVariance_)) <= alpha;
}

bool LatencyComparison::isSlowerOverall(const RolloutOutcomes &outcomes,
                                        const std::optional<RouteName> &route, double alpha) const
{
    return isSlowerSince(skipped_, outcomes, route, alpha);
}

bool LatencyComparison::isSlowerLately(const RolloutOutcomes &outcomes,
                                       const std::optional<RouteName> &route, double alpha) const
{
    return starts_.size() > kRecentStarts
           && isSlowerSince(starts_[starts_.size() - 1 - kRecentStarts].outcomes_, outcomes, route,
                            alpha);
}

} // namespace pimentostage
