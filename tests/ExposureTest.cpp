#include "tests/fakes/ExposureFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <thread>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow { 1h };
const HostName kHost("host-0");

RolloutLimits limits()
{
    RolloutLimits limits;
    limits.maxShare_ = 0.1;
    limits.maxExtra_ = 50;
    limits.rollback_ = 5s;
    return limits;
}

ExposureLease leaseOf(std::uint64_t sequence, std::uint64_t limit)
{
    ExposureLease lease;
    lease.incarnation_ = Incarnation { 1 };
    lease.epoch_ = Epoch { 1 };
    lease.sequence_ = sequence;
    lease.limit_ = limit;
    lease.targetFor_ = kExposureLease;
    lease.currentFor_ = kCurrentLease;
    return lease;
}

/// @return how many of @p requests may go to the target.
int send(ExposureBudget &budget, int requests, TimePoint now)
{
    int sent = 0;
    for (int i = 0; i < requests; ++i)
        sent += budget.trySend(now) ? 1 : 0;
    return sent;
}

// Guards against a host that sends to the target without a lease or after its end.
TEST(ExposureBudget, SendsNoMoreThanItsLeaseAndNothingAfterItsEnd)
{
    ExposureBudget budget { Incarnation { 1 } };
    EXPECT_FALSE(budget.trySend(kNow));
    budget.apply(leaseOf(1, 3), kNow);
    EXPECT_EQ(send(budget, 2, kNow + 999ms), 2);
    EXPECT_FALSE(budget.trySend(kNow + kExposureLease));
    budget.apply(leaseOf(2, 3), kNow + 1s);
    EXPECT_EQ(send(budget, 5, kNow + 1s), 1) << "what is unused is lent again, not added";
}

// Guards against late or repeated leases that add to the newest one or replace it.
TEST(ExposureBudget, IgnoresLateAndRepeatedLeases)
{
    ExposureBudget budget { Incarnation { 1 } };
    budget.apply(leaseOf(2, 1), kNow);
    budget.apply(leaseOf(1, 100), kNow);
    budget.apply(leaseOf(2, 1), kNow + 500ms);
    EXPECT_EQ(send(budget, 5, kNow), 1);
    EXPECT_FALSE(budget.trySend(kNow + 1100ms)) << "a repeated lease does not last longer";
}

// Guards against leases of a former process or holder in the hands of a new one.
TEST(ExposureBudget, IgnoresLeasesForAnotherProcessAndOfAFormerHolder)
{
    ExposureBudget budget { Incarnation { 2 } };
    budget.apply(leaseOf(1, 10), kNow);
    EXPECT_FALSE(budget.trySend(kNow));

    ExposureBudget other { Incarnation { 1 } };
    other.apply(leaseOf(5, 10), kNow);
    EXPECT_EQ(other.report(Epoch { 2 }).epoch_, Epoch { 2 });
    EXPECT_FALSE(other.trySend(kNow)) << "a report to a new holder ends the former one's leases";
    other.apply(leaseOf(6, 10), kNow);
    EXPECT_FALSE(other.trySend(kNow));
    EXPECT_EQ(other.report(Epoch { 1 }).epoch_, Epoch { 2 });
}

// Guards against a host that goes on to use the version in force after the switch, or that is cut
// off from the holder and does so for ever.
TEST(ExposureBudget, StopsUsingTheVersionInForce)
{
    ExposureBudget budget { Incarnation { 1 } };
    EXPECT_TRUE(budget.mayUseCurrent(kNow));
    budget.apply(leaseOf(1, 1), kNow);
    EXPECT_TRUE(budget.mayUseCurrent(kNow + kCurrentLease - 1ms));
    EXPECT_FALSE(budget.mayUseCurrent(kNow + kCurrentLease));
    ExposureLease last = leaseOf(2, ExposureLease::kUnlimited);
    last.isCurrentAllowed_ = false;
    EXPECT_FALSE(budget.report(Epoch { 1 }).hasLeftCurrent_);
    budget.apply(last, kNow);
    EXPECT_FALSE(budget.mayUseCurrent(kNow));
    EXPECT_TRUE(budget.report(Epoch { 1 }).hasLeftCurrent_);
    EXPECT_EQ(send(budget, 1000, kNow), 1000);
}

