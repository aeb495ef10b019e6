#include "pimentostage/caller/ServedShares.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

TEST(ServedShares, NamesTheTeamOfWhichTheLeastWasAnswered)
{
    ServedShares shares;
    EXPECT_FALSE(shares.worst(kStart).has_value());
    for (int i = 0; i < 100; ++i) {
        shares.onEnd(TeamName("well"), 1, true, kStart);
        shares.onEnd(TeamName("badly"), 1, i % 4 == 0, kStart);
    }
    const auto worst = shares.worst(kStart);
    ASSERT_TRUE(worst.has_value());
    EXPECT_EQ(worst->team_, TeamName("badly"));
    EXPECT_NEAR(worst->share_, 0.25, 0.01);
}

TEST(ServedShares, WeighsByKind)
{
    ServedShares shares;
    shares.onEnd(TeamName("one"), 30, true, kStart);
    shares.onEnd(TeamName("one"), 10, false, kStart);
    EXPECT_NEAR(shares.worst(kStart)->share_, 0.75, 0.01);
}

TEST(ServedShares, ForgetsWhatIsLongPast)
{
    ServedShares shares;
    shares.onEnd(TeamName("one"), 10, false, kStart);
    shares.onEnd(TeamName("one"), 10, true, kStart + 60s);
    EXPECT_GT(shares.worst(kStart + 60s)->share_, 0.95);
    EXPECT_FALSE(shares.worst(kStart + 300s).has_value()) << "it asks for nothing";
}

} // namespace
