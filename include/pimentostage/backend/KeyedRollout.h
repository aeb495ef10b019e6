#pragma once

#include "pimentostage/backend/Rollout.h"
#include "pimentostage/platform/Configuration.h"

#include <cstddef>
#include <optional>

namespace pimentostage {

/// What is known of the back ends and keys of a keyed service while a roll-out runs.
struct KeyedProgress
{
    std::size_t current_ = 0; ///< back ends of the version in force
    std::size_t ready_ = 0; ///< back ends of the target that take new work
    std::size_t unready_ = 0; ///< other back ends of the target
    std::size_t units_ = 0; ///< keys, or shards, of the service
    std::size_t unitsAtCurrent_ = 0; ///< of these, those that the target does not own alone
};

/// @return the progress of @p order as far as @p configuration shows it.
KeyedProgress keyedProgress(const Configuration &configuration, const RolloutOrder &order);

/// Decides about one roll-out of a keyed service, in which a key belongs to one back end, so that
/// the target cannot be tried with a share of the requests: it passes if its back ends are ready.
///
/// Runs at the holder of the role `rollouts`, on its control thread.
class KeyedRollout
{
public:
    /// @param orderedAt time of the order on this host's clock.
    KeyedRollout(const RolloutOrder &order, TimePoint orderedAt);

    /// Continues a roll-out that a former holder has brought to @p phase and @p share.
    void resume(RolloutPhase phase, double share, TimePoint now);
    /// Allows or forbids the begin of Switching.
    void allowSwitching(bool isAllowed) { isSwitchingAllowed_ = isAllowed; }
    /// Rolls back for an operator or a newer order. No effect after the end.
    void abort();
    /// Advances the phase.
    /// @return phase, share of the keys for the target, and reason.
    RolloutVerdict decide(const KeyedProgress &progress, TimePoint now);

    /// Time for which the target's back ends must have been ready: two of their reports.
    static constexpr Duration kReadyTime = std::chrono::seconds(2);
    /// The target must have at least this share of the number of back ends of the version in force,
    /// so that its back ends can serve all keys at twice their usual load for a moment.
    static constexpr double kMinReadyShare = 0.5;
    /// Shortest and longest time between two steps; a step ends once its keys have moved.
    static constexpr Duration kMinStep = std::chrono::milliseconds(500);
    static constexpr Duration kMaxStep = std::chrono::milliseconds(1500);
    /// Largest increase of the target's share in one step.
    static constexpr double kMaxStepShare = 0.25;
    /// Time for requests that still run at the former owners of the last keys.
    static constexpr Duration kDrainTime = std::chrono::seconds(1);
    /// Time before the end of the duration at which Switching begins at the latest.
    static constexpr Duration kSwitchDuration = 4 * kMinStep + kDrainTime;

private:
    void observe(const KeyedProgress &progress, TimePoint now);
    void switchKeys(const KeyedProgress &progress, TimePoint now);
    void rollBack(RolloutReason reason);

    const RolloutOrder order_;
    const TimePoint orderedAt_;
    bool isSwitchingAllowed_ = true;
    RolloutVerdict verdict_;
    std::optional<TimePoint> readySince_;
    std::optional<TimePoint> emptySince_; ///< when the version in force had no keys left
    TimePoint stepAt_ {};
};

} // namespace pimentostage
