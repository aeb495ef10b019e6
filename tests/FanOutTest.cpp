#include "pimentostage/sibling/FanOut.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace pimentostage;

namespace {

std::vector<HostName> hosts(std::size_t count)
{
    std::vector<HostName> names;
    for (std::size_t i = 0; i < count; ++i)
        names.emplace_back("host-" + std::to_string(i));
    return names;
}

/// How often each host got the message, and the most steps it took.
struct Spread
{
    std::map<HostName, std::size_t> copies_;
    std::size_t steps_ = 0;
};

void spread(const std::vector<HostName> &receivers, std::size_t strong, std::size_t step,
            Spread &result)
{
    const std::vector<FanOutBranch> branches = fanOut(receivers, strong);
    EXPECT_LE(branches.size(), kMostBranches);
    for (const FanOutBranch &branch : branches) {
        ++result.copies_[branch.to_];
        result.steps_ = std::max(result.steps_, step);
        spread(branch.relayTo_, 0, step + 1, result);
    }
}

TEST(FanOut, ReachesEveryHostOnceAfterFewSteps)
{
    const std::map<std::size_t, std::size_t> kMostSteps {
        { 0, 0 }, { 1, 1 }, { 16, 1 }, { 17, 2 }, { 68, 2 }, { 2'899, 3 },
    };
    for (const auto &[count, mostSteps] : kMostSteps) {
        Spread result;
        spread(hosts(count), 0, 1, result);
        EXPECT_EQ(result.copies_.size(), count);
        EXPECT_LE(result.steps_, mostSteps) << count << " hosts";
        for (const auto &[host, copies] : result.copies_)
            EXPECT_EQ(copies, 1U) << host.str();
    }
}

// Pattern: five strong hosts besides the sender, and 63 with a link of 10 Mbit/s.
TEST(FanOut, OnlyStrongHostsPassOn)
{
    constexpr std::size_t kStrong = 5;
    const std::vector<FanOutBranch> branches = fanOut(hosts(68), kStrong);
    ASSERT_EQ(branches.size(), kStrong);
    for (const FanOutBranch &branch : branches) {
        for (const FanOutBranch &next : fanOut(branch.relayTo_, 0))
            EXPECT_TRUE(next.relayTo_.empty());
    }
}

TEST(FanOut, SendsStraightToAFew)
{
    EXPECT_EQ(fanOut(hosts(7), 2).size(), 7U);
}

} // namespace
