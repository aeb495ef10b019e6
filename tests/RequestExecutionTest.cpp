#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/backend/AttemptBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration offset)
{
    return TimePoint(1h) + offset;
}

ExecutionPolicy policy(bool idempotent, std::optional<Duration> hedgeAfter = std::nullopt)
{
    ExecutionPolicy policy;
    policy.idempotent_ = idempotent;
    policy.deadline_ = at(1s);
    policy.hedgeAfter_ = hedgeAfter;
    return policy;
}

template <typename Action>
const Action *find(const ExecutionActions &actions)
{
    for (const ExecutionAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action))
            return found;
    }
    return nullptr;
}

class RequestExecutionTest : public testing::Test
{
protected:
    AttemptBudget retries_ { 0.1, 10 };
    AttemptBudget hedges_ { 0.05, 10 };
};

TEST_F(RequestExecutionTest, DeliversTheAnswerOfTheFirstAttempt)
{
    RequestExecution execution(policy(false), retries_, hedges_);
    ASSERT_TRUE(find<SendAttempt>(execution.start(at(0ms))));
    EXPECT_TRUE(find<DeliverAnswer>(execution.onAnswered(0, at(5ms))));
    EXPECT_TRUE(execution.isFinished());
}

// A stop ended while requests were running, and answers that waited behind them were lost.
TEST_F(RequestExecutionTest, GivesUpWithATrueOutcomeWhenTheHostStops)
{
    for (const bool idempotent : { true, false }) {
        RequestExecution running(policy(idempotent), retries_, hedges_);
        running.start(at(0ms));
        const ExecutionActions actions = running.onHostStopping();
        EXPECT_TRUE(find<CancelAttempt>(actions));
        ASSERT_TRUE(find<GiveUp>(actions));
        EXPECT_EQ(find<GiveUp>(actions)->reason_, GiveUpReason::HostStopping);
        EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::Unknown);

        RequestExecution waiting(policy(idempotent), retries_, hedges_);
        waiting.start(at(0ms));
        waiting.onBusy(0, at(0ms));
        const ExecutionActions end = waiting.onHostStopping();
        ASSERT_TRUE(find<GiveUp>(end));
        EXPECT_EQ(find<GiveUp>(end)->outcome_, Outcome::NotRun);
        EXPECT_TRUE(waiting.onHostStopping().empty());
    }
}

TEST_F(RequestExecutionTest, DoesNotRetryANonIdempotentRequestOnceAByteWasSent)
{
    for (const AttemptState state : { AttemptState::PartlySent, AttemptState::Sent }) {
        RequestExecution execution(policy(false), retries_, hedges_);
        execution.start(at(0ms));
        const auto actions = execution.onFailed(0, state, AttemptFailure::Broken, at(5ms));
        EXPECT_FALSE(find<SendAttempt>(actions));
        ASSERT_TRUE(find<GiveUp>(actions));
        EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::Unknown);
    }
}

TEST_F(RequestExecutionTest, RetriesANonIdempotentRequestThatIsKnownNotToHaveRun)
{
    for (const AttemptState state : { AttemptState::NotSent, AttemptState::DeclaredNotRun }) {
        RequestExecution execution(policy(false), retries_, hedges_);
        execution.start(at(0ms));
        const auto actions = execution.onFailed(0, state, AttemptFailure::Shed, at(5ms));
        EXPECT_TRUE(find<SendAttempt>(actions));
    }
}

TEST_F(RequestExecutionTest, ReportsNotRunOnlyIfNoAttemptMayHaveRun)
{
    RequestExecution execution(policy(true), retries_, hedges_);
    execution.start(at(0ms));
    execution.onFailed(0, AttemptState::Sent, AttemptFailure::Broken, at(5ms));
    execution.onFailed(1, AttemptState::NotSent, AttemptFailure::Gone, at(6ms));
    const auto actions
        = execution.onFailed(2, AttemptState::NotSent, AttemptFailure::Gone, at(7ms));
    ASSERT_TRUE(find<GiveUp>(actions));
    EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::Unknown);
}

