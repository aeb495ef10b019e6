#pragma once

#include "pimentostage/backend/FailureComparison.h"
#include "pimentostage/backend/LatencyComparison.h"
#include "pimentostage/backend/Rollout.h"

#include <map>
#include <optional>

namespace pimentostage {

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
    /// @param backends number of back ends of the version that has fewer.
    /// @param latencyFrom time from which on latencies are compared.
    RolloutComparison(std::uint32_t backends, TimePoint latencyFrom)
        : backends_(backends)
        , latencyFrom_(latencyFrom)
        , failures_(backends)
        , latency_(backends)
    { }

    /// Compares @p outcomes, which are cumulative. May be called at any time and any often.
    /// @return the first difference found.
    std::optional<RolloutFinding> check(const RolloutOutcomes &outcomes, TimePoint now);

    /// Judges all outcomes once.
    /// @param part of the probability of a false alarm that all calls together have, for this one.
    /// @return a difference.
    [[nodiscard]] std::optional<RolloutFinding> checkOverall(const RolloutOutcomes &outcomes,
                                                             double part) const;

    /// @return whether there are enough answers of the target on each route for a verdict.
    static bool hasEnough(const RolloutOutcomes &outcomes);

    /// Keeps the latencies of the version in force up to now as those under its full load.
    void beginSwitch(const RolloutOutcomes &outcomes) { latency_.keepBaseline(outcomes); }

    /// Replaces the number of back ends, such as when further ones register.
    void setBackends(std::uint32_t backends);

    /// Skips the latencies of all outcomes until @p time.
    void compareLatencyFrom(TimePoint time) { latencyFrom_ = time; }

    /// Probability that a good target is rejected; the requirements allow 0.01.
    static constexpr double kAlpha = 0.01;
    /// Bad answers beyond the share of the version in force that end a roll-out at once.
    static constexpr double kHardStop = 25;
    /// Length of a time slot: the period of the hosts' reports.
    static constexpr Duration kSlot = std::chrono::milliseconds(250);
    /// Time slots between two starting times of the sequential test of latencies, and between two
    /// evaluations of it.
    static constexpr std::uint64_t kLatencyStartSlots = 4;
    static constexpr std::uint64_t kLatencySlots = 2;
    /// Answers of the target that a verdict needs. A failure share of 5 % then shows itself with a
    /// probability of 0.8; a service with 100 requests/s gives the target 75 in 7.5 s.
    static constexpr std::uint64_t kMinAnswers = 30;

private:
    /// Parts of kAlpha for each kind of test; they sum up to 1.
    static constexpr double kFailureAlpha = 0.15 * kAlpha;
    static constexpr double kOverallFailureAlpha = 0.1 * kAlpha;
    static constexpr double kLatencyAlpha = 0.1 * kAlpha;
    static constexpr double kOverallLatencyAlpha = 0.5 * kAlpha;
    static constexpr double kRecentLatencyAlpha = 0.15 * kAlpha;

    void closeSlot(const RolloutOutcomes &outcomes, TimePoint now);
    [[nodiscard]] std::optional<RolloutFinding> findFailures(const RolloutOutcomes &outcomes) const;
    [[nodiscard]] std::optional<RolloutFinding> findSlowness(const RolloutOutcomes &outcomes) const;
    [[nodiscard]] std::optional<RolloutFinding> findOverallSlowness(const RolloutOutcomes &outcomes,
                                                                    double part) const;

    std::uint32_t backends_;
    TimePoint latencyFrom_;
    TimePoint slotEnd_ {};
    std::uint64_t slots_ = 0; ///< in which latencies were compared
    bool isLatencyCompared_ = false;
    std::map<RouteName, FailureComparison> routeFailures_;
    FailureComparison failures_; ///< of all routes together
    LatencyComparison latency_;
    std::optional<RolloutFinding> slowness_; ///< found in the last evaluation
};

} // namespace pimentostage