// Guards against a process that started during the roll-out, of which the holder does not know, and
// that uses the version in force when its back ends stop.
TEST(ExposureBudget, AProcessThatStartsLateNeedsALeaseForTheVersionInForce)
{
    ExposureBudget budget(Incarnation { 1 }, true);
    EXPECT_FALSE(budget.mayUseCurrent(kNow));
    budget.apply(leaseOf(1, 0), kNow);
    EXPECT_TRUE(budget.mayUseCurrent(kNow));
}

// Guards against a lost update between traffic threads and the control thread.
TEST(ExposureBudget, KeepsItsLimitUnderConcurrentRequests)
{
    constexpr int kThreads = 4;
    constexpr int kRequests = 20000;
    constexpr std::uint64_t kLeases = 200;
    ExposureBudget budget { Incarnation { 1 } };
    std::atomic<std::uint64_t> sent { 0 };
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
        threads.emplace_back([&] {
            for (int j = 0; j < kRequests; ++j) {
                budget.recordRequest();
                sent += budget.trySend(kNow) ? 1 : 0;
            }
        });
    }
    for (std::uint64_t i = 1; i <= kLeases; ++i) {
        budget.apply(leaseOf(i, 10 * i), kNow);
        EXPECT_LE(budget.report(Epoch { 1 }).used_, 10 * i);
    }
    for (std::thread &thread : threads)
        thread.join();
    send(budget, 10 * kLeases, kNow);
    const ExposureUse use = budget.report(Epoch { 1 });
    EXPECT_LE(sent.load(), 10 * kLeases);
    EXPECT_EQ(use.used_, 10 * kLeases);
    EXPECT_EQ(use.requests_, std::uint64_t { kThreads } * kRequests);
}

// Guards against a target that gets its whole reserve before its failures are known.
TEST(ExposureAllocator, ReleasesTheReserveOverTime)
{
    ExposureAllocator allocator(limits(), Epoch { 1 }, true);
    allocator.onVerdict({ RolloutPhase::Observing, 0.1, RolloutReason::Ordered }, kNow);
    std::uint64_t requests = 0;
    for (int i = 1; i <= 4; ++i)
        allocator.allocate(kHost, 0, requests += 200, kNow + i * 250ms);
    EXPECT_LE(allocator.lent(), 80U + 7U) << "a tenth of 800 requests and a quarter of the reserve";
    EXPECT_GE(allocator.lent(), 20U);
}

// Guards against more requests than back ends in cold start can serve.
TEST(ExposureAllocator, StartsAtTheRateOfColdBackends)
{
    RolloutLimits cold = limits();
    cold.startPerS_ = 7;
    cold.warmup_ = 3s;
    ExposureAllocator allocator(cold, Epoch { 1 }, true);
    allocator.onVerdict({ RolloutPhase::Observing, 0.1, RolloutReason::Ordered }, kNow);
    std::uint64_t requests = 0;
    std::uint64_t used = 0;
    for (int i = 1; i < 12; ++i) {
        used = allocator.allocate(kHost, used, requests += 100, kNow + i * 250ms).limit_;
        EXPECT_LE(static_cast<double>(used), 7 * 0.25 * i);
    }
    EXPECT_GT(used, 10U);
    for (int i = 12; i < 24; ++i)
        used = allocator.allocate(kHost, used, requests += 100, kNow + i * 250ms).limit_;
    EXPECT_GT(used, 100U) << "the share holds after the cold start";
}

