#include "pimentostage/sibling/AllowanceLender.h"
#include "pimentostage/sibling/TokenPurse.h"
#include "tests/fakes/AllowanceFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>
#include <vector>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const AccountName kAccount("team/caxias");

TimePoint at(Duration offset)
{
    return TimePoint(1h) + offset;
}

TEST(TokenPurse, WaitsForTheHolderBeforeRefusing)
{
    TokenPurse bucket(kAccount);
    SpendResult decided = SpendResult::Waiting;
    EXPECT_EQ(bucket.spend(1, at(0ms), [&](SpendResult result) { decided = result; }),
              SpendResult::Waiting);
    AllowanceLender allocator({ 100, 50 }, { Epoch { 1 }, at(0ms), at(0ms) }, at(0ms));
    bucket.applyLoan(allocator.lend(HostName("a"), bucket.request(at(0ms)), at(1ms)).loan_, at(0ms),
                     at(2ms));
    EXPECT_EQ(decided, SpendResult::Spent);
}

TEST(TokenPurse, CompletesWaitersAsUnavailableAfterTheMaxWait)
{
    TokenPurse bucket(kAccount);
    SpendResult decided = SpendResult::Waiting;
    bucket.spend(1, at(0ms), [&](SpendResult result) { decided = result; });
    bucket.expireWaiters(at(TokenPurse::kMaxWait - 1ms));
    EXPECT_EQ(decided, SpendResult::Waiting);
    bucket.expireWaiters(at(TokenPurse::kMaxWait));
    EXPECT_EQ(decided, SpendResult::Unavailable);
}

TEST(TokenPurse, IgnoresALeaseOlderThanTheCurrentOne)
{
    TokenPurse bucket(kAccount);
    AllowanceLoan newer { kAccount, { Epoch { 2 }, 5 }, 10, 2, kShareValidity, 0, {} };
    AllowanceLoan older { kAccount, { Epoch { 1 }, 9 }, 99, 9, kShareValidity, 50, {} };
    bucket.applyLoan(newer, at(0ms), at(1ms));
    bucket.applyLoan(older, at(0ms), at(2ms));
    EXPECT_LE(bucket.request(at(3ms)).heldRate_, 10);
    EXPECT_EQ(bucket.spend(5, at(3ms), [](SpendResult) {}), SpendResult::Waiting);
}

TEST(AllowanceLender, AllocatesOnlyTheCentralPartDuringRecovery)
{
    AllowanceLender allocator({ 100, 50 }, { Epoch { 2 }, at(0ms), at(2000ms) }, at(0ms));
    AllowanceRequest request;
    request.account_ = kAccount;
    request.demand_ = 50;
    request.requestedTokens_ = 100;
    request.minUsefulTokens_ = 1;
    const AllowanceLoan first = allocator.lend(HostName("a"), request, at(100ms)).loan_;
    EXPECT_EQ(first.tokens_, 0) << "the top-ups of the earlier holder may still be spent";
    request.lastLeaseId_ = first.id_;
    const AllowanceLoan early = allocator.lend(HostName("a"), request, at(1100ms)).loan_;
    EXPECT_NEAR(early.tokens_, 20, 0.1) << "a fifth of the rate is never allocated as shares";
    EXPECT_EQ(early.rate_, 0);
    request.lastLeaseId_ = early.id_;
    const AllowanceLoan late = allocator.lend(HostName("a"), request, at(2100ms)).loan_;
    EXPECT_GT(late.rate_, 0);
}

TEST(AllowanceLender, CountsTopUpsAsAllocatedUntilTheyExpire)
{
    AllowanceLender allocator({ 100, 50 }, { Epoch { 1 }, at(0ms), at(0ms) }, at(0ms));
    AllowanceRequest request;
    request.account_ = kAccount;
    request.requestedTokens_ = 40;
    request.minUsefulTokens_ = 1;
    EXPECT_EQ(allocator.lend(HostName("a"), request, at(0ms)).loan_.tokens_, 40);
    request.requestedTokens_ = 50;
    EXPECT_NEAR(allocator.lend(HostName("b"), request, at(99ms)).loan_.tokens_, 10, 0.1)
        << "the first 40 may still be spent, so no more than 10 may be in the bucket";
}

