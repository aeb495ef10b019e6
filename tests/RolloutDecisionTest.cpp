#include "pimentostage/backend/RolloutDecision.h"
#include "pimentostage/base/Random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kOrderedAt { 1h };
constexpr Duration kDuration = 12s;
constexpr Duration kLatest = kDuration - RolloutDecision::kSwitchDuration;
const HostName kHost("host-0");
const RouteName kRoute("certify");
const RouteName kOtherRoute("lookup");

RolloutLimits limits()
{
    RolloutLimits limits;
    limits.maxShare_ = 0.1;
    limits.maxExtra_ = 50;
    limits.rollback_ = 5s;
    limits.backends_ = 26;
    return limits;
}

RolloutOrder order()
{
    return { ServiceName("permits"), "v2", kDuration };
}

/// Answers of one version in one period of reports.
struct Answers
{
    int answered_ = 0;
    int failed_ = 0;
    double slowdown_ = 1;
};

/// Adds @p answers to @p outcomes, with latencies from 100 to 800 ms.
void add(VersionOutcomes &outcomes, const Answers &answers)
{
    for (int i = 0; i < answers.answered_; ++i) {
        const auto eighth = static_cast<double>(1 + outcomes.answered_ % 8);
        outcomes.record(i < answers.failed_, fromSeconds(0.1 * eighth * answers.slowdown_));
    }
}

/// One roll-out at a holder, with the outcomes of one host.
class Observation
{
public:
    using Answer = std::function<Answers(Duration)>; ///< by the time since the order

    explicit Observation(const RolloutLimits &bounds = limits())
        : decision_(order(), bounds, kOrderedAt)
        , outcomes_ { { kRoute, {}, {} }, { kOtherRoute, {}, {} } }
    { }

    /// Reports the answers of each version on each of both routes every 250 ms, and decides.
    /// @param until time since the order.
    RolloutVerdict run(
        Duration until, const Answer &target,
        const Answer &current = [](Duration) { return Answers { 50 }; })
    {
        return run(until, target, target, current);
    }

    /// @param target answers of the target on the first route.
    /// @param other its answers on the other route.
    RolloutVerdict run(Duration until, const Answer &target, const Answer &other,
                       const Answer &current)
    {
        RolloutVerdict verdict = decideAndRecord();
        while (now_ < kOrderedAt + until && verdict.phase_ != RolloutPhase::RolledBack) {
            now_ += 250ms;
            const Duration elapsed = now_ - kOrderedAt;
            add(outcomes_[0].target_, target(elapsed));
            add(outcomes_[1].target_, other(elapsed));
            add(outcomes_[0].current_, current(elapsed));
            add(outcomes_[1].current_, current(elapsed));
            decision_.onOutcomes(kHost, outcomes_, now_);
            verdict = decideAndRecord();
        }
        return verdict;
    }

    /// Decides; unless isStoreDown_, the store records Switching at once.
    RolloutVerdict decideAndRecord()
    {
        const RolloutVerdict verdict = decision_.decide(now_);
        if (isStoreDown_ || verdict.phase_ != RolloutPhase::Switching)
            return verdict;
        decision_.onRecorded(now_);
        return decision_.decide(now_);
    }

    [[nodiscard]] std::uint64_t bad() const
    {
        return outcomes_[0].target_.failed_ + outcomes_[1].target_.failed_;
    }

    RolloutDecision decision_;
    TimePoint now_ = kOrderedAt;
    std::vector<RouteOutcomes> outcomes_;
    bool isStoreDown_ = false;
};

Answers good(Duration)
{
    return { 5 };
}

// Guards against a good version that is not in force at the end of its time.
TEST(RolloutDecision, AGoodVersionCompletesWithinItsDuration)
{
    Observation observation;
    EXPECT_EQ(observation.run(kLatest - 250ms, &good),
              (RolloutVerdict { RolloutPhase::Observing, 0.1, RolloutReason::Ordered, {} }));
    EXPECT_EQ(observation.run(kLatest, &good).phase_, RolloutPhase::Switching);
    EXPECT_EQ(observation.run(kLatest + 2s, &good).share_, 1);
    observation.decision_.onCurrentLeft(kHost);
    EXPECT_EQ(observation.run(kLatest + 2250ms, &good),
              (RolloutVerdict { RolloutPhase::Complete, 1, RolloutReason::Confirmed, {} }));
    EXPECT_LE(observation.now_, kOrderedAt + kDuration);
}

