#include "pimentostage/caller/AnsweredRatios.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

TEST(AnsweredRatios, ReturnsTheTeamWithTheLowestRatio)
{
    AnsweredRatios ratios;
    EXPECT_FALSE(ratios.lowest(kStart).has_value());
    for (int i = 0; i < 100; ++i) {
        ratios.onRequestFinished(TeamName("well"), 1, true, kStart);
        ratios.onRequestFinished(TeamName("badly"), 1, i % 4 == 0, kStart);
    }
    const auto lowest = ratios.lowest(kStart);
    ASSERT_TRUE(lowest.has_value());
    EXPECT_EQ(lowest->team_, TeamName("badly"));
    EXPECT_NEAR(lowest->ratio_, 0.25, 0.01);
}

TEST(AnsweredRatios, WeighsByKind)
{
    AnsweredRatios ratios;
    ratios.onRequestFinished(TeamName("one"), 30, true, kStart);
    ratios.onRequestFinished(TeamName("one"), 10, false, kStart);
    EXPECT_NEAR(ratios.lowest(kStart)->ratio_, 0.75, 0.01);
}

TEST(AnsweredRatios, IgnoresRequestsOfLongAgo)
{
    AnsweredRatios ratios;
    ratios.onRequestFinished(TeamName("one"), 10, false, kStart);
    ratios.onRequestFinished(TeamName("one"), 10, true, kStart + 60s);
    EXPECT_GT(ratios.lowest(kStart + 60s)->ratio_, 0.95);
    EXPECT_FALSE(ratios.lowest(kStart + 300s).has_value()) << "the team has no recent requests";
}

} // namespace
