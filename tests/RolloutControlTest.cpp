#include "tests/fakes/RolloutFleet.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 6;
constexpr Duration kOrdered = 14s; ///< duration of the roll-outs
const RolloutFleet::Behaviour kGood {};
const RolloutFleet::Behaviour kBad { 0.3, 50ms };

using Status = RolloutStore::Status;

RolloutLimits limits()
{
    return RolloutLimits { 0.1, 50, 5s, 0, {} };
}

/// A fleet whose service runs v1, with back ends of v2 beside them.
class RolloutControlTest : public testing::Test
{
protected:
    void start(const RolloutFleet::Behaviour &target)
    {
        fleet_.addBackends("v1", 6, kGood);
        fleet_.addBackends("v2", 6, target);
        fleet_.run(1s);
        ASSERT_GT(fleet_.sentTo("v1"), 0U);
        ASSERT_EQ(fleet_.sentTo("v2"), 0U) << "no roll-out allows it yet";
        orderedAt_ = fleet_.now();
        requestsBefore_ = fleet_.requests();
        fleet_.order("v2", kOrdered);
    }

    /// @return the number of requests that the target may get.
    [[nodiscard]] double bound() const
    {
        const auto requests = static_cast<double>(fleet_.requests() - requestsBefore_);
        return limits().maxShare_ * requests + static_cast<double>(limits().maxExtra_);
    }

    /// Runs until the roll-out has ended and expects that it was complete in time.
    void expectComplete()
    {
        fleet_.run(orderedAt_ + kOrdered - fleet_.now());
        ASSERT_FALSE(fleet_.store().statuses_.empty());
        EXPECT_EQ(fleet_.store().statuses_.back(), (Status { RolloutStatus::Complete, "v2" }));
        fleet_.run(500ms);
        const std::uint64_t former = fleet_.sentTo("v1");
        const std::uint64_t target = fleet_.sentTo("v2");
        fleet_.run(1s);
        EXPECT_EQ(fleet_.sentTo("v1"), former);
        EXPECT_GT(fleet_.sentTo("v2"), target);
    }

    /// Expects that the roll-out was rolled back and the target gets nothing any more.
    void expectRolledBack()
    {
        ASSERT_FALSE(fleet_.store().statuses_.empty());
        EXPECT_EQ(fleet_.store().statuses_.back(), (Status { RolloutStatus::RolledBack, "v2" }));
        const std::uint64_t former = fleet_.sentTo("v1");
        const std::uint64_t target = fleet_.sentTo("v2");
        fleet_.run(2s);
        EXPECT_GT(fleet_.sentTo("v1"), former);
        EXPECT_EQ(fleet_.sentTo("v2"), target);
    }

    RolloutFleet fleet_ { kHosts, limits() };
    Duration orderedAt_ {};
    std::uint64_t requestsBefore_ = 0;
};

// Guards against a good version that is not in force in time, and against a status that is written
// while the back ends of the former version, which stop at once, still run requests.
TEST_F(RolloutControlTest, AGoodVersionIsCompleteInTime)
{
    start(kGood);
    std::uint64_t runningAtEnd = 1;
    fleet_.store().onStatus_ = [&](const Status &status) {
        if (status.status_ == RolloutStatus::Complete)
            runningAtEnd = fleet_.runningAt("v1");
    };
    expectComplete();
    EXPECT_EQ(runningAtEnd, 0U);
    EXPECT_EQ(fleet_.store().statuses_.front(), (Status { RolloutStatus::Running, "v2" }));
    EXPECT_FALSE(fleet_.wantsRole(0)) << "the role is held only while a roll-out is open";
}

TEST_F(RolloutControlTest, ABadVersionStaysWithinItsExposure)
{
    start(kBad);
    std::uint64_t sentAtEnd = 0;
    fleet_.store().onStatus_ = [&](const Status &) { sentAtEnd = fleet_.sentTo("v2"); };
    for (int i = 0; i < 100; ++i) {
        fleet_.run(140ms);
        EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
    }
    EXPECT_GT(fleet_.sentTo("v2"), 0U);
    expectRolledBack();
    EXPECT_EQ(fleet_.sentTo("v2"), sentAtEnd) << "nothing is sent after the status";
}

