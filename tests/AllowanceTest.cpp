#include "pimentostage/sibling/AllowanceAllocator.h"
#include "pimentostage/sibling/LocalTokenBucket.h"
#include "src/daemon/LocalTokenBuckets.h"
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

TEST(LocalTokenBucket, WaitsForTheHolderBeforeRefusing)
{
    LocalTokenBucket bucket(kAccount);
    SpendResult decided = SpendResult::Waiting;
    EXPECT_EQ(bucket.spend(1, at(0ms), [&](SpendResult result) { decided = result; }),
              SpendResult::Waiting);
    AllowanceAllocator allocator({ 100, 50 }, { Epoch { 1 }, at(0ms), at(0ms) }, at(0ms));
    bucket.applyLease(
        allocator.allocate(HostName("a"), bucket.request(at(0ms)), at(1ms)).allowanceLease_,
        at(0ms), at(2ms));
    EXPECT_EQ(decided, SpendResult::Spent);
}

TEST(LocalTokenBucket, CompletesWaitersAsUnavailableAfterTheMaxWait)
{
    LocalTokenBucket bucket(kAccount);
    SpendResult decided = SpendResult::Waiting;
    bucket.spend(1, at(0ms), [&](SpendResult result) { decided = result; });
    bucket.expireWaiters(at(LocalTokenBucket::kMaxWait - 1ms));
    EXPECT_EQ(decided, SpendResult::Waiting);
    bucket.expireWaiters(at(LocalTokenBucket::kMaxWait));
    EXPECT_EQ(decided, SpendResult::Unavailable);
}

TEST(LocalTokenBucket, IgnoresALeaseOlderThanTheCurrentOne)
{
    LocalTokenBucket bucket(kAccount);
    AllowanceLease newer { kAccount, { Epoch { 2 }, 5 }, 10, 2, kShareValidity, 0, {} };
    AllowanceLease older { kAccount, { Epoch { 1 }, 9 }, 99, 9, kShareValidity, 50, {} };
    bucket.applyLease(newer, at(0ms), at(1ms));
    bucket.applyLease(older, at(0ms), at(2ms));
    EXPECT_LE(bucket.request(at(3ms)).heldRate_, 10);
    EXPECT_EQ(bucket.spend(5, at(3ms), [](SpendResult) {}), SpendResult::Waiting);
}

Configuration configurationWith(const TeamName &team)
{
    Configuration configuration;
    Contract contract;
    contract.team_ = team;
    configuration.contracts_[team] = contract;
    return configuration;
}

// Guards against a request without an answer: its team's contract was withdrawn while it waited for
// tokens.
TEST(LocalTokenBuckets, RefusesTheWaitersOfAWithdrawnContract)
{
    const TeamName team("caxias");
    LocalTokenBuckets buckets;
    buckets.update(configurationWith(team));
    SpendResult decided = SpendResult::Waiting;
    buckets.tokenBuckets().at(team)->spend(1, at(0ms),
                                           [&](SpendResult result) { decided = result; });
    buckets.update(Configuration {});
    EXPECT_EQ(decided, SpendResult::Refused);
}

// Guards against a request without an answer: a traffic thread spent from the bucket of a contract
// that had been withdrawn, as it had not read the new configuration yet.
TEST(LocalTokenBuckets, AWithdrawnContractsBucketLetsNoRequestWait)
{
    const TeamName team("caxias");
    LocalTokenBuckets buckets;
    buckets.update(configurationWith(team));
    const std::shared_ptr<LocalTokenBucket> bucket = buckets.tokenBuckets().at(team);
    buckets.update(Configuration {});
    EXPECT_EQ(bucket->spend(1, at(0ms), [](SpendResult) {}), SpendResult::Refused);
}

TEST(AllowanceAllocator, AllocatesOnlyTheCentralPartDuringRecovery)
{
    AllowanceAllocator allocator({ 100, 50 }, { Epoch { 2 }, at(0ms), at(2000ms) }, at(0ms));
    AllowanceRequest request;
    request.account_ = kAccount;
    request.demand_ = 50;
    request.requestedTokens_ = 100;
    request.minUsefulTokens_ = 1;
    const AllowanceLease first
        = allocator.allocate(HostName("a"), request, at(100ms)).allowanceLease_;
    EXPECT_EQ(first.tokens_, 0) << "the top-ups of the earlier holder may still be spent";
    request.lastLeaseId_ = first.id_;
    const AllowanceLease early
        = allocator.allocate(HostName("a"), request, at(1100ms)).allowanceLease_;
    EXPECT_NEAR(early.tokens_, 20, 0.1) << "a fifth of the rate is never allocated as shares";
    EXPECT_EQ(early.rate_, 0);
    request.lastLeaseId_ = early.id_;
    const AllowanceLease late
        = allocator.allocate(HostName("a"), request, at(2100ms)).allowanceLease_;
    EXPECT_GT(late.rate_, 0);
}

TEST(AllowanceAllocator, CountsTopUpsAsAllocatedUntilTheyExpire)
{
    AllowanceAllocator allocator({ 100, 50 }, { Epoch { 1 }, at(0ms), at(0ms) }, at(0ms));
    AllowanceRequest request;
    request.account_ = kAccount;
    request.requestedTokens_ = 40;
    request.minUsefulTokens_ = 1;
    EXPECT_EQ(allocator.allocate(HostName("a"), request, at(0ms)).allowanceLease_.tokens_, 40);
    request.requestedTokens_ = 50;
    EXPECT_NEAR(allocator.allocate(HostName("b"), request, at(99ms)).allowanceLease_.tokens_, 10,
                0.1)
        << "the first 40 may still be spent, so no more than 10 may be in the bucket";
}

TEST(AllowanceAllocator, CountsTheLargerShareUntilTheSmallerOneIsAcknowledged)
{
    AllowanceAllocator allocator({ 100, 100 }, { Epoch { 1 }, at(0ms), at(0ms) }, at(0ms));
    AllowanceRequest busy;
    busy.account_ = kAccount;
    busy.demand_ = 100;
    AllowanceRequest idle = busy;
    idle.demand_ = 1;
    const double first = allocator.allocate(HostName("a"), busy, at(0ms)).allowanceLease_.rate_;
    EXPECT_NEAR(first, 80, 0.1);
    // The reply with the smaller share may be lost, so "a" may continue to use the larger one.
    allocator.allocate(HostName("a"), idle, at(100ms));
    EXPECT_LE(allocator.allocate(HostName("b"), busy, at(200ms)).allowanceLease_.rate_,
              80 - first + 0.1);
}

TEST(AllowanceAllocator, KeepsTheShareThatAnEarlierHolderAllocated)
{
    AllowanceAllocator allocator({ 100, 50 }, { Epoch { 2 }, at(0ms), at(2000ms) }, at(0ms));
    AllowanceRequest request;
    request.account_ = kAccount;
    request.lastLeaseId_ = { Epoch { 1 }, 7 };
    request.demand_ = 30;
    request.heldRate_ = 20;
    request.heldBurst_ = 2;
    request.heldValidity_ = 900ms;
    const AllowanceLease lease
        = allocator.allocate(HostName("a"), request, at(100ms)).allowanceLease_;
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
    RC_ASSERT(fleet.maxExcess() <= kTolerance);
}

TEST(Allowance, AdmitsAllRequestsWithinTheContractAtOneHost)
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
