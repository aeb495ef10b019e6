#pragma once

#include "pimentostage/backend/RolloutComparison.h"

#include <map>
#include <vector>

namespace pimentostage {

/// Decides about one roll-out by comparing the target with the version in force.
///
/// Runs at the holder of the role `rollouts`, on its control thread.
class RolloutDecision
{
public:
    /// @param orderedAt time of the order on this host's clock.
    RolloutDecision(const RolloutOrder &order, const RolloutLimits &limits, TimePoint orderedAt);

    /// Continues a roll-out that a former holder has brought to @p phase. Call before onOutcomes().
    /// Where back ends start cold, latencies are compared only after kTakeover, because the reports
    /// do not tell which answers came from cold ones.
    void resume(RolloutPhase phase, TimePoint now);

    /// Applies the cumulative outcomes of the latest process of @p host. Late and repeated reports
    /// of that process have no effect.
    void onOutcomes(const HostName &host, const std::vector<RouteOutcomes> &outcomes,
                    TimePoint now);

    /// Tells that a new process of @p host counts from zero. The outcomes of former ones remain.
    void onHostRestarted(const HostName &host);

    /// Tells that @p host may send requests to the version in force. The first report of a host
    /// implies it. To be called once for each process, since it takes onCurrentLeft() back.
    void addSender(const HostName &host);

    /// Tells that @p host begins no more requests at the version in force, because its last lease
    /// forbids it or has run out.
    /// @param running requests of the host that still run there.
    void onCurrentLeft(const HostName &host, std::size_t running = 0);

    /// Replaces RolloutLimits::backends_: back ends register and leave while the roll-out runs.
    void setBackends(std::uint32_t backends) { comparison_.setBackends(backends); }

    /// Allows or forbids the begin of Switching, such as while the store cannot record it.
    void allowSwitching(bool isAllowed) { isSwitchingAllowed_ = isAllowed; }

    /// Tells that the phase of the last verdict is known to be recorded. The steps of Switching
    /// begin then: while the record is pending the share stays at RolloutLimits::maxShare_, and at
    /// the end of the duration the roll-out is rolled back.
    void onRecorded(TimePoint now);

    /// Judges the target by the health of its back ends, for a keyed service: its target gets no
    /// keys, and so no requests, before Switching. From then on its failures count too, but not its
    /// latency, since keys are slow for some seconds after a move.
    /// @param isHealthy whether the target has back ends, and all of them pass their health checks.
    void judgeByHealth(bool isHealthy);

    /// Rolls back for an operator or a newer order. No effect after the end.
    void abort();

    /// Advances the phase. To be called at least every 250 ms, and after each report for the
    /// earliest verdict.
    /// @return phase, share of the traffic for the target, and reason.
    RolloutVerdict decide(TimePoint now);

    /// Time before the end of the duration at which Switching begins or the roll-out ends: 1.5 s
    /// for the steps, 0.5 s for the last leases to arrive, 2 s for requests that still run at the
    /// former version, and kCompletionMargin.
    static constexpr Duration kSwitchDuration = std::chrono::milliseconds(4500);
    /// Time before the end of the duration from which on Complete does not wait for requests that
    /// still run at the former version; the status must be written and read in that time. Requests
    /// may run for as long as their deadline, 10 s, which is more than a roll-out can wait.
    static constexpr Duration kCompletionMargin = std::chrono::milliseconds(500);
    /// Part of the duration after which Switching begins where the target is judged by its health:
    /// more answers are not waited for, and the moves of keys take seconds.
    static constexpr int kHealthDivisor = 2;
    /// Time after which a new holder has the reports of all hosts in touch: three of their periods.
    static constexpr Duration kTakeover = std::chrono::milliseconds(750);
    /// Time between two steps of Switching: two periods of reports.
    static constexpr Duration kStepPeriod = std::chrono::milliseconds(500);
    /// Largest increase of the target's share in one step.
    static constexpr double kMaxStep = 0.25;
    /// Bad answers after which RolloutLimits::rollback_ begins to run.
    static constexpr std::uint64_t kBadAnswers = 50;
    /// Time before the end of RolloutLimits::rollback_ at which all outcomes are judged, in case
    /// that all answers so far were bad: the last leases run out in kExposureLease, and the verdict
    /// takes up to 0.5 s to reach the hosts.
    static constexpr Duration kRollbackMargin = std::chrono::milliseconds(1500);

    /// Parts of the probability of a false alarm of RolloutComparison::checkOverall() that its
    /// calls have: kRollbackMargin before the end of RolloutLimits::rollback_, at the latest
    /// moment, before each of the four steps of Switching, and before Complete. They sum up to 1.
    static constexpr double kEarlyPart = 0.25;
    static constexpr double kLatestMomentPart = 0.4;
    static constexpr double kStepPart = 0.05;
    static constexpr double kCompletionPart = 0.15;
    /// The early judgement is left out, and its part added to that of the latest moment, if it
    /// would be less than this before the latter.
    static constexpr Duration kMinEarliness = std::chrono::seconds(1);

private:
    /// What the holder knows of one host.
    struct Host
    {
        std::vector<RouteOutcomes> outcomes_; ///< of its latest process
        bool maySendToCurrent_ = true;
        std::size_t runningAtCurrent_ = 0; ///< counts if maySendToCurrent_ is false
    };

    using Advance = void (RolloutDecision::*)(TimePoint);
    /// How each phase advances, by RolloutPhase.
    static const std::array<Advance, kEnumCount<RolloutPhase>> kAdvance;

    void observe(TimePoint now);
    void switchTraffic(TimePoint now);
    void stay(TimePoint now);
    void beginSwitching(TimePoint now);
    void rollBack(const RolloutFinding &finding);
    void applyOutcomes(Host &host, const RouteOutcomes &outcomes);
    [[nodiscard]] bool hasEveryHostLeft(TimePoint now) const;
    [[nodiscard]] std::optional<RolloutFinding> judge() const;
    /// Rolls back if checkOverall(@p part) finds a difference.
    bool passesOverall(double part);
    void checkEarly(TimePoint now);
    [[nodiscard]] TimePoint latestMoment() const;

    const RolloutOrder order_;
    const RolloutLimits limits_;
    const TimePoint orderedAt_;
    bool isSwitchingAllowed_ = true;
    std::optional<bool> isHealthy_; ///< set if the target is judged by its health
    RolloutVerdict verdict_;
    std::optional<TimePoint> switchingSince_; ///< when Switching was recorded; its steps begin then
    std::optional<TimePoint> earlyCheckAt_; ///< set at the kBadAnswers-th answer of the target
    bool isEarlyChecked_ = false;
    bool hasPassed_ = false; ///< at the latest moment; Switching may wait for its permission
    std::int64_t steps_ = 0; ///< of Switching
    RolloutOutcomes totals_;
    RolloutComparison comparison_;
    std::map<HostName, Host> hosts_;
};

} // namespace pimentostage