// Guards against operators who are told of a roll-back while hosts out of touch still use their
// leases.
TEST_F(RolloutControlTest, ARollBackIsReportedOnceTheLastLeasesHaveRunOut)
{
    // Requests run long enough at v1 for the roll-out not to be complete when the target gets all.
    fleet_.addBackends("v1", 6, { 0, 1500ms });
    fleet_.addBackends("v2", 6, { 0, 1500ms });
    fleet_.run(1s);
    fleet_.order("v2", kOrdered);
    while (!fleet_.storedAt(RolloutPhase::Switching) && fleet_.now() < kOrdered)
        fleet_.run(10ms);
    fleet_.run(4 * RolloutDecision::kStepPeriod);
    for (std::size_t host = 1; host < kHosts; ++host)
        fleet_.cut(host, true);
    std::uint64_t sentAtEnd = 0;
    fleet_.store().onStatus_ = [&](const Status &status) {
        if (status == Status { RolloutStatus::RolledBack, "v2" })
            sentAtEnd = fleet_.sentTo("v2");
    };
    fleet_.order("v3", kOrdered);
    fleet_.run(500ms);
    ASSERT_EQ(fleet_.state()->phase_, RolloutPhase::RolledBack);
    const std::uint64_t sentBefore = fleet_.sentTo("v2");
    fleet_.run(5s);
    EXPECT_GT(sentAtEnd, sentBefore) << "the hosts had leases left";
    EXPECT_EQ(fleet_.sentTo("v2"), sentAtEnd);
}

// Guards against an exposure that grows with each holder: what the former ones lent is spent.
TEST_F(RolloutControlTest, EachHolderDoesNotLendTheExtraRequestsAgain)
{
    fleet_.addBackends("v1", 6, kGood);
    fleet_.addBackends("v2", 6, kGood);
    fleet_.run(1s);
    requestsBefore_ = fleet_.requests();
    fleet_.order("v2", 60s);
    for (std::size_t holder = 1; holder < kHosts; ++holder) {
        fleet_.run(ExposureAllocator::kExtraPeriod + 1s);
        fleet_.setHolder(holder);
    }
    fleet_.run(ExposureAllocator::kExtraPeriod);
    EXPECT_EQ(fleet_.state()->phase_, RolloutPhase::Observing);
    EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
}

// Guards against an exposure that is lent twice by two holders.
TEST_F(RolloutControlTest, TheNextHolderContinuesWithinTheExposure)
{
    start(kBad);
    for (const std::size_t holder : { 1, 2, 3 }) {
        fleet_.run(400ms);
        fleet_.loseHolder();
        fleet_.run(600ms);
        fleet_.setHolder(holder);
        EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
    }
    fleet_.run(kOrdered);
    EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
    expectRolledBack();
}

TEST_F(RolloutControlTest, AGoodVersionIsCompleteDespiteALostHolder)
{
    start(kGood);
    fleet_.run(3s);
    fleet_.loseHolder();
    fleet_.run(700ms);
    fleet_.setHolder(1);
    expectComplete();
}

TEST_F(RolloutControlTest, ALostHolderWhileSwitchingIsReplaced)
{
    start(kGood);
    while (!fleet_.storedAt(RolloutPhase::Switching) && fleet_.now() < orderedAt_ + kOrdered)
        fleet_.run(40ms);
    ASSERT_TRUE(fleet_.storedAt(RolloutPhase::Switching));
    fleet_.loseHolder();
    fleet_.run(700ms);
    fleet_.setHolder(1);
    fleet_.run(kOrdered);
    ASSERT_FALSE(fleet_.store().statuses_.empty());
    EXPECT_NE(fleet_.store().statuses_.back().status_, RolloutStatus::Running);
}