// A reset before the first byte proves that the request did not run; one after it proves nothing.
TEST_F(RequestExecutionTest, RepeatsARequestThatAFullBackEndDidNotReceive)
{
    RequestExecution notSent(policy(false), retries_, hedges_);
    notSent.start(at(0ms));
    EXPECT_TRUE(find<SendAttempt>(
        notSent.onFailed(0, AttemptState::NotSent, AttemptFailure::Full, at(5ms))));

    RequestExecution sent(policy(false), retries_, hedges_);
    sent.start(at(0ms));
    const auto actions = sent.onFailed(0, AttemptState::Sent, AttemptFailure::Full, at(5ms));
    ASSERT_TRUE(find<GiveUp>(actions));
    EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::Unknown);

    AttemptBudget none(0, 0);
    RequestExecution unpaid(policy(false), none, hedges_);
    unpaid.start(at(0ms));
    const auto refused = unpaid.onFailed(0, AttemptState::NotSent, AttemptFailure::Full, at(5ms));
    ASSERT_TRUE(find<GiveUp>(refused)) << "each repetition needs a token of the retry budget";
    EXPECT_EQ(find<GiveUp>(refused)->outcome_, Outcome::NotRun);
}

// Guards against repetitions at once to the only back end that may run the request, which is full.
TEST_F(RequestExecutionTest, WaitsForRoomAtAFullOwner)
{
    ExecutionPolicy keyed = policy(true);
    keyed.waitsForOwner_ = true;
    RequestExecution execution(keyed, retries_, hedges_);
    execution.start(at(0ms));
    const auto actions = execution.onFailed(0, AttemptState::Sent, AttemptFailure::Full, at(5ms));
    EXPECT_FALSE(find<SendAttempt>(actions));
    ASSERT_TRUE(find<AwaitAdmission>(actions));
    const auto refused = execution.onAdmissionRefused(at(6ms));
    ASSERT_TRUE(find<GiveUp>(refused));
    EXPECT_EQ(find<GiveUp>(refused)->outcome_, Outcome::Unknown);
}

TEST_F(RequestExecutionTest, HedgesAnIdempotentRequestAndCancelsTheSlowerAttempt)
{
    RequestExecution execution(policy(true, 10ms), retries_, hedges_);
    ASSERT_TRUE(find<WakeAt>(execution.start(at(0ms))));
    const auto hedge = execution.onWake(at(10ms));
    ASSERT_TRUE(find<SendAttempt>(hedge));
    EXPECT_TRUE(find<SendAttempt>(hedge)->isHedge_);
    const auto actions = execution.onAnswered(1, at(12ms));
    ASSERT_TRUE(find<CancelAttempt>(actions));
    EXPECT_EQ(find<CancelAttempt>(actions)->attempt_, 0U);
}

TEST_F(RequestExecutionTest, NeverHedgesANonIdempotentRequest)
{
    RequestExecution execution(policy(false, 10ms), retries_, hedges_);
    EXPECT_FALSE(find<WakeAt>(execution.start(at(0ms))));
    EXPECT_TRUE(execution.onWake(at(10ms)).empty());
}

TEST_F(RequestExecutionTest, DoesNotHedgeBeyondTheBudget)
{
    AttemptBudget none(0, 0);
    RequestExecution execution(policy(true, 10ms), retries_, none);
    execution.start(at(0ms));
    EXPECT_TRUE(execution.onWake(at(10ms)).empty());
}

TEST_F(RequestExecutionTest, SendsNothingAfterTheDeadline)
{
    RequestExecution execution(policy(true), retries_, hedges_);
    const auto actions = execution.start(at(1s));
    EXPECT_FALSE(find<SendAttempt>(actions));
    EXPECT_TRUE(find<GiveUp>(actions));
}

TEST_F(RequestExecutionTest, WaitsForAnOwnerUntilTheDeadline)
{
    RequestExecution execution(policy(false), retries_, hedges_);
    execution.start(at(0ms));
    const auto waiting = execution.onNoBackend(0, at(1ms));
    ASSERT_TRUE(find<WakeAt>(waiting));
    EXPECT_TRUE(find<SendAttempt>(execution.onWake(find<WakeAt>(waiting)->at_)));
    const auto actions = execution.onNoBackend(0, at(999ms));
    ASSERT_TRUE(find<GiveUp>(actions));
    EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::NotRun);
}

TEST_F(RequestExecutionTest, WaitsForTheNextOwnerWhenTheOwnerIsUnreachable)
{
    ExecutionPolicy keyed = policy(false);
    keyed.waitsForOwner_ = true;
    RequestExecution execution(keyed, retries_, hedges_);
    execution.start(at(0ms));
    TimePoint now = at(1ms);
    for (AttemptNumber attempt = 0; attempt < 20; ++attempt) {
        const auto waiting
            = execution.onFailed(attempt, AttemptState::NotSent, AttemptFailure::Gone, now);
        ASSERT_TRUE(find<WakeAt>(waiting)) << attempt;
        now = find<WakeAt>(waiting)->at_;
        ASSERT_TRUE(find<SendAttempt>(execution.onWake(now))) << attempt;
    }
    EXPECT_TRUE(find<DeliverAnswer>(execution.onAnswered(20, now)));
}

