#include "pimentostage/backend/HotKeyTracker.h"
#include "pimentostage/backend/HeavyHitters.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration offset)
{
    return TimePoint(1h) + offset;
}

KeyLoad load(double total, std::vector<KeyRate> keys)
{
    return KeyLoad { ServiceName("permits"), total, std::move(keys) };
}

TEST(HeavyHitters, FindsTheMostFrequentKeys)
{
    HeavyHitters hitters(16);
    for (int i = 0; i < 4000; ++i) {
        hitters.add("key-" + std::to_string(i % 500));
        if (i % 4 == 0)
            hitters.add("hot-1");
        if (i % 8 == 0)
            hitters.add("hot-2");
    }
    EXPECT_EQ(hitters.total(), 5500U);
    const auto keys = hitters.takeCounts();
    ASSERT_GE(keys.size(), 2U);
    EXPECT_EQ(keys[0].key_, "hot-1");
    EXPECT_EQ(keys[1].key_, "hot-2");
    EXPECT_GE(keys[0].count_, 1000U);
    EXPECT_EQ(hitters.total(), 0U);
}

TEST(HotKeyTracker, AddsUpTheReportsOfAllHosts)
{
    HotKeyTracker tracker;
    tracker.report(HostName("a"), load(400, { { "k1", 60 }, { "k2", 5 } }), at(0ms));
    EXPECT_TRUE(tracker.hotKeys(1, at(0ms)).empty()) << "60 of 400 is less than a quarter";
    tracker.report(HostName("b"), load(400, { { "k1", 200 }, { "k2", 5 } }), at(0ms));
    EXPECT_EQ(tracker.hotKeys(1, at(0ms)), std::vector<std::string> { "k1" });
}

TEST(HotKeyTracker, KeepsAKeyHotUntilItWasCoolForLongEnough)
{
    HotKeyTracker tracker;
    tracker.report(HostName("a"), load(400, { { "k1", 100 } }), at(0ms));
    EXPECT_EQ(tracker.hotKeys(4, at(0ms)).size(), 1U);
    tracker.report(HostName("a"), load(400, { { "k1", 25 } }), at(30s));
    EXPECT_EQ(tracker.hotKeys(4, at(30s)).size(), 1U) << "half the threshold is not cool enough";
    tracker.report(HostName("a"), load(400, { { "k1", 5 } }), at(35s));
    EXPECT_EQ(tracker.hotKeys(4, at(35s)).size(), 1U) << "not cool for long enough";
    tracker.report(HostName("a"), load(400, { { "k1", 5 } }), at(41s));
    EXPECT_TRUE(tracker.hotKeys(4, at(41s)).empty());
}

TEST(HotKeyTracker, DropsReportsThatAreNotRenewed)
{
    HotKeyTracker tracker;
    tracker.report(HostName("a"), load(400, { { "k1", 300 } }), at(0ms));
    EXPECT_TRUE(tracker.hotKeys(1, at(2s)).empty());
}

} // namespace