// Guards against a host that is cut off from the others and goes on sending to a version that they
// may have rolled back, or whose back ends have stopped.
TEST_F(RolloutControlTest, AHostOutOfTouchSendsNothingToTheTarget)
{
    start(kGood);
    fleet_.run(2s);
    fleet_.cut(4, true);
    fleet_.run(kExposureLease + 50ms);
    const std::uint64_t sent = fleet_.sentTo("v2", 4);
    fleet_.run(3s);
    EXPECT_EQ(fleet_.sentTo("v2", 4), sent);
    std::uint64_t formerAtEnd = 0;
    fleet_.store().onStatus_ = [&](const Status &status) {
        if (status.status_ != RolloutStatus::Complete)
            return;
        formerAtEnd = fleet_.sentTo("v1", 4);
        EXPECT_EQ(fleet_.runningAt("v1"), 0U);
    };
    fleet_.run(kOrdered);
    EXPECT_EQ(fleet_.store().statuses_.back().status_, RolloutStatus::Complete);
    EXPECT_EQ(fleet_.sentTo("v1", 4), formerAtEnd);
}

// Guards against refused requests whose cause, a lease that has run out, is not in the log.
TEST_F(RolloutControlTest, AHostOutOfTouchLogsOnceThatItsLeaseHasRunOut)
{
    start(kGood);
    fleet_.run(2s);
    EXPECT_EQ(fleet_.log().count({ "rollout-lease-expired" }), 0U);
    fleet_.cut(4, true);
    fleet_.run(kCurrentLease + 2s);
    EXPECT_EQ(fleet_.log().count({ "rollout-lease-expired" }), 1U);
    EXPECT_EQ(fleet_.log().count({ "rollout-lease-expired", "entry-4" }), 1U);
}

// Guards against a phase that the next holder would not know of: while the store is down, the
// observation goes on and the switch is not begun.
TEST_F(RolloutControlTest, SwitchingIsNotBegunWhileTheStoreIsDown)
{
    start(kGood);
    fleet_.run(2s);
    fleet_.setStoreDown(true);
    const std::uint64_t sent = fleet_.sentTo("v2");
    fleet_.run(7s);
    EXPECT_GT(fleet_.sentTo("v2"), sent) << "leases go on";
    EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
    EXPECT_EQ(fleet_.state()->phase_, RolloutPhase::Observing);
    fleet_.run(10s);
    EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
    fleet_.setStoreDown(false);
    fleet_.run(3s);
    expectRolledBack();
}

// Guards against traffic that moves before the store has recorded the switch, so that the next
// holder would not know of it.
TEST_F(RolloutControlTest, SwitchingTakesEffectOnlyOnceItIsRecorded)
{
    start(kGood);
    fleet_.run(8s);
    const int manyWrites = 1'000'000;
    fleet_.store().loseWrites_ = manyWrites;
    fleet_.run(5s);
    EXPECT_EQ(fleet_.state()->phase_, RolloutPhase::Observing);
    EXPECT_LT(fleet_.store().loseWrites_, manyWrites) << "the switch was to be recorded";
    EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
    fleet_.store().loseWrites_ = 0;
    fleet_.run(1s);
    EXPECT_EQ(fleet_.state()->phase_, RolloutPhase::Switching);
}

// Guards against latencies that are compared as if each version had a fixed number of back ends:
// with fewer, chance differences are larger; with more, a slow version passes.
TEST_F(RolloutControlTest, ComparesByTheBackEndsOfTheSmallerVersion)
{
    fleet_.addBackends("v1", 6, kGood);
    fleet_.addBackends("v2", 2, kGood);
    fleet_.run(1s);
    fleet_.order("v2", kOrdered);
    fleet_.run(1s);
    EXPECT_EQ(fleet_.log().count({ "rollout-back-ends", "\"back_ends\":2" }), 1U);
    fleet_.addBackends("v2", 20, kGood);
    fleet_.run(1s);
    EXPECT_EQ(fleet_.log().count({ "rollout-back-ends", "\"back_ends\":6" }), 1U)
        << "back ends that register after the order count";
    EXPECT_EQ(fleet_.log().count({ "rollout-back-ends" }), 2U) << "one line for each change";
}