// Guards against a new holder that lends again what the former one has lent.
TEST(ExposureAllocator, ANewHolderLendsOnlyForNewRequests)
{
    ExposureAllocator allocator(limits(), Epoch { 2 }, false);
    allocator.onVerdict({ RolloutPhase::Observing, 0.1, RolloutReason::Ordered }, kNow);
    ExposureUse use { Incarnation { 1 }, Epoch { 1 }, 0, 5000, 0, false };
    auto lease = allocator.allocate(kHost, use, kNow);
    ASSERT_TRUE(lease);
    EXPECT_EQ(lease->sequence_, 0U) << "only announces the epoch";
    use.epoch_ = Epoch { 2 };
    lease = allocator.allocate(kHost, use, kNow + 250ms);
    ASSERT_TRUE(lease);
    EXPECT_EQ(lease->limit_, 0U);
    use.requests_ += 100;
    lease = allocator.allocate(kHost, use, kNow + 500ms);
    ASSERT_TRUE(lease);
    EXPECT_GT(lease->limit_, 0U);
    EXPECT_LE(lease->limit_, 10U);
}

// Guards against lending twice to a host whose process ended with a lease.
TEST(ExposureAllocator, WhatAFormerProcessGotStaysSpent)
{
    ExposureAllocator allocator(limits(), Epoch { 1 }, true);
    allocator.onVerdict({ RolloutPhase::Observing, 0.1, RolloutReason::Ordered }, kNow);
    ExposureUse use { Incarnation { 1 }, Epoch { 1 }, 0, 100, 0, false };
    allocator.allocate(kHost, use, kNow);
    use.requests_ = 200;
    allocator.allocate(kHost, use, kNow + 250ms);
    const std::uint64_t before = allocator.lent();
    EXPECT_GT(before, 0U);
    const ExposureUse restarted { Incarnation { 2 }, Epoch { 1 }, 0, 10, 0, false };
    const auto lease = allocator.allocate(kHost, restarted, kNow + 500ms);
    ASSERT_TRUE(lease);
    EXPECT_EQ(allocator.lent(), before + lease->limit_);
    EXPECT_FALSE(allocator.allocate(kHost, use, kNow + 600ms)) << "a report of the former process";
}

// Guards against a roll-back that leaves hosts with a lease for the target.
TEST(ExposureAllocator, ARollBackTakesLeasesBack)
{
    ExposureAllocator allocator(limits(), Epoch { 1 }, true);
    ExposureBudget budget { Incarnation { 1 } };
    EXPECT_FALSE(allocator.revoke(kHost));
    allocator.onVerdict({ RolloutPhase::Switching, 1, RolloutReason::Passed }, kNow);
    budget.apply(*allocator.allocate(kHost, budget.report(Epoch { 1 }), kNow), kNow);
    EXPECT_TRUE(budget.trySend(kNow));
    EXPECT_FALSE(budget.mayUseCurrent(kNow));
    allocator.onVerdict({ RolloutPhase::RolledBack, 0, RolloutReason::Failures }, kNow);
    budget.apply(*allocator.revoke(kHost), kNow + 10ms);
    EXPECT_FALSE(budget.trySend(kNow + 10ms));
    EXPECT_TRUE(budget.mayUseCurrent(kNow + 10ms));
    budget.apply(*allocator.allocate(kHost, budget.report(Epoch { 1 }), kNow + 20ms), kNow + 20ms);
    EXPECT_FALSE(budget.trySend(kNow + 20ms));
}

// Guards against a share in Switching that is far from the one decided.
TEST(ExposureAllocator, SwitchingFollowsTheShareOfEachHost)
{
    ExposureAllocator allocator(limits(), Epoch { 1 }, true);
    ExposureBudget budget { Incarnation { 1 } };
    allocator.onVerdict({ RolloutPhase::Switching, 0.35, RolloutReason::Passed }, kNow);
    int sent = 0;
    for (int i = 1; i <= 40; ++i) {
        const TimePoint now = kNow + i * 250ms;
        for (int j = 0; j < 50; ++j)
            budget.recordRequest();
        sent += send(budget, 50, now);
        budget.apply(*allocator.allocate(kHost, budget.report(Epoch { 1 }), now), now);
    }
    EXPECT_NEAR(sent, 0.35 * 40 * 50, 50);
}

