#include "pimentostage/caller/ConnectionLimits.h"

#include <gtest/gtest.h>

#include <vector>

using namespace pimentostage;

namespace {

const TeamName kCaxias("caxias");
const TeamName kGramado("gramado");

TEST(ConnectionLimits, CountsAConnectionUntilItIsDestroyed)
{
    ConnectionLimits limits(10);
    auto first = limits.open();
    auto second = limits.open();
    EXPECT_EQ(limits.openCount(), 2U);
    first.reset();
    EXPECT_EQ(limits.openCount(), 1U);
}

TEST(ConnectionLimits, AFloodOfOneTeamDoesNotReduceTheLimitOfAnother)
{
    ConnectionLimits limits(10);
    std::vector<std::shared_ptr<CallerConnection>> flood;
    for (int i = 0; i < 5; ++i) {
        flood.push_back(limits.open());
        EXPECT_EQ(flood.back()->bind(kCaxias, 3), i < 3) << i;
    }
    const auto other = limits.open();
    EXPECT_TRUE(other->bind(kGramado, 3));
    flood.erase(flood.begin());
    EXPECT_TRUE(flood.back()->bind(kCaxias, 3)) << "a connection of the team was closed";
}

TEST(ConnectionLimits, AConnectionCountsForTheTeamOfTheLastKey)
{
    ConnectionLimits limits(10);
    const auto shared = limits.open();
    EXPECT_TRUE(shared->bind(kCaxias, 1));
    EXPECT_TRUE(shared->bind(kCaxias, 1)) << "a connection is counted once";
    EXPECT_TRUE(shared->bind(kGramado, 1));
    const auto next = limits.open();
    EXPECT_TRUE(next->bind(kCaxias, 1));
}

TEST(ConnectionLimits, MarksConnectionsOverTheLimitOfAllTeams)
{
    ConnectionLimits limits(2);
    auto first = limits.open();
    const auto second = limits.open();
    const auto third = limits.open();
    EXPECT_TRUE(second->isWithinLimit());
    EXPECT_FALSE(third->isWithinLimit());
    first.reset();
    EXPECT_FALSE(limits.open()->isWithinLimit()) << "the third one is still open";
}

TEST(ConnectionLimits, ConnectionsMayOutliveTheLimits)
{
    std::shared_ptr<CallerConnection> connection;
    {
        ConnectionLimits limits(2);
        connection = limits.open();
        connection->bind(kCaxias, 1);
    }
    connection.reset();
}

} // namespace
