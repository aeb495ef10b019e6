#include "pimentostage/backend/ColdStart.h"

#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow { 1h };

TEST(ColdStart, DoesNotLimitAWarmBackEnd)
{
    ColdStart start;
    EXPECT_FALSE(start.isCold(kNow));
    for (int i = 0; i < 100; ++i)
        EXPECT_TRUE(start.tryAcquire(kNow));
}

// Guards against an overload at the beginning of a cold start: in a grown deployment, 69 hosts all
// sent their first request to the back end at the same time.
TEST(ColdStart, AllHostsTogetherStayWithinTheColdRate)
{
    constexpr double kRate = 5;
    constexpr double kMaxPerSecond = 1.5 * kRate + 8;
    for (const std::size_t hosts : { 8U, 69U, 300U }) {
        std::vector<ColdStart> coldStarts(hosts);
        for (std::size_t i = 0; i < hosts; ++i) {
            const double phase = static_cast<double>(i) / static_cast<double>(hosts);
            coldStarts[i].begin(kNow + 3s, kRate / static_cast<double>(hosts), phase, kNow);
        }
        std::vector<int> sent(3);
        for (Duration passed {}; passed < 3s; passed += 10ms) {
            for (ColdStart &start : coldStarts)
                sent[static_cast<std::size_t>(passed / 1s)]
                    += start.tryAcquire(kNow + passed) ? 1 : 0;
        }
        for (const int inSecond : sent) {
            EXPECT_LE(inSecond, kMaxPerSecond) << hosts << " hosts";
            EXPECT_GE(inSecond, 4) << hosts << " hosts";
        }
    }
}

TEST(ColdStart, KeepsItsTokensWhenAnnouncedAgain)
{
    ColdStart start;
    start.begin(kNow + 1s, 1, 1, kNow);
    EXPECT_TRUE(start.tryAcquire(kNow));
    start.begin(kNow + 2s, 1, 1, kNow + 100ms);
    EXPECT_FALSE(start.tryAcquire(kNow + 100ms));
}

TEST(ColdStart, EndsAtTheGivenTime)
{
    ColdStart start;
    start.begin(kNow + 1s, 1, 1, kNow);
    EXPECT_TRUE(start.tryAcquire(kNow));
    EXPECT_FALSE(start.tryAcquire(kNow));
    EXPECT_FALSE(start.hasCapacity(kNow + 900ms));
    EXPECT_TRUE(start.tryAcquire(kNow + 1s));
    EXPECT_TRUE(start.tryAcquire(kNow + 1s));
}

// Guards against a cold start that is lost when the wait for its announcement ends, and against
// tokens for each announcement.
TEST(ColdStart, ThatWasPresumedContinuesOnceItIsAnnounced)
{
    ColdStart start;
    start.presume(1, 1, kNow);
    EXPECT_TRUE(start.tryAcquire(kNow));
    start.presume(1, 1, kNow + 100ms);
    start.begin(kNow + 3s, 1, 1, kNow + 200ms);
    EXPECT_FALSE(start.tryAcquire(kNow + 200ms));
    start.endPresumption();
    EXPECT_TRUE(start.isCold(kNow + 300ms));
    EXPECT_FALSE(start.hasCapacity(kNow + 300ms));
    EXPECT_FALSE(start.isCold(kNow + 3s));
}

TEST(ColdStart, ThatWasPresumedEndsWithThePresumption)
{
    ColdStart start;
    start.presume(1, 0, kNow);
    EXPECT_TRUE(start.isCold(kNow + 1h)) << "it has no time limit of its own";
    EXPECT_FALSE(start.hasCapacity(kNow + 900ms));
    start.endPresumption();
    EXPECT_TRUE(start.hasCapacity(kNow + 900ms));
}

} // namespace