TEST_F(RequestExecutionTest, WaitsForAdmissionWhileBackEndsAreFull)
{
    RequestExecution execution(policy(false), retries_, hedges_);
    execution.start(at(0ms));
    ASSERT_TRUE(find<AwaitAdmission>(execution.onBusy(0, at(1ms))));
    EXPECT_EQ(execution.attemptCount(), 0U) << "nothing was sent, so no attempt is counted";
    EXPECT_TRUE(find<SendAttempt>(execution.onAdmitted(at(40ms))));
    EXPECT_TRUE(execution.onAdmitted(at(41ms)).empty()) << "it is no longer waiting";
    EXPECT_TRUE(find<DeliverAnswer>(execution.onAnswered(0, at(60ms))));
}

TEST_F(RequestExecutionTest, ReportsOverloadedAndNotRunIfAdmissionIsRefused)
{
    RequestExecution execution(policy(false), retries_, hedges_);
    execution.start(at(0ms));
    execution.onBusy(0, at(1ms));
    const auto actions = execution.onAdmissionRefused(at(2ms));
    ASSERT_TRUE(find<GiveUp>(actions));
    EXPECT_EQ(find<GiveUp>(actions)->reason_, GiveUpReason::Overloaded);
    EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::NotRun);
}

TEST_F(RequestExecutionTest, ShedRequestWaitsWhenTheRetryBudgetIsExhausted)
{
    AttemptBudget none(0, 0);
    RequestExecution execution(policy(false), none, hedges_);
    execution.start(at(0ms));
    const auto actions
        = execution.onFailed(0, AttemptState::DeclaredNotRun, AttemptFailure::Shed, at(5ms));
    EXPECT_TRUE(find<AwaitAdmission>(actions));
    EXPECT_TRUE(find<SendAttempt>(execution.onAdmitted(at(10ms))));
}

// The test records which attempts may have run at the back ends and checks the reported outcome
// against them.
RC_GTEST_PROP(RequestExecutionProperty, RunsANonIdempotentRequestAtMostOnceAndReportsItsOutcome, ())
{
    AttemptBudget retries(0.1, 10);
    AttemptBudget hedges(0.05, 10);
    const bool idempotent = *rc::gen::arbitrary<bool>();
    RequestExecution execution(policy(idempotent, 5ms), retries, hedges);
    TimePoint now = at(0ms);
    std::map<AttemptNumber, bool> running;
    std::uint64_t mayHaveRun = 0;
    bool finished = false;
    std::optional<Outcome> reportedOutcome;
    std::optional<TimePoint> wake;
    bool waiting = false;

    const auto perform = [&](const ExecutionActions &actions) {
        for (const ExecutionAction &action : actions) {
            RC_ASSERT(!finished);
            if (const auto *send = std::get_if<SendAttempt>(&action))
                running[send->attempt_] = true;
            if (const auto *wakeAt = std::get_if<WakeAt>(&action))
                wake = wakeAt->at_;
            if (const auto *giveUp = std::get_if<GiveUp>(&action)) {
                finished = true;
                reportedOutcome = giveUp->outcome_;
            }
            if (std::get_if<AwaitAdmission>(&action))
                waiting = true;
            if (std::get_if<DeliverAnswer>(&action))
                finished = true;
        }
    };
    perform(execution.start(now));
    for (int step = 0; step < 30 && !finished; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
        const auto attempt = std::find_if(running.begin(), running.end(),
                                          [](const auto &entry) { return entry.second; });
        const int event = *rc::gen::inRange(0, 7);
        if (waiting && event < 3) {
            waiting = false;
            perform(event == 0 ? execution.onAdmissionRefused(now) : execution.onAdmitted(now));
            continue;
        }
        if (attempt == running.end() || event == 0) {
            perform(execution.onWake(wake.value_or(now)));
            continue;
        }
        const AttemptNumber number = attempt->first;
        if (event == 6) {
            // onBusy() can be reported for the latest attempt only.
            const AttemptNumber last = running.rbegin()->first;
            if (last + 1 == execution.attemptCount() && running[last]) {
                running.erase(last);
                perform(execution.onBusy(last, now));
            }
            continue;
        }
        running.erase(attempt);
        if (event == 1) {
            perform(execution.onNoBackend(number, now));
        } else if (event == 2) {
            ++mayHaveRun;
            perform(execution.onAnswered(number, now));
        } else if (event == 3) {
            ++mayHaveRun;
            perform(execution.onFailed(number, AttemptState::Sent, AttemptFailure::Broken, now));
        } else if (event == 4) {
            perform(execution.onFailed(number, AttemptState::DeclaredNotRun, AttemptFailure::Shed,
                                       now));
        } else {
            perform(execution.onFailed(number, AttemptState::NotSent, AttemptFailure::Gone, now));
        }
    }
    if (!idempotent)
        RC_ASSERT(mayHaveRun <= 1U);
    if (reportedOutcome == Outcome::NotRun)
        RC_ASSERT(mayHaveRun == 0U);
}