// Guards against steps that move more than a quarter of the traffic at once.
TEST(RolloutDecision, SwitchingMovesTrafficInSteps)
{
    Observation observation;
    double share = observation.run(kLatest - 250ms, &good).share_;
    for (Duration time = kLatest; time < kDuration; time += 250ms) {
        const double next = observation.run(time, &good).share_;
        EXPECT_LE(next, share + RolloutDecision::kMaxStep + 1e-9);
        EXPECT_GE(next, share);
        share = next;
    }
    EXPECT_EQ(share, 1);
}

/// A bad version, and when it must have been rolled back.
struct BadCase
{
    const char *name_;
    Observation::Answer target_;
    Observation::Answer other_; ///< on the other route
    Duration until_;
};

// Guards against bad versions that stay: at least 40 requests/s of the target, 50 bad answers at
// most unless all answers are late.
TEST(RolloutDecision, BadVersionsAreRolledBack)
{
    const auto failing = [](int failed) {
        return [failed](Duration) { return Answers { 5, failed }; };
    };
    // One failed answer of 20 on both routes: one of 5 in each second period.
    const auto fivePercent = [](Duration time) {
        return Answers { 5, toMilliseconds(time) % 1000 == 0 ? 1 : 0 };
    };
    const auto slow = [](Duration) { return Answers { 5, 0, 2 }; };
    const auto afterFourSeconds = [](Duration time) { return Answers { 5, time > 4s ? 2 : 0 }; };
    const std::vector<BadCase> cases {
        { "5 %", fivePercent, fivePercent, kLatest },
        { "20 %", failing(1), failing(1), 3s },
        { "100 %", failing(5), failing(5), 1s },
        { "twice slower", slow, slow, kLatest },
        { "20 % on one route", failing(1), &good, 5s },
        { "100 % on one route", failing(5), &good, 2s },
        { "late", afterFourSeconds, afterFourSeconds, 5s },
    };
    for (const BadCase &bad : cases) {
        Observation observation;
        const RolloutVerdict verdict = observation.run(bad.until_, bad.target_, bad.other_,
                                                       [](Duration) { return Answers { 50 }; });
        EXPECT_EQ(verdict.phase_, RolloutPhase::RolledBack) << bad.name_;
        EXPECT_EQ(verdict.share_, 0) << bad.name_;
        EXPECT_LT(observation.bad(), RolloutDecision::kBadAnswers) << bad.name_;
    }
}

// Guards against a fault that appears only under the load of the switch, or that late.
TEST(RolloutDecision, ABadVersionIsRolledBackWhileItsTrafficGrows)
{
    Observation observation;
    ASSERT_EQ(observation.run(kLatest, &good).phase_, RolloutPhase::Switching);
    const RolloutVerdict verdict = observation.run(kLatest + 1s, [](Duration) {
        return Answers { 20, 5 };
    });
    EXPECT_EQ(verdict.phase_, RolloutPhase::RolledBack);
    EXPECT_LT(observation.bad(), RolloutDecision::kBadAnswers);
}

// Guards against a version of which too little is known that passes as good.
TEST(RolloutDecision, TooFewAnswersAreNoPass)
{
    Observation observation;
    const auto rare
        = [](Duration time) { return Answers { toMilliseconds(time) % 2000 == 0 ? 2 : 0 }; };
    EXPECT_EQ(observation.run(kLatest - 250ms, rare).phase_, RolloutPhase::Observing);
    EXPECT_EQ(observation.run(kLatest, rare),
              (RolloutVerdict { RolloutPhase::RolledBack, 0, RolloutReason::TooFewRequests, {} }));
}

