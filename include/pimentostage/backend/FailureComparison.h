#pragma once

#include "pimentostage/backend/RolloutOutcomes.h"
#include "pimentostage/backend/SequentialEvidence.h"

#include <deque>

namespace pimentostage {

/// Compares the target's share of failures with that of the version in force, on one route or on
/// all.
class FailureComparison
{
public:
    /// @param backends number of back ends of the version that has fewer.
    explicit FailureComparison(std::uint32_t backends);

    /// Replaces the number of back ends, for slots that are closed from now on.
    void setBackends(std::uint32_t backends);

    /// Closes a time slot.
    /// @param total outcomes up to its end.
    void closeSlot(const RouteOutcomes &total);

    /// @param total outcomes up to now.
    /// @param alpha probability of a false alarm over all calls.
    /// @return whether the target fails more often, as far as the sequential test can tell.
    [[nodiscard]] bool isWorse(const RouteOutcomes &total, double alpha) const;

    /// @param alpha probability of a false alarm of this call.
    /// @return whether the target fails more often, judged once on all outcomes.
    [[nodiscard]] bool isWorseOverall(const RouteOutcomes &total, double alpha) const;

    /// @return failures of the target beyond the share that the version in force explains.
    [[nodiscard]] double excess(const RouteOutcomes &total) const;

private:
    /// Shares of failures that a bad version is assumed to have; the product must recognize 5 %.
    static constexpr std::array kAlternatives { 0.04, 0.2, 0.8 };
    /// Assumed for the version in force at least: twice the usual share of 0.001, because some
    /// failures of good versions come in groups from one back end.
    static constexpr double kMinShare = 0.002;
    /// The target may have this many times the measured share, whose estimate is uncertain.
    static constexpr double kTolerance = 1.5;
    /// Answers assumed beforehand, with failures at kMinShare; about 5 s of a service with 100/s.
    static constexpr double kPriorAnswers = 500;
    /// Recent slots whose share counts too, so that a disturbance of both versions is no evidence.
    static constexpr std::size_t kRecentSlots = 4;
    /// Failures of the version in force in the recent slots from which on they are a disturbance.
    static constexpr std::uint64_t kDisturbance = 3;

    /// Largest gain of one slot, half of what the test needs, so that one slot never decides alone.
    static constexpr double kMaxGain = 4;
    /// Largest gain of the slots of one second with no more failures than one back end can cause
    /// that fails all of its requests: good versions have such moments of up to a second.
    static constexpr double kMaxGroupGain = 6;
    /// Failures of one second that the judgement on all outcomes counts at most, for the same
    /// reason.
    static constexpr std::uint64_t kMaxGroupFailures = 3;

    using Evidence = SequentialEvidence<kAlternatives.size()>;

    [[nodiscard]] double expectedShare(const VersionOutcomes &current) const;
    /// What a slot contributed, as far as one back end can have caused it.
    struct Slot
    {
        Evidence::Gains gains_ {};
        std::uint64_t failures_ = 0;
    };

    [[nodiscard]] bool mayBeOneBackend(const VersionOutcomes &slot) const;
    [[nodiscard]] std::uint64_t countedFailures(const RouteOutcomes &total) const;
    [[nodiscard]] Evidence::Gains likelihoodGains(const RouteOutcomes &total) const;
    [[nodiscard]] Evidence::Gains gains(const RouteOutcomes &total) const;

    double backends_;
    Evidence evidence_ { kMaxGain };
    RouteOutcomes closed_; ///< outcomes up to the end of the last closed slot
    std::uint64_t countedFailures_ = 0; ///< of the target in closed slots, for isWorseOverall()
    std::deque<Slot> slots_; ///< closed ones of the last second
    std::deque<VersionOutcomes> recent_; ///< cumulative, of the version in force, at slot ends
};

} // namespace pimentostage
