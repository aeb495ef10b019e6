#include "pimentostage/backend/RolloutComparison.h"

#include <cmath>
#include <numbers>

namespace pimentostage {

namespace {

/// @return the outcomes of all routes together.
RouteOutcomes sumOf(const RolloutOutcomes &outcomes)
{
    RouteOutcomes sum;
    for (const auto &[name, route] : outcomes) {
        sum.current_ += route.current_;
        sum.target_ += route.target_;
    }
    return sum;
}

/// @return the probability that a normal variable exceeds its mean by @p deviations standard
///         deviations.
double normalTail(double deviations)
{
    return 0.5 * std::erfc(deviations / std::numbers::sqrt2);
}

} // namespace

std::optional<RolloutFinding> RolloutComparison::check(const RolloutOutcomes &outcomes,
                                                       TimePoint now)
{
    for (const auto &[name, route] : outcomes)
        routes_.try_emplace(name);
    if (now >= slotEnd_)
        closeSlot(outcomes, now);
    if (auto finding = findFailures(outcomes))
        return finding;
    return findSlowness();
}

void RolloutComparison::closeSlot(const RolloutOutcomes &outcomes, TimePoint now)
{
    slotEnd_ = now + kSlot;
    failures_.closeSlot(sumOf(outcomes));
    for (const auto &[name, route] : outcomes)
        routes_[name].failures_.closeSlot(route);
    if (++slots_ % kLatencySlots == 0)
        closeLatencySlot(outcomes, now);
}

void RolloutComparison::closeLatencySlot(const RolloutOutcomes &outcomes, TimePoint now)
{
    if (now < latencyFrom_) {
        for (const auto &[name, route] : outcomes)
            routes_[name].latency_.skip(route);
        return;
    }
    std::vector<LatencyShift> shifts;
    for (const auto &[name, outcome] : outcomes) {
        Route &route = routes_[name];
        if (const auto shift = route.latency_.closeSlot(outcome)) {
            route.slowness_.add(gains(*shift));
            shifts.push_back(*shift);
        }
    }
    if (!shifts.empty())
        slowness_.add(gains(combine(shifts)));
}

RolloutComparison::LatencyGains RolloutComparison::gains(const LatencyShift &shift)
{
    const double variance = shift.variance_ + kMomentVariance;
    LatencyGains gains {};
    for (std::size_t i = 0; i < kSlowdowns.size(); ++i) {
        const double middle = (kSlowdowns[i] + kSlowdownTolerance) / 2;
        gains[i] = (kSlowdowns[i] - kSlowdownTolerance) * (shift.octaves_ - middle) / variance;
    }
    return gains;
}

bool RolloutComparison::isSlow(const LatencyShift &shift, double alpha)
{
    const double deviation = std::sqrt(shift.variance_);
    return normalTail((shift.octaves_ - 2 * kSlowdownTolerance) / deviation) <= alpha;
}

double RolloutComparison::routeAlpha(double alpha) const
{
    return routes_.empty() ? alpha : alpha / 2 / static_cast<double>(routes_.size());
}

std::optional<RolloutFinding> RolloutComparison::findFailures(const RolloutOutcomes &outcomes) const
{
    const RouteOutcomes sum = sumOf(outcomes);
    if (failures_.excess(sum) >= kHardStop)
        return RolloutFinding { RolloutReason::HardStop };
    if (failures_.isWorse(sum, kFailureAlpha / 2))
        return RolloutFinding { RolloutReason::Failures };
    for (const auto &[name, route] : routes_) {
        const auto outcome = outcomes.find(name);
        if (outcome != outcomes.end()
            && route.failures_.isWorse(outcome->second, routeAlpha(kFailureAlpha)))
            return RolloutFinding { RolloutReason::Failures, name };
    }
    return std::nullopt;
}

std::optional<RolloutFinding> RolloutComparison::findSlowness() const
{
    if (slowness_.value() >= -std::log(kLatencyAlpha / 2))
        return RolloutFinding { RolloutReason::Latency };
    for (const auto &[name, route] : routes_) {
        if (route.slowness_.value() >= -std::log(routeAlpha(kLatencyAlpha)))
            return RolloutFinding { RolloutReason::Latency, name };
    }
    return std::nullopt;
}

bool RolloutComparison::hasEnough(const RolloutOutcomes &outcomes) const
{
    const RouteOutcomes sum = sumOf(outcomes);
    if (sum.target_.answered_ < kMinAnswers || sum.current_.answered_ == 0)
        return false;
    const double ratio
        = static_cast<double>(sum.target_.answered_) / static_cast<double>(sum.current_.answered_);
    for (const auto &[name, route] : outcomes) {
        const double expected = ratio * static_cast<double>(route.current_.answered_);
        // A route on which the target never answers within the observation has no failures either.
        if (expected >= kMinAnswers / 2.0
            && static_cast<double>(route.target_.answered_) < expected / 4)
            return false;
    }
    return true;
}

std::optional<RolloutFinding> RolloutComparison::checkOverall(const RolloutOutcomes &outcomes) const
{
    if (!hasEnough(outcomes))
        return RolloutFinding { RolloutReason::TooFewRequests };
    if (failures_.isWorseOverall(sumOf(outcomes), kOverallAlpha / 2))
        return RolloutFinding { RolloutReason::Failures };
    std::vector<LatencyShift> shifts;
    for (const auto &[name, route] : routes_) {
        const RouteOutcomes &outcome = outcomes.at(name);
        if (route.failures_.isWorseOverall(outcome, routeAlpha(kOverallAlpha)))
            return RolloutFinding { RolloutReason::Failures, name };
        const auto shift = route.latency_.overall(outcome);
        if (!shift)
            continue;
        shifts.push_back(*shift);
        if (isSlow(*shift, routeAlpha(kOverallAlpha)))
            return RolloutFinding { RolloutReason::Latency, name };
    }
    if (!shifts.empty() && isSlow(combine(shifts), kOverallAlpha / 2))
        return RolloutFinding { RolloutReason::Latency };
    return std::nullopt;
}

void RolloutComparison::beginSwitch(const RolloutOutcomes &outcomes)
{
    for (const auto &[name, route] : outcomes)
        routes_[name].latency_.keepBaseline(route);
}

} // namespace pimentostage