// Guards against a version that never answers on one route, and so never fails there either.
TEST(RolloutDecision, ARouteWithoutAnswersIsNoPass)
{
    Observation observation;
    const auto silent = [](Duration) { return Answers {}; };
    EXPECT_EQ(
        observation.run(kLatest, &good, silent, [](Duration) { return Answers { 50 }; }).reason_,
        RolloutReason::TooFewRequests);
}

// Guards against a roll-back for a disturbance that both versions have, such as a lost link.
TEST(RolloutDecision, ADisturbanceOfBothVersionsIsNoEvidence)
{
    Observation observation;
    const auto isDisturbed = [](Duration time) { return time > 3s && time <= 4s; };
    const auto target = [&](Duration time) { return Answers { 5, isDisturbed(time) ? 1 : 0 }; };
    const auto current = [&](Duration time) { return Answers { 50, isDisturbed(time) ? 10 : 0 }; };
    EXPECT_EQ(observation.run(kLatest, target, current).phase_, RolloutPhase::Switching);
}

// Guards against a roll-back because one back end of the target broke off its running requests.
TEST(RolloutDecision, AGroupOfFailuresAtOnceIsNoEvidence)
{
    Observation observation;
    const auto target = [](Duration time) { return Answers { 5, time == 3s ? 4 : 0 }; };
    EXPECT_EQ(observation.run(kLatest, target).phase_, RolloutPhase::Switching);
}

// Guards against a roll-back because some back ends have slow moments.
TEST(RolloutDecision, SlowMomentsOfAFifthAreNoEvidence)
{
    Observation observation;
    const auto target = [](Duration time) {
        return Answers { 5, 0, toMilliseconds(time) % 1250 == 0 ? 3.0 : 1.0 };
    };
    EXPECT_EQ(observation.run(kLatest, target).phase_, RolloutPhase::Switching);
}

// Guards against a hard stop that waits for the sequential test, such as after one long slot.
TEST(RolloutDecision, TwentyFiveBadAnswersEndTheRollOutAtOnce)
{
    Observation observation;
    observation.run(2s, &good);
    const auto target = [](Duration) { return Answers { 13, 13 }; };
    const RolloutVerdict verdict = observation.run(2250ms, target);
    EXPECT_EQ(verdict.phase_, RolloutPhase::RolledBack);
    EXPECT_EQ(verdict.reason_, RolloutReason::HardStop);
}

// Guards against a comparison with back ends in cold start, which work half as fast.
TEST(RolloutDecision, LatenciesInTheColdStartAreNotCompared)
{
    const auto target = [](Duration time) { return Answers { 5, 0, time <= 3s ? 4.0 : 1.0 }; };
    Observation strict;
    EXPECT_EQ(strict.run(kLatest, target).reason_, RolloutReason::Latency);
    RolloutLimits bounds = limits();
    bounds.warmup_ = 3s;
    Observation observation(bounds);
    EXPECT_EQ(observation.run(kLatest, target).phase_, RolloutPhase::Switching);
}

// Guards against Complete while a host may still use the former version.
TEST(RolloutDecision, CompleteWaitsForEveryHost)
{
    const HostName other("host-1");
    Observation observation;
    observation.decision_.addSender(other);
    observation.run(kLatest, &good);
    observation.decision_.onCurrentLeft(kHost);
    EXPECT_EQ(observation.run(kDuration - 250ms, &good).phase_, RolloutPhase::Switching);
    observation.decision_.onCurrentLeft(other);
    EXPECT_EQ(observation.run(kDuration, &good).phase_, RolloutPhase::Complete);
}

// Guards against Complete before all traffic has moved, and against a restarted host that is
// forgotten.
TEST(RolloutDecision, ARestartedHostMustLeaveAgain)
{
    Observation observation;
    observation.run(kLatest, &good);
    observation.decision_.onCurrentLeft(kHost);
    EXPECT_EQ(observation.run(kLatest + 1s, &good).phase_, RolloutPhase::Switching);
    observation.decision_.onHostRestarted(kHost);
    observation.outcomes_ = { { kRoute, {}, {} }, { kOtherRoute, {}, {} } };
    EXPECT_EQ(observation.run(kLatest + 3s, &good).phase_, RolloutPhase::Switching);
    observation.decision_.onCurrentLeft(kHost);
    EXPECT_EQ(observation.run(kLatest + 3250ms, &good).phase_, RolloutPhase::Complete);
}

