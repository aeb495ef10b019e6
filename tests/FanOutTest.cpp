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

/// Number of copies of the message per host, and the maximum number of steps.
struct Dissemination
{
    std::map<HostName, std::size_t> copies_;
    std::size_t steps_ = 0;
};

void disseminate(const std::vector<HostName> &receivers, std::size_t step, Dissemination &result)
{
    const std::vector<FanOutBranch> branches = fanOut(receivers);
    EXPECT_LE(branches.size(), kMaxBranches);
    for (const FanOutBranch &branch : branches) {
        ++result.copies_[branch.to_];
        result.steps_ = std::max(result.steps_, step);
        disseminate(branch.relayTo_, step + 1, result);
    }
}

TEST(FanOut, ReachesEveryHostOnceInFewSteps)
{
    const std::map<std::size_t, std::size_t> kMaxSteps {
        { 0, 0 }, { 1, 1 }, { 16, 1 }, { 17, 2 }, { 68, 2 }, { 2'899, 3 },
    };
    for (const auto &[count, maxSteps] : kMaxSteps) {
        Dissemination result;
        disseminate(hosts(count), 1, result);
        EXPECT_EQ(result.copies_.size(), count);
        EXPECT_LE(result.steps_, maxSteps) << count << " hosts";
        for (const auto &[host, copies] : result.copies_)
            EXPECT_EQ(copies, 1U) << host.str();
    }
}

// Three data centres have six hosts with high capacity, the sender among them, and 63 hosts with a
// link of 10 Mbit/s. Traffic between data centres is charged, so each message must cross only once,
// and must be relayed by a host with high capacity.
TEST(FanOut, EntersEachOtherDataCentreOnceThroughAHostWithHighCapacity)
{
    constexpr std::size_t kHosts = 69;
    constexpr std::size_t kHighCapacityHosts = 6;
    constexpr std::size_t kZones = 3;
    const auto zoneOf = [](std::size_t host) { return ZoneName(std::to_string(host % kZones)); };
    std::vector<FanOutReceiver> receivers;
    for (std::size_t i = kHosts - 1; i > 0; --i)
        receivers.push_back(
            { HostName("host-" + std::to_string(i)), zoneOf(i), i < kHighCapacityHosts });
    const std::vector<FanOutBranch> branches = fanOut(receivers, zoneOf(0));
    std::map<HostName, std::size_t> copies;
    for (const FanOutBranch &branch : branches) {
        const std::size_t to = std::stoul(branch.to_.str().substr(5));
        EXPECT_LT(to, kHighCapacityHosts);
        ++copies[branch.to_];
        for (const HostName &host : branch.relayTo_) {
            ++copies[host];
            EXPECT_EQ(zoneOf(std::stoul(host.str().substr(5))), zoneOf(to));
        }
    }
    EXPECT_EQ(branches.size(), kZones);
    EXPECT_EQ(copies.size(), kHosts - 1);
}

TEST(FanOut, SendsDirectlyToFewReceiversInTheOwnDataCentre)
{
    std::vector<FanOutReceiver> receivers;
    for (const HostName &host : hosts(7))
        receivers.push_back({ host, ZoneName("a"), false });
    EXPECT_EQ(fanOut(receivers, ZoneName("a")).size(), 7U);
}

} // namespace
