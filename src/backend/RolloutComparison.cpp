#include "pimentostage/backend/RolloutComparison.h"

#include <cmath>

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

/// Part of each probability of a false alarm for the test of all routes together; most faults are
/// on all. The routes share the rest.
constexpr double kAllRoutes = 0.75;

/// @return the part of @p alpha for one of @p outcomes.
double routeAlpha(double alpha, const RolloutOutcomes &outcomes)
{
    return alpha * (1 - kAllRoutes) / static_cast<double>(outcomes.size());
}

} // namespace

void RolloutComparison::setBackends(std::uint32_t backends)
{
    backends_ = backends;
    failures_.setBackends(backends);
    latency_.setBackends(backends);
    for (auto &[name, failures] : routeFailures_)
        failures.setBackends(backends);
}

std::optional<RolloutFinding> RolloutComparison::check(const RolloutOutcomes &outcomes,
                                                       TimePoint now)
{
    if (outcomes.empty())
        return std::nullopt;
    for (const auto &[name, route] : outcomes)
        routeFailures_.try_emplace(name, backends_);
    if (now >= slotEnd_)
        closeSlot(outcomes, now);
    if (auto finding = findFailures(outcomes))
        return finding;
    return slowness_;
}

void RolloutComparison::closeSlot(const RolloutOutcomes &outcomes, TimePoint now)
{
    slotEnd_ = now + kSlot;
    failures_.closeSlot(sumOf(outcomes));
    for (const auto &[name, route] : outcomes)
        routeFailures_.at(name).closeSlot(route);
    if (now < latencyFrom_) {
        latency_.skip(outcomes);
        return;
    }
    isLatencyCompared_ = true;
    if (slots_ % kLatencyStartSlots == 0)
        latency_.start(outcomes);
    if (slots_ % kLatencySlots == 0)
        slowness_ = findSlowness(outcomes);
    ++slots_;
}

std::optional<RolloutFinding> RolloutComparison::findFailures(const RolloutOutcomes &outcomes) const
{
    const RouteOutcomes sum = sumOf(outcomes);
    if (failures_.excess(sum) >= kHardStop)
        return RolloutFinding { RolloutReason::HardStop };
    if (failures_.isWorse(sum, kFailureAlpha * kAllRoutes))
        return RolloutFinding { RolloutReason::Failures };
    for (const auto &[name, route] : outcomes) {
        if (routeFailures_.at(name).isWorse(route, routeAlpha(kFailureAlpha, outcomes)))
            return RolloutFinding { RolloutReason::Failures, name };
    }
    return std::nullopt;
}

std::optional<RolloutFinding> RolloutComparison::findSlowness(const RolloutOutcomes &outcomes) const
{
    if (latency_.evidence(outcomes, std::nullopt) >= -std::log(kLatencyAlpha * kAllRoutes))
        return RolloutFinding { RolloutReason::Latency };
    const double threshold = -std::log(routeAlpha(kLatencyAlpha, outcomes));
    for (const auto &[name, route] : outcomes) {
        if (latency_.evidence(outcomes, name) >= threshold)
            return RolloutFinding { RolloutReason::Latency, name };
    }
    return std::nullopt;
}

bool RolloutComparison::hasEnough(const RolloutOutcomes &outcomes)
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

std::optional<RolloutFinding> RolloutComparison::checkOverall(const RolloutOutcomes &outcomes,
                                                              double part) const
{
    if (outcomes.empty())
        return std::nullopt;
    if (failures_.isWorseOverall(sumOf(outcomes), part * kOverallFailureAlpha * kAllRoutes))
        return RolloutFinding { RolloutReason::Failures };
    for (const auto &[name, route] : outcomes) {
        const auto failures = routeFailures_.find(name);
        if (failures != routeFailures_.end()
            && failures->second.isWorseOverall(route,
                                               routeAlpha(part * kOverallFailureAlpha, outcomes)))
            return RolloutFinding { RolloutReason::Failures, name };
    }
    return isLatencyCompared_ ? findOverallSlowness(outcomes, part) : std::nullopt;
}

std::optional<RolloutFinding> RolloutComparison::findOverallSlowness(
    const RolloutOutcomes &outcomes, double part) const
{
    const double overallAlpha = part * kOverallLatencyAlpha;
    const double recentAlpha = part * kRecentLatencyAlpha;
    if (latency_.isSlowerOverall(outcomes, std::nullopt, overallAlpha * kAllRoutes)
        || latency_.isSlowerLately(outcomes, std::nullopt, recentAlpha * kAllRoutes))
        return RolloutFinding { RolloutReason::Latency };
    for (const auto &[name, route] : outcomes) {
        if (latency_.isSlowerOverall(outcomes, name, routeAlpha(overallAlpha, outcomes))
            || latency_.isSlowerLately(outcomes, name, routeAlpha(recentAlpha, outcomes)))
            return RolloutFinding { RolloutReason::Latency, name };
    }
    return std::nullopt;
}

} // namespace pimentostage