// Guards against a share that jumps to all traffic because the time that the store took to record
// the switch counted as steps.
TEST_F(RolloutControlTest, StepsBeginWhenTheSwitchIsRecorded)
{
    start(kGood);
    fleet_.run(8s);
    fleet_.store().loseWrites_ = 1'000'000;
    fleet_.run(4s);
    ASSERT_EQ(fleet_.state()->phase_, RolloutPhase::Observing);
    fleet_.store().loseWrites_ = 0;
    while (!fleet_.storedAt(RolloutPhase::Switching) && fleet_.now() < orderedAt_ + kOrdered)
        fleet_.run(10ms);
    ASSERT_TRUE(fleet_.storedAt(RolloutPhase::Switching));
    fleet_.run(RolloutDecision::kStepPeriod);
    const std::uint64_t requests = fleet_.requests();
    const std::uint64_t former = fleet_.sentTo("v1");
    fleet_.run(300ms); // the second step of four
    EXPECT_GT(static_cast<double>(fleet_.sentTo("v1") - former),
              0.1 * static_cast<double>(fleet_.requests() - requests));
}

// Guards against hosts that go on sending to a version that was rolled back until the reply to
// their next report, up to 250 ms later.
TEST_F(RolloutControlTest, ARollBackRevokesTheLeasesOfAllHostsAtOnce)
{
    fleet_.addBackends("v1", 6, kGood);
    fleet_.addBackends("v2", 6, { 1, 50ms });
    for (std::size_t host = 1; host < kHosts; ++host) { // hosts report at different times
        fleet_.run(47ms);
        fleet_.restart(host);
    }
    fleet_.run(1s);
    fleet_.order("v2", kOrdered);
    fleet_.run(500ms);
    fleet_.store().loseWrites_ = 1'000'000; // the hosts cannot learn of it from the store
    while (fleet_.log().count({ "rollout-phase", "rolled-back" }) == 0 && fleet_.now() < kOrdered)
        fleet_.run(1ms);
    ASSERT_EQ(fleet_.log().count({ "rollout-phase", "rolled-back" }), 1U);
    fleet_.run(10ms); // a message takes 5 ms
    const std::uint64_t sent = fleet_.sentTo("v2");
    fleet_.run(1s);
    EXPECT_EQ(fleet_.sentTo("v2"), sent);
}

// Guards against two targets at once.
TEST_F(RolloutControlTest, ASecondOrderRollsTheFirstBackAndThenBegins)
{
    start(kGood);
    fleet_.addBackends("v3", 6, kGood);
    fleet_.run(2s);
    fleet_.order("v3", kOrdered);
    fleet_.run(200ms);
    const std::uint64_t sent = fleet_.sentTo("v2");
    fleet_.run(kOrdered + 3s);
    EXPECT_EQ(fleet_.sentTo("v2"), sent);
    const std::vector<Status> expected { { RolloutStatus::Running, "v2" },
                                         { RolloutStatus::RolledBack, "v2" },
                                         { RolloutStatus::Running, "v3" },
                                         { RolloutStatus::Complete, "v3" } };
    EXPECT_EQ(fleet_.store().statuses_, expected);
}

TEST_F(RolloutControlTest, AnOrderWithoutBackEndsIsRolledBackAtItsTime)
{
    fleet_.addBackends("v1", 6, kGood);
    fleet_.run(1s);
    fleet_.order("v2", kOrdered);
    fleet_.run(5s);
    EXPECT_EQ(fleet_.store().statuses_.back(), (Status { RolloutStatus::Running, "v2" }));
    fleet_.run(kOrdered - 5s + 2s);
    expectRolledBack();
}

TEST_F(RolloutControlTest, AWithdrawnOrderIsRolledBack)
{
    start(kGood);
    fleet_.run(2s);
    fleet_.withdrawOrder();
    fleet_.run(2s);
    EXPECT_EQ(fleet_.state()->phase_, RolloutPhase::RolledBack);
    const std::uint64_t sent = fleet_.sentTo("v2");
    fleet_.run(2s);
    EXPECT_EQ(fleet_.sentTo("v2"), sent);
    EXPECT_FALSE(fleet_.wantsRole(0));
}

