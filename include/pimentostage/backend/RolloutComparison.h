#pragma once

#include "pimentostage/backend/FailureComparison.h"
#include "pimentostage/backend/LatencyComparison.h"
#include "pimentostage/backend/Rollout.h"

#include <map>
#include <optional>

namespace pimentostage {

/// Outcomes of all hosts by route.
using RolloutOutcomes = std::map<RouteName, RouteOutcomes>;

/// In what the target is worse than the version in force.
struct RolloutFinding
{
    RolloutReason reason_ = RolloutReason::Failures;
    RouteName route_ {}; ///< empty for all routes together

    bool operator==(const RolloutFinding &) const = default;
};

/// Compares the two versions of a roll-out by route and over all routes.
///
/// A good target is rejected with a probability of at most kAlpha, which the tests divide.
class RolloutComparison
{
public:
    /// @param latencyFrom time from which on latencies are compared.
    explicit RolloutComparison(TimePoint latencyFrom)
        : latencyFrom_(latencyFrom)
    { }

    /// Compares @p outcomes, which are cumulative over both versions' requests.
    /// @return the first difference found.
    std::optional<RolloutFinding> check(const RolloutOutcomes &outcomes, TimePoint now);

    /// Judges all outcomes at the latest moment of the observation, once.
    /// @return a difference, or TooFewRequests if there are not enough to tell.
    [[nodiscard]] std::optional<RolloutFinding> checkOverall(const RolloutOutcomes &outcomes) const;

    /// Keeps the latencies of the version in force up to now as those under its full load.
    void beginSwitch(const RolloutOutcomes &outcomes);

    /// Probability that a good target is rejected; the page of requirements allows 0.01.
    static constexpr double kAlpha = 0.01;
    /// Bad answers beyond the share of the version in force that end a roll-out at once.
    static constexpr double kHardStop = 25;
    /// Length of a time slot: the period of the hosts' reports.
    static constexpr Duration kSlot = std::chrono::milliseconds(250);
    /// Answers of the target that a verdict needs. A failure share of 5 % then shows itself with a
    /// probability of 0.8; a service with 100 requests/s gives the target 75 in 7.5 s.
    static constexpr std::uint64_t kMinAnswers = 30;

private:
    /// The comparisons of one route.
    struct Route
    {
        FailureComparison failures_;
        LatencyComparison latency_;
        SequentialEvidence<2> slowness_ { kMaxLatencyGain };
    };

    /// Part of kAlpha that the sequential tests of failures use; half is for all routes together.
    static constexpr double kFailureAlpha = 0.4 * kAlpha;
    /// The same for latencies.
    static constexpr double kLatencyAlpha = 0.3 * kAlpha;
    /// Part of kAlpha that the single test at the latest moment uses, for failures and for
    /// latencies.
    static constexpr double kOverallAlpha = 0.1 * kAlpha;
    /// Slowdowns that a bad version is assumed to have, in octaves: 2 and 4 times.
    static constexpr std::array kSlowdowns { 1.0, 2.0 };
    /// Slowdown in octaves that back ends of a good version may have, 1.2 times: their speeds
    /// differ by 0.5 octaves (standard deviation), which leaves 0.17 for the mean of 8 back ends.
    static constexpr double kSlowdownTolerance = 0.25;
    /// Variance of a slot's shift from back ends in slow moments: 1.6 octaves on a fifth of 8.
    static constexpr double kMomentVariance = 0.05;
    /// Largest gain of one slot, a quarter of what the test needs: slow moments last up to seconds.
    static constexpr double kMaxLatencyGain = 2;
    /// Time slots of failures in one of latencies.
    static constexpr std::uint64_t kLatencySlots = 2;

    using LatencyGains = SequentialEvidence<2>::Gains;

    void closeSlot(const RolloutOutcomes &outcomes, TimePoint now);
    void closeLatencySlot(const RolloutOutcomes &outcomes, TimePoint now);
    [[nodiscard]] std::optional<RolloutFinding> findFailures(const RolloutOutcomes &outcomes) const;
    [[nodiscard]] std::optional<RolloutFinding> findSlowness() const;
    [[nodiscard]] bool hasEnough(const RolloutOutcomes &outcomes) const;
    /// @return the part of @p alpha for one route, if half of it is shared by all routes.
    [[nodiscard]] double routeAlpha(double alpha) const;
    static LatencyGains gains(const LatencyShift &shift);
    static bool isSlow(const LatencyShift &shift, double alpha);

    const TimePoint latencyFrom_;
    TimePoint slotEnd_ {};
    std::uint64_t slots_ = 0;
    bool isLatencyCompared_ = false;
    std::map<RouteName, Route> routes_;
    FailureComparison failures_; ///< of all routes together
    SequentialEvidence<2> slowness_ { kMaxLatencyGain }; ///< of all routes together
};

} // namespace pimentostage
