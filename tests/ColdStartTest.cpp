#include "pimentostage/backend/ColdStart.h"

#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow { 1h };

TEST(ColdStart, AWarmBackEndTakesEverything)
{
    ColdStart start;
    EXPECT_FALSE(start.isCold(kNow));
    for (int i = 0; i < 100; ++i)
        EXPECT_TRUE(start.take(kNow));
}

// Pattern: 69 hosts (grown deployments) that all sent their first request to a back end that had
// just turned cold.
TEST(ColdStart, ACompleteFleetStaysWithinWhatAColdBackEndBears)
{
    constexpr double kRate = 5;
    constexpr double kMostInASecond = 1.5 * kRate + 8;
    for (const std::size_t hosts : { 8U, 69U, 300U }) {
        std::vector<ColdStart> starts(hosts);
        for (std::size_t i = 0; i < hosts; ++i) {
            const double phase = static_cast<double>(i) / static_cast<double>(hosts);
            starts[i].begin(kNow + 3s, kRate / static_cast<double>(hosts), phase, kNow);
        }
        std::vector<int> sent(3);
        for (Duration passed {}; passed < 3s; passed += 10ms) {
            for (ColdStart &start : starts)
                sent[static_cast<std::size_t>(passed / 1s)] += start.take(kNow + passed) ? 1 : 0;
        }
        for (const int inSecond : sent) {
            EXPECT_LE(inSecond, kMostInASecond) << hosts << " hosts";
            EXPECT_GE(inSecond, 4) << hosts << " hosts";
        }
    }
}

TEST(ColdStart, GoesOnWhenItIsAnnouncedAgain)
{
    ColdStart start;
    start.begin(kNow + 1s, 1, 1, kNow);
    EXPECT_TRUE(start.take(kNow));
    start.begin(kNow + 2s, 1, 1, kNow + 100ms);
    EXPECT_FALSE(start.take(kNow + 100ms));
}

TEST(ColdStart, EndsAtItsTime)
{
    ColdStart start;
    start.begin(kNow + 1s, 1, 1, kNow);
    EXPECT_TRUE(start.take(kNow));
    EXPECT_FALSE(start.take(kNow));
    EXPECT_FALSE(start.hasRoom(kNow + 900ms));
    EXPECT_TRUE(start.take(kNow + 1s));
    EXPECT_TRUE(start.take(kNow + 1s));
}

} // namespace
