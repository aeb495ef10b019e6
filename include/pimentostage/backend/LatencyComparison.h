#pragma once

#include "pimentostage/backend/RolloutOutcomes.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentostage {

/// Outcomes of all hosts by route.
using RolloutOutcomes = std::map<RouteName, RouteOutcomes>;

/// Number, mean and variance of latencies, each as the binary logarithm of the latency.
struct LatencyMoments
{
    double count_ = 0;
    double mean_ = 0; ///< in octaves
    double variance_ = 0;
};

/// @return the moments of @p outcomes, from the middles of its buckets.
LatencyMoments latencyMoments(const VersionOutcomes &outcomes);

/// Difference of the mean logarithms of the latencies of two versions; 1 is twice as slow.
struct LatencyShift
{
    double octaves_ = 0;
    double variance_ = 0; ///< of octaves_, from the number of answers
};

/// Compares the latencies of the target with those of the version in force, by route.
///
/// Means of logarithms are compared, because outliers hardly change them, and because a factor by
/// which a back end is slower is a constant difference. Answers of one back end are correlated, so
/// the shift has a variance that does not fall with the number of answers but with that of back
/// ends; it is part of the likelihood, as a normal variable that is the same for all answers.
///
/// The test is sequential: a mixture of likelihood ratios of kSlowdown against no shift over
/// starting times. Its value exceeds log(1 / alpha) at any time with a probability of at most alpha
/// if the target is good.
class LatencyComparison
{
public:
    /// @param backends number of back ends of the version that has fewer.
    explicit LatencyComparison(std::uint32_t backends);

    /// Replaces the number of back ends.
    void setBackends(std::uint32_t backends);

    /// Skips the outcomes up to now, such as those of a cold start.
    void skip(const RolloutOutcomes &outcomes);

    /// Begins a further starting time.
    void start(const RolloutOutcomes &outcomes);

    /// Keeps the outcomes of the version in force up to now as those under its full load, with
    /// which the target is compared too while traffic moves to it.
    void keepBaseline(const RolloutOutcomes &outcomes);

    /// @param route the route, or std::nullopt for all routes together.
    /// @return logarithm of the evidence that the target is slower.
    [[nodiscard]] double evidence(const RolloutOutcomes &outcomes,
                                  const std::optional<RouteName> &route) const;

    /// Judges once, on all outcomes that were not skipped.
    /// @param alpha probability of a false alarm of this call.
    /// @return whether the target is slower.
    [[nodiscard]] bool isSlowerOverall(const RolloutOutcomes &outcomes,
                                       const std::optional<RouteName> &route, double alpha) const;

    /// The same on the outcomes since the starting time kRecentStarts before the last one, which a
    /// long good time before does not hide.
    [[nodiscard]] bool isSlowerLately(const RolloutOutcomes &outcomes,
                                      const std::optional<RouteName> &route, double alpha) const;

    /// Starting times since which outcomes are recent; with one each second, 3 s.
    static constexpr std::size_t kRecentStarts = 3;

private:
    /// Shift in octaves that a bad version is assumed to have. A version that is twice as slow
    /// shows 0.85 instead of 1 (bench), because its slowest answers are still missing.
    static constexpr double kSlowdown = 0.85;
    /// Variance of a shift in octaves for one back end of each version: speeds from 0.5 to 1.6 of
    /// the usual (0.42), and moments of 3 times slower on a fifth of the back ends (0.8), of which
    /// several fall into the period that is compared. The bench measures 0.62 to 0.72 in all.
    static constexpr double kBackendVariance = 0.75;
    /// Answers of each version that a shift needs.
    static constexpr double kMinAnswers = 5;
    /// Starting times kept, the first and the latest; dropping others only lowers the evidence.
    static constexpr std::size_t kMaxStarts = 32;

    /// A starting time.
    struct Start
    {
        double weight_;
        RolloutOutcomes outcomes_; ///< up to that time
    };

    [[nodiscard]] bool isSlowerSince(const RolloutOutcomes &start, const RolloutOutcomes &outcomes,
                                     const std::optional<RouteName> &route, double alpha) const;
    [[nodiscard]] std::optional<LatencyShift> shiftSince(const RolloutOutcomes &start,
                                                         const RouteOutcomes &total) const;
    [[nodiscard]] std::optional<LatencyShift> shiftSince(
        const RolloutOutcomes &start, const RolloutOutcomes &outcomes,
        const std::optional<RouteName> &route) const;

    double backendVariance_;
    std::size_t startCount_ = 0;
    std::vector<Start> starts_;
    RolloutOutcomes skipped_;
    std::optional<RolloutOutcomes> baseline_;
};

} // namespace pimentostage