/// Runs @p steps random actions on @p fleet.
/// @param check called after each of them.
void runActions(ExposureFleet &fleet, const std::vector<std::pair<int, int>> &steps,
                const std::function<void()> &check)
{
    for (const auto &[action, number] : steps) {
        const auto value = static_cast<std::size_t>(number);
        const std::size_t host = value % fleet.hostCount();
        switch (action) {
        case 0:
            fleet.restartHost(host);
            break;
        case 1:
            fleet.changeHolder();
            break;
        case 2:
            fleet.lose();
            break;
        case 3:
        case 4:
            fleet.deliver(false, number % 3 == 0);
            break;
        case 5:
            fleet.advance(std::chrono::milliseconds(10 * number));
            break;
        default:
            // The usual course: requests, a report of each host, and most messages in order.
            for (std::size_t i = 0; i < fleet.hostCount(); ++i) {
                fleet.arrive(i, (value + i) % 40);
                fleet.report(i);
            }
            for (std::size_t i = 0; i < value % 20; ++i)
                fleet.deliver(true, false);
            fleet.advance(250ms);
            break;
        }
        fleet.arrive(host, value % 7);
        check();
    }
}

std::vector<std::pair<int, int>> randomSteps()
{
    return *rc::gen::container<std::vector<std::pair<int, int>>>(
        150, rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 100)));
}

// Guards against exposure beyond the budget under lost, late, repeated and reordered messages,
// restarts of hosts, and changes of the holder while former ones go on to answer.
RC_GTEST_PROP(ExposureProperty, NeverExceedsTheBudget, ())
{
    const RolloutLimits bounds = limits();
    ExposureFleet fleet(*rc::gen::inRange<std::size_t>(1, 6), bounds,
                        *rc::gen::arbitrary<std::uint64_t>());
    runActions(fleet, randomSteps(), [&] {
        const double allowed
            = bounds.maxShare_ * static_cast<double>(fleet.requests())
              + ExposureAllocator::kExtraLent * static_cast<double>(bounds.maxExtra_);
        RC_ASSERT(static_cast<double>(fleet.sentToTarget()) <= allowed);
        RC_ASSERT(!fleet.wasSentOutOfTouch());
        RC_ASSERT(!fleet.wasRefusedInTouch());
    });
    RC_CLASSIFY(fleet.sentToTarget() > 20, "more than 20 requests to the target");
}

// Guards against Complete while a host that has not restarted may still send to the version in
// force.
RC_GTEST_PROP(ExposureProperty, NoHostUsesTheFormerVersionAfterAllHaveLeft, ())
{
    ExposureFleet fleet(*rc::gen::inRange<std::size_t>(1, 6), limits(),
                        *rc::gen::arbitrary<std::uint64_t>());
    runActions(fleet, randomSteps(), [] {});
    fleet.setVerdict({ RolloutPhase::Switching, 1, RolloutReason::Passed });
    std::vector<std::pair<int, int>> steps = randomSteps();
    for (auto &[action, number] : steps) {
        if (action < 2) // neither restarts nor another holder
            action = 6;
    }
    std::optional<std::uint64_t> sentBefore;
    runActions(fleet, steps, [&] {
        RC_ASSERT(!sentBefore || fleet.sentToCurrent() == *sentBefore);
        if (fleet.hasEveryHostLeft())
            sentBefore = fleet.sentToCurrent();
    });
    RC_CLASSIFY(sentBefore.has_value(), "all hosts have left");
}

// Guards against a budget that is safe because it lends nothing: in the usual course most of it is
// used.
TEST(Exposure, MostOfTheBudgetIsUsedInTheUsualCourse)
{
    constexpr std::size_t kHosts = 60;
    ExposureFleet fleet(kHosts, limits(), 1);
    fleet.setVerdict({ RolloutPhase::Observing, 0.1, RolloutReason::Ordered });
    Random random(1);
    for (int i = 0; i < 30; ++i) { // 7.5 s with 100 requests/s
        for (int j = 0; j < 25; ++j)
            fleet.arrive(random.below(kHosts), 1);
        for (std::size_t host = 0; host < kHosts; ++host)
            fleet.report(host);
        while (fleet.messageCount() > 0)
            fleet.deliver(true, false);
        fleet.advance(250ms);
    }
    EXPECT_GE(fleet.sentToTarget(), 60U) << "of 75 + 25";
    EXPECT_LE(fleet.sentToTarget(), 100U);
}

} // namespace