TEST_F(RequestExecutionTest, ShedRequestUsesTheRetryBudgetWhereRejectionsAreLimited)
{
    ExecutionPolicy limited = policy(true);
    limited.waitsForOwner_ = true;
    limited.maxRejections_ = 5;
    limited.maxAttempts_ = 5;
    AttemptBudget oneToken(0, 1);
    RequestExecution execution(limited, oneToken, hedges_);
    execution.start(at(0ms));
    const auto again
        = execution.onFailed(0, AttemptState::DeclaredNotRun, AttemptFailure::Shed, at(1ms));
    EXPECT_TRUE(find<AwaitAdmission>(again));
    execution.onAdmitted(at(2ms));
    const auto last
        = execution.onFailed(1, AttemptState::DeclaredNotRun, AttemptFailure::Shed, at(3ms));
    ASSERT_TRUE(find<GiveUp>(last));
    EXPECT_EQ(find<GiveUp>(last)->reason_, GiveUpReason::Overloaded);
    EXPECT_EQ(find<GiveUp>(last)->outcome_, Outcome::NotRun);
}

TEST_F(RequestExecutionTest, WaitsForAnOwnerNoLongerThanTheMaximumWait)
{
    ExecutionPolicy shortWait = policy(false);
    shortWait.waitsForOwner_ = true;
    shortWait.maxOwnerWait_ = 100ms;
    RequestExecution execution(shortWait, retries_, hedges_);
    execution.start(at(0ms));
    ExecutionActions actions = execution.onNoBackend(0, at(0ms));
    Duration now {};
    while (find<WakeAt>(actions)) {
        now += 20ms;
        ASSERT_TRUE(find<SendAttempt>(execution.onWake(at(now))));
        actions = execution.onNoBackend(0, at(now));
    }
    ASSERT_TRUE(find<GiveUp>(actions));
    EXPECT_EQ(find<GiveUp>(actions)->reason_, GiveUpReason::NoBackend);
    EXPECT_LE(now, 100ms);
}

TEST_F(RequestExecutionTest, CancelsAnIdempotentRequestWhenTheCallerDisconnects)
{
    RequestExecution execution(policy(true), retries_, hedges_);
    execution.start(at(0ms));
    const auto actions = execution.onCallerLeft(at(5ms));
    EXPECT_TRUE(find<CancelAttempt>(actions));
    ASSERT_TRUE(find<GiveUp>(actions));
    EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::Unknown);
}

TEST_F(RequestExecutionTest, ContinuesANonIdempotentRequestWhenTheCallerDisconnects)
{
    RequestExecution execution(policy(false), retries_, hedges_);
    execution.start(at(0ms));
    EXPECT_TRUE(execution.onCallerLeft(at(5ms)).empty());
    EXPECT_TRUE(find<DeliverAnswer>(execution.onAnswered(0, at(9ms))));
}

// Guards against retries outside the budget: back ends that did not own a key yet rejected
// requests, and each rejection led to another arrival that the retry budget did not count (scenario
// late-orders-and-evacuation).
TEST_F(RequestExecutionTest, StaleEpochUsesTheRetryBudgetWhereRejectionsAreLimited)
{
    ExecutionPolicy limited = policy(true);
    limited.waitsForOwner_ = true;
    limited.maxRejections_ = 1;
    AttemptBudget none(0, 0);
    RequestExecution execution(limited, none, hedges_);
    execution.start(at(0ms));
    const auto actions
        = execution.onFailed(0, AttemptState::DeclaredNotRun, AttemptFailure::StaleEpoch, at(1ms));
    ASSERT_TRUE(find<GiveUp>(actions));
    EXPECT_EQ(find<GiveUp>(actions)->outcome_, Outcome::NotRun);
    AttemptBudget some(0, 5);
    RequestExecution allowed(limited, some, hedges_);
    allowed.start(at(0ms));
    EXPECT_TRUE(find<WakeAt>(
        allowed.onFailed(0, AttemptState::DeclaredNotRun, AttemptFailure::StaleEpoch, at(1ms))));
}

} // namespace
