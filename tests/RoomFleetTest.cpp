#include "tests/fakes/RoomFleet.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

// 88 hosts in front of 130 back ends with speeds from 0.5 to 1.5, 4 slots and a queue of 16. Each
// rejection at a back end costs a request that may not be repeated; each refusal by a host can be.

RoomResult run(double load, RoomMode mode, const RoomCase &base = {})
{
    RoomCase roomCase = base;
    roomCase.load_ = load;
    roomCase.mode_ = mode;
    return RoomFleet(roomCase).run();
}

double shareOf(std::uint64_t part, const RoomResult &result)
{
    return static_cast<double>(part) / static_cast<double>(result.arrivals_);
}

// Without sharing, a fifth of the requests was rejected at a load of 0.7: each host sent one to the
// back ends that were full from the other hosts' requests.
TEST(RoomFleet, AtSevenTenthsOfTheCapacityHardlyAnyArrivalIsRejected)
{
    const RoomResult before = run(0.7, RoomMode::Undistinguished);
    const RoomResult after = run(0.7, RoomMode::Shared);
    EXPECT_LT(shareOf(after.rejected_, after), 0.001);
    EXPECT_GT(shareOf(before.rejected_, before), 0.05);
    EXPECT_EQ(after.refused_, 0U) << "rejections must not become refusals";
    EXPECT_LT(after.meanSeconds_, before.meanSeconds_);
    EXPECT_LT(after.busiestOverMean_, before.busiestOverMean_);
}

// A sixth of the requests cannot be answered. They are to be refused, and the capacity used.
TEST(RoomFleet, UnderOverloadMostOfTheExcessIsRefusedAndNotRejected)
{
    const RoomResult before = run(1.2, RoomMode::Undistinguished);
    const RoomResult after = run(1.2, RoomMode::Shared);
    EXPECT_LT(shareOf(after.rejected_, after), 0.05);
    EXPECT_GT(shareOf(before.rejected_, before), 0.2);
    EXPECT_GT(after.answered_, before.answered_);
    EXPECT_EQ(after.refusedWithRoom_, 0U);
}

TEST(RoomFleet, AfterTheReportersAreGoneItServesAsWithoutSharing)
{
    RoomCase gone;
    gone.reportersGoneAt_ = 3s;
    const RoomResult before = run(0.7, RoomMode::Alone);
    const RoomResult after = run(0.7, RoomMode::Shared, gone);
    // The runs draw different random numbers, and the rejections differ by a few hundredths.
    EXPECT_LE(shareOf(after.rejected_, after), 1.1 * shareOf(before.rejected_, before));
    EXPECT_EQ(after.refused_, 0U);
}

// Each side sees only its own observations and still counts all hosts as senders.
TEST(RoomFleet, APartitionOfTheHostsCostsFewArrivals)
{
    RoomCase halves;
    halves.partitioned_ = 0.5;
    const RoomResult after = run(0.7, RoomMode::Shared, halves);
    EXPECT_LT(shareOf(after.rejected_, after), 0.01);
    EXPECT_EQ(after.refused_, 0U);
}

// A few owners get four times the requests of the others.
TEST(RoomFleet, ABusyOwnersArrivalsAreRefusedBeforeTheyAreSent)
{
    RoomCase owners;
    owners.hotOwners_ = 4;
    const RoomResult before = run(0.55, RoomMode::Undistinguished, owners);
    const RoomResult after = run(0.55, RoomMode::Shared, owners);
    EXPECT_LT(after.rejected_ * 5, before.rejected_);
    EXPECT_LE(shareOf(after.refusedWithRoom_, after), 0.001);
    EXPECT_GT(static_cast<double>(after.answered_), 0.98 * static_cast<double>(before.answered_));
}

} // namespace