// Guards against a roll-out that misses its time because of one long request, and against one that
// gives up running requests without need.
TEST(RolloutDecision, RunningRequestsDelayCompleteOnlyUntilTheMargin)
{
    Observation observation;
    observation.run(kLatest + 2s, &good);
    observation.decision_.onCurrentLeft(kHost, 1);
    const Duration margin = kDuration - RolloutDecision::kCompletionMargin;
    EXPECT_EQ(observation.run(margin - 250ms, &good).phase_, RolloutPhase::Switching);
    EXPECT_EQ(observation.run(margin, &good).phase_, RolloutPhase::Complete);
}

// Guards against a share that jumps to all traffic once a slow store has recorded the switch.
TEST(RolloutDecision, StepsBeginWhenSwitchingIsRecorded)
{
    Observation observation;
    observation.isStoreDown_ = true;
    const RolloutVerdict pending = observation.run(kLatest + 2s, &good);
    EXPECT_EQ(pending.phase_, RolloutPhase::Switching);
    EXPECT_EQ(pending.share_, limits().maxShare_);
    observation.decision_.onRecorded(observation.now_);
    const double first = limits().maxShare_ + RolloutDecision::kMaxStep;
    EXPECT_EQ(observation.run(kLatest + 2250ms, &good).share_, first);
}

// Guards against a switch that begins after the duration of the roll-out.
TEST(RolloutDecision, ASwitchThatIsNotRecordedInTimeIsRolledBack)
{
    Observation observation;
    observation.isStoreDown_ = true;
    EXPECT_EQ(observation.run(kDuration - 250ms, &good).phase_, RolloutPhase::Switching);
    const RolloutVerdict verdict = observation.run(kDuration, &good);
    EXPECT_EQ(verdict.phase_, RolloutPhase::RolledBack);
    EXPECT_EQ(verdict.reason_, RolloutReason::NotSwitched);
}

// Guards against a phase that the store does not know.
TEST(RolloutDecision, SwitchingWaitsForThePermission)
{
    Observation observation;
    observation.decision_.allowSwitching(false);
    EXPECT_EQ(observation.run(kDuration - 250ms, &good).phase_, RolloutPhase::Observing);
    EXPECT_EQ(observation.run(kDuration, &good).reason_, RolloutReason::NotSwitched);
}

// Guards against a keyed service whose roll-out can never pass, because its target gets no keys and
// so no requests, or passes with back ends that do not work.
TEST(RolloutDecision, AKeyedServiceIsJudgedByTheHealthOfItsTarget)
{
    const auto silent = [](Duration) { return Answers {}; };
    const Duration latest = kDuration / RolloutDecision::kHealthDivisor;
    Observation healthy;
    healthy.decision_.judgeByHealth(true);
    const RolloutVerdict verdict = healthy.run(latest - 250ms, silent);
    EXPECT_EQ(verdict.phase_, RolloutPhase::Observing);
    EXPECT_EQ(verdict.share_, 0);
    EXPECT_EQ(healthy.run(latest, silent).phase_, RolloutPhase::Switching);
    // Keys are slow after a move.
    const auto slow = [](Duration) { return Answers { 20, 0, 4 }; };
    EXPECT_EQ(healthy.run(latest + 2s, slow).share_, 1);
    healthy.decision_.judgeByHealth(false);
    EXPECT_EQ(healthy.run(latest + 2250ms, slow).reason_, RolloutReason::Unhealthy);

    Observation unhealthy;
    unhealthy.decision_.judgeByHealth(false);
    EXPECT_EQ(unhealthy.run(latest, silent).reason_, RolloutReason::Unhealthy);
}