TEST(AllowanceLender, CountsTheLargerShareUntilTheSmallerOneIsAcknowledged)
{
    AllowanceLender allocator({ 100, 100 }, { Epoch { 1 }, at(0ms), at(0ms) }, at(0ms));
    AllowanceRequest busy;
    busy.account_ = kAccount;
    busy.demand_ = 100;
    AllowanceRequest idle = busy;
    idle.demand_ = 1;
    const double first = allocator.lend(HostName("a"), busy, at(0ms)).loan_.rate_;
    EXPECT_NEAR(first, 80, 0.1);
    // The reply with the smaller share may be lost, so "a" may continue to use the larger one.
    allocator.lend(HostName("a"), idle, at(100ms));
    EXPECT_LE(allocator.lend(HostName("b"), busy, at(200ms)).loan_.rate_, 80 - first + 0.1);
}

TEST(AllowanceLender, KeepsTheShareThatAnEarlierHolderAllocated)
{
    AllowanceLender allocator({ 100, 50 }, { Epoch { 2 }, at(0ms), at(2000ms) }, at(0ms));
    AllowanceRequest request;
    request.account_ = kAccount;
    request.lastLeaseId_ = { Epoch { 1 }, 7 };
    request.demand_ = 30;
    request.heldRate_ = 20;
    request.heldBurst_ = 2;
    request.heldValidity_ = 900ms;
    const AllowanceLoan lease = allocator.lend(HostName("a"), request, at(100ms)).loan_;
    EXPECT_EQ(lease.rate_, 20);
    EXPECT_EQ(lease.validity_, kShareValidity);
}

// Clocks drift by up to 400 ppm; allows for the excess that this adds over the longest run.
constexpr double kTolerance = 0.5;

// Alternates between phases in which idle hosts fill their buckets and phases in which hosts spend
// as fast as they can, while messages are delayed or lost, hosts pause and the holder changes.
RC_GTEST_PROP(AllowanceProperty, NeverExceedsTheRateLimit, ())
{
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 7);
    const double rate = *rc::gen::inRange(20, 300);
    const double burst = *rc::gen::inRange(5, 200);
    AllowanceFleet fleet(hosts, { rate, burst }, *rc::gen::arbitrary<std::uint64_t>());
    fleet.network_.delay_ = std::chrono::milliseconds(*rc::gen::inRange(0, 40));
    fleet.network_.jitter_ = std::chrono::milliseconds(*rc::gen::inRange(0, 120));
    fleet.network_.loss_ = *rc::gen::element(0.0, 0.1, 0.4);
    const auto phases = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        12, rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 100),
                           rc::gen::inRange(50, 900)));
    for (const auto &[action, number, length] : phases) {
        const std::size_t host = static_cast<std::size_t>(number) % hosts;
        switch (action) {
        case 0:
            fleet.run(std::chrono::milliseconds(3 * length));
            break;
        case 1:
            fleet.changeHolder(host, std::chrono::milliseconds(number * 10));
            break;
        case 2:
            fleet.setPaused(host, number % 2 == 0);
            break;
        default:
            break;
        }
        const Duration end = fleet.now() + std::chrono::milliseconds(length);
        while (fleet.now() < end) {
            for (std::size_t i = 0; i < hosts; ++i) {
                // Some hosts stay idle, so that shares move between hosts.
                const bool isIdle = ((static_cast<unsigned>(number) >> i) & 1U) != 0;
                for (int burstSize = 0; !isIdle && burstSize < 1 + action; ++burstSize)
                    fleet.offer(i, 1 + number % 3);
            }
            fleet.run(10ms);
        }
    }
    fleet.run(1s);
    RC_ASSERT(fleet.worstExcess() <= kTolerance);
}

TEST(Allowance, AdmitsTheWholeContractAtOneHost)
{
    AllowanceFleet fleet(8, { 200, 100 }, 1);
    for (int i = 0; i < 2000; ++i) {
        fleet.offer(3);
        fleet.run(10ms);
    }
    for (const auto &offered : fleet.offered())
        ASSERT_EQ(offered.result_, SpendResult::Spent) << toMilliseconds(offered.at_);
}

TEST(Allowance, AdmitsAllRequestsWithinTheContractDuringHolderFailover)
{
    AllowanceFleet fleet(8, { 400, 200 }, 1);
    for (int i = 0; i < 1500; ++i) {
        if (i == 500) {
            fleet.setDead(0, true);
            fleet.changeHolder(1, 1200ms);
        }
        fleet.offer(1 + static_cast<std::size_t>(i) % 7);
        fleet.run(10ms);
    }
    fleet.run(1s);
    for (const auto &offered : fleet.offered())
        ASSERT_EQ(offered.result_, SpendResult::Spent) << toMilliseconds(offered.at_);
}

} // namespace
