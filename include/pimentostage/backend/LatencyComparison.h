#pragma once

#include "pimentostage/backend/RolloutOutcomes.h"
#include "pimentostage/backend/SequentialEvidence.h"

#include <optional>
#include <vector>

namespace pimentostage {

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

/// Compares the latencies of the target on one route with those of the version in force.
///
/// Means of logarithms are compared, because outliers hardly change them, and because a factor by
/// which a back end is slower is a constant difference.
class LatencyComparison
{
public:
    /// Keeps the outcomes of the version in force up to now as those under its full load, with
    /// which the target is compared while traffic moves to it.
    void keepBaseline(const RouteOutcomes &total);

    /// Skips the outcomes up to now, such as those of a cold start.
    void skip(const RouteOutcomes &total);

    /// Closes a time slot.
    /// @return the shift in the slots since the last result, or std::nullopt if these have too few
    ///         answers of the target and the next slot will include them.
    std::optional<LatencyShift> closeSlot(const RouteOutcomes &total);

    /// @return the shift over all outcomes that were not skipped; std::nullopt for too few answers.
    [[nodiscard]] std::optional<LatencyShift> overall(const RouteOutcomes &total) const;

    /// Answers of the target that a result has at least.
    static constexpr double kMinAnswers = 5;

private:
    [[nodiscard]] std::optional<LatencyShift> shift(const RouteOutcomes &outcomes,
                                                    const RouteOutcomes &total) const;

    RouteOutcomes skipped_;
    RouteOutcomes closed_;
    std::optional<VersionOutcomes> baseline_;
};

/// @return the mean of @p shifts of several routes, weighted by their precision.
LatencyShift combine(const std::vector<LatencyShift> &shifts);

} // namespace pimentostage