// Guards against an operator's abort that is lost, or that undoes a completed roll-out.
TEST(RolloutDecision, AnAbortRollsBackUntilTheEnd)
{
    Observation observation;
    observation.run(2s, &good);
    observation.decision_.abort();
    EXPECT_EQ(observation.run(2250ms, &good).reason_, RolloutReason::Aborted);

    Observation complete;
    complete.run(kLatest + 2s, &good);
    complete.decision_.onCurrentLeft(kHost);
    complete.run(kLatest + 2250ms, &good);
    complete.decision_.abort();
    EXPECT_EQ(complete.run(kLatest + 2500ms, &good).phase_, RolloutPhase::Complete);
}

// Guards against a new holder that begins the observation again, or forgets the outcomes.
TEST(RolloutDecision, ANewHolderContinues)
{
    Observation former;
    former.run(3s, &good);
    Observation next;
    next.now_ = former.now_;
    next.outcomes_ = former.outcomes_;
    next.decision_.resume(RolloutPhase::Observing, next.now_);
    EXPECT_EQ(next.run(kLatest, &good).phase_, RolloutPhase::Switching);

    Observation last;
    last.now_ = next.now_;
    last.outcomes_ = next.outcomes_;
    last.decision_.resume(RolloutPhase::Switching, last.now_);
    EXPECT_EQ(last.run(kLatest + 2s, &good).share_, 1);
}

// Guards against counts that depend on the order or number of reports, or lose those of a process
// that ended.
RC_GTEST_PROP(RolloutDecisionProperty, LateAndRepeatedReportsHaveNoEffect, ())
{
    // 4 to 40 bad answers, with the reports of a process in any order.
    const int reports = *rc::gen::inRange(2, 20);
    std::vector<std::vector<RouteOutcomes>> sent;
    std::vector<RouteOutcomes> outcomes { { kRoute, {}, {} } };
    for (int i = 0; i < reports; ++i) {
        add(outcomes[0].current_, { 50 });
        add(outcomes[0].target_, { 5, 1 });
        sent.push_back(outcomes);
    }
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        40, rc::gen::inRange<std::size_t>(0, sent.size()));
    RolloutDecision decision(::order(), limits(), kOrderedAt);
    RolloutDecision plain(::order(), limits(), kOrderedAt);
    for (const std::size_t index : order)
        decision.onOutcomes(kHost, sent[index], kOrderedAt);
    decision.onOutcomes(kHost, sent.back(), kOrderedAt);
    plain.onOutcomes(kHost, sent.back(), kOrderedAt);
    for (int i = 0; i < 4; ++i) {
        const TimePoint now = kOrderedAt + i * 250ms;
        RC_ASSERT(decision.decide(now) == plain.decide(now));
        decision.onRecorded(now);
        plain.onRecorded(now);
    }
}

// Guards against buckets that do not tell a version that is twice as slow, or overflow.
TEST(RolloutOutcomes, ALatencyTwiceAsLongIsTwoBucketsHigher)
{
    EXPECT_EQ(latencyBucket(0ms), 0U);
    EXPECT_EQ(latencyBucket(4ms), 0U);
    EXPECT_EQ(latencyBucket(1h), kLatencyBuckets - 1);
    for (const Duration latency : { Duration(5ms), Duration(70ms), Duration(999ms) })
        EXPECT_EQ(latencyBucket(2 * latency), latencyBucket(latency) + 2);
}

// Guards against an alarm rate that grows with the number of looks.
TEST(SequentialEvidence, RarelyExceedsItsThresholdUnderTheHypothesis)
{
    constexpr int kRuns = 2000;
    constexpr double kAlpha = 0.05;
    constexpr double kExpected = 0.01;
    constexpr double kAlternative = 0.1;
    Random random(1);
    int alarms = 0;
    for (int run = 0; run < kRuns; ++run) {
        SequentialEvidence<1> evidence(100);
        double highest = 0;
        for (int step = 0; step < 200; ++step) {
            const bool isFailed = random.unit() < kExpected;
            evidence.add({ isFailed ? std::log(kAlternative / kExpected)
                                    : std::log((1 - kAlternative) / (1 - kExpected)) });
            highest = std::max(highest, evidence.value());
        }
        alarms += highest >= -std::log(kAlpha) ? 1 : 0;
    }
    EXPECT_LE(alarms, kRuns * kAlpha);
    EXPECT_GT(alarms, 0);
}

} // namespace
