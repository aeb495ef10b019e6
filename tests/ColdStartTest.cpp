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

TEST(ColdStart, ACompleteFleetStaysWithinWhatAColdBackEndBears)
{
    // As many hosts as there are, each with its part of 6.6 requests a second.
    constexpr std::size_t kHosts = 8;
    constexpr double kRate = 6.6;
    std::vector<ColdStart> starts(kHosts);
    for (ColdStart &start : starts)
        start.begin(kNow + 3s, kRate / kHosts);
    int sent = 0;
    for (Duration passed {}; passed < 1s; passed += 10ms) {
        for (ColdStart &start : starts)
            sent += start.take(kNow + passed) ? 1 : 0;
    }
    // In the first second each host's burst of one comes on top.
    EXPECT_LE(sent, kRate + kHosts);
    EXPECT_GE(sent, 6);
}

TEST(ColdStart, EndsAtItsTime)
{
    ColdStart start;
    start.begin(kNow + 1s, 1);
    EXPECT_TRUE(start.take(kNow));
    EXPECT_FALSE(start.take(kNow));
    EXPECT_FALSE(start.hasRoom(kNow + 900ms));
    EXPECT_TRUE(start.take(kNow + 1s));
    EXPECT_TRUE(start.take(kNow + 1s));
}

} // namespace
