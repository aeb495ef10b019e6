#include "pimentostage/backend/ConcurrencyLimit.h"
#include "pimentostage/base/Random.h"

#include <gtest/gtest.h>

#include <vector>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

TEST(ConcurrencyLimit, HasNoLimitUntilARequestIsShed)
{
    ConcurrencyLimit limit;
    EXPECT_EQ(limit.limit(13), 13U);
    for (int i = 0; i < 100; ++i)
        limit.onAnswer(13);
    EXPECT_EQ(limit.limit(13), 13U);
}

TEST(ConcurrencyLimit, FallsBelowTheShedLoadButNotBelowOne)
{
    ConcurrencyLimit limit;
    limit.onShed(9, kStart);
    EXPECT_LT(limit.limit(13), 9U);
    EXPECT_GE(limit.limit(13), 7U);
    for (int i = 0; i < 50; ++i)
        limit.onShed(1, kStart + i * 100ms);
    EXPECT_EQ(limit.limit(13), 1U);
}

TEST(ConcurrencyLimit, RisesOnlyWhileTheLimitIsReached)
{
    ConcurrencyLimit limit;
    limit.onShed(5, kStart);
    const std::uint32_t fallen = limit.limit(13);
    for (int i = 0; i < 100; ++i)
        limit.onAnswer(1);
    EXPECT_EQ(limit.limit(13), fallen);
    for (int i = 0; i < 100; ++i)
        limit.onAnswer(limit.limit(13));
    EXPECT_GT(limit.limit(13), fallen);
}

// Several hosts that always have more requests share one back end. Together they stay near the load
// at which it sheds, and no host is starved.
TEST(ConcurrencyLimit, SettlesNearTheLoadAtWhichTheBackEndSheds)
{
    constexpr std::size_t kHosts = 4;
    constexpr std::size_t kCapacity = 18;
    constexpr double kAnswersPerMillisecond = 0.3;
    ConcurrencyLimit limits[kHosts];
    std::uint32_t inFlight[kHosts] = {};
    std::uint64_t answers[kHosts] = {};
    std::uint64_t sheds = 0;
    std::vector<std::size_t> running; ///< the host of each request at the back end
    Random random(1);
    for (int step = 0; step < 100'000; ++step) {
        const TimePoint now = kStart + step * 1ms;
        const std::size_t host = random.below(kHosts);
        if (inFlight[host] < limits[host].limit(40)) {
            if (running.size() < kCapacity) {
                ++inFlight[host];
                running.push_back(host);
            } else {
                limits[host].onShed(inFlight[host] + 1, now);
                ++sheds;
            }
        }
        if (running.empty() || random.unit() >= kAnswersPerMillisecond)
            continue;
        const std::size_t ended = random.below(running.size());
        const std::size_t answered = running[ended];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended));
        limits[answered].onAnswer(inFlight[answered]);
        --inFlight[answered];
        ++answers[answered];
    }
    const std::uint64_t total = answers[0] + answers[1] + answers[2] + answers[3];
    EXPECT_GT(total, 29'000U) << "of 30,000 that the back end can answer";
    EXPECT_LT(sheds, total / 10);
    for (const std::uint64_t part : answers)
        EXPECT_GT(part, total / kHosts / 2);
}

} // namespace
