#include "pimentostage/backend/Warmup.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration offset)
{
    return TimePoint(1h) + offset;
}

TEST(Warmup, RaisesTheLimitByOneUntilAllSlotsAreInUse)
{
    Warmup warmup;
    EXPECT_TRUE(warmup.start(true, 3, at(0ms)));
    EXPECT_EQ(warmup.limit(), 1U);
    EXPECT_EQ(warmup.onAnswer(at(499ms)), Warmup::Change::None);
    EXPECT_EQ(warmup.limit(), 1U);
    warmup.onAnswer(at(500ms));
    EXPECT_EQ(warmup.limit(), 2U);
    warmup.onAnswer(at(1000ms));
    EXPECT_EQ(warmup.limit(), 3U);
    EXPECT_EQ(warmup.onAnswer(at(1500ms)), Warmup::Change::Warm);
    EXPECT_FALSE(warmup.isCold());
}

TEST(Warmup, HalvesTheLimitWhenARequestIsShed)
{
    Warmup warmup;
    warmup.start(true, 8, at(0ms));
    for (Duration time = 500ms; time <= 1500ms; time += 500ms)
        warmup.onAnswer(at(time));
    EXPECT_EQ(warmup.limit(), 4U);
    warmup.onShed(at(1600ms));
    EXPECT_EQ(warmup.limit(), 2U);
    warmup.onAnswer(at(2500ms));
    EXPECT_EQ(warmup.limit(), 2U) << "the next raise is delayed after a shed request";
}

TEST(Warmup, SendsNothingWhileAnotherHostWarmsUpTheBackEnd)
{
    Warmup warmup;
    warmup.start(false, 6, at(0ms));
    EXPECT_EQ(warmup.limit(), 0U);
    warmup.onAnswer(at(5s));
    EXPECT_EQ(warmup.limit(), 0U);
    warmup.expire(at(9s));
    EXPECT_TRUE(warmup.isCold());
    warmup.expire(at(10s));
    EXPECT_FALSE(warmup.isCold());
}

} // namespace