// Guards against a roll-out that begins anew with each status: the store may give the order a new
// version when its status is written.
TEST_F(RolloutControlTest, ANewVersionOfTheSameOrderIsNoNewOrder)
{
    start(kGood);
    fleet_.run(3s);
    fleet_.order("v2", kOrdered);
    expectComplete();
    fleet_.order("v2", kOrdered);
    fleet_.run(3s);
    const std::vector<Status> expected { { RolloutStatus::Running, "v2" },
                                         { RolloutStatus::Complete, "v2" } };
    EXPECT_EQ(fleet_.store().statuses_, expected);
    EXPECT_FALSE(fleet_.wantsRole(0));
}

// Guards against an order that is taken for the former one with the same content, which was
// withdrawn and ended.
TEST_F(RolloutControlTest, AnOrderThatIsRepeatedAfterItsDeletionIsRunAgain)
{
    start(kGood);
    fleet_.run(2s);
    fleet_.withdrawOrder();
    fleet_.run(4s);
    EXPECT_FALSE(fleet_.wantsRole(0));
    orderedAt_ = fleet_.now();
    fleet_.order("v2", kOrdered);
    fleet_.run(500ms);
    EXPECT_TRUE(fleet_.wantsRole(0));
    expectComplete();
    EXPECT_FALSE(fleet_.wantsRole(0));
}

// Guards against a status that comes before a host has stopped using the former version: its
// requests there would be lost.
TEST_F(RolloutControlTest, CompletionWaitsForEveryHost)
{
    fleet_.addBackends("v1", 6, { 0, 1500ms });
    fleet_.addBackends("v2", 6, { 0, 1500ms });
    fleet_.run(1s);
    fleet_.order("v2", kOrdered);
    bool isComplete = false;
    fleet_.store().onStatus_ = [&](const Status &status) {
        isComplete = status.status_ == RolloutStatus::Complete;
        if (isComplete) {
            EXPECT_EQ(fleet_.runningAt("v1"), 0U);
        }
    };
    fleet_.run(9s);
    EXPECT_FALSE(isComplete);
    fleet_.run(6s);
    EXPECT_TRUE(isComplete);
}

TEST_F(RolloutControlTest, ARestartedHostDoesNotAddToTheExposure)
{
    start(kBad);
    for (std::size_t host = 1; host < kHosts; ++host) {
        fleet_.run(300ms);
        fleet_.restart(host);
    }
    fleet_.run(kOrdered);
    EXPECT_LE(static_cast<double>(fleet_.sentTo("v2")), bound());
    expectRolledBack();
}

// Guards against operators who wait for a status that was lost: it is written again.
TEST_F(RolloutControlTest, AStatusThatWasNotWrittenIsRepeated)
{
    start(kBad);
    fleet_.store().isStatusDown_ = true;
    fleet_.run(kOrdered);
    EXPECT_TRUE(fleet_.store().statuses_.empty());
    fleet_.store().isStatusDown_ = false;
    fleet_.run(1s);
    expectRolledBack();
    EXPECT_EQ(fleet_.store().statuses_.size(), 1U);
}

// Guards against messages, roles and withheld back ends where roll-outs are off.
TEST(RolloutControlOff, NothingChangesWithoutAShare)
{
    RolloutFleet fleet(3, RolloutLimits {});
    fleet.addBackends("v1", 3, kGood);
    fleet.addBackends("v2", 3, kGood);
    fleet.order("v2", kOrdered);
    fleet.run(3s);
    EXPECT_GT(fleet.sentTo("v1"), 0U);
    EXPECT_GT(fleet.sentTo("v2"), 0U);
    EXPECT_FALSE(fleet.wantsRole(0));
    EXPECT_FALSE(fleet.state());
    EXPECT_TRUE(fleet.store().statuses_.empty());
    EXPECT_TRUE(fleet.log().lines_.empty());
}

} // namespace
