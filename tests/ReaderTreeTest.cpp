#include "pimentostage/sibling/ReaderTree.h"

#include <gtest/gtest.h>

#include <map>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kReaders = 2;

ZoneName zoneOf(const HostName &host)
{
    constexpr std::size_t kZones = 3;
    return ZoneName("zone-" + std::to_string(std::stoul(host.str().substr(5)) % kZones));
}

MemberUpdate hostOf(std::size_t number)
{
    constexpr std::size_t kHighCapacityHosts = 6;
    MemberUpdate update;
    update.member_ = Member { HostName("host-" + std::to_string(number)), Incarnation { 1 } };
    update.capacity_ = number < kHighCapacityHosts ? 500 : 100;
    update.zone_ = zoneOf(update.member_.host_);
    return update;
}

/// @return the source of each host in a fleet of @p size; nothing for readers.
std::map<HostName, std::optional<HostName>> sources(std::size_t size)
{
    std::map<HostName, std::optional<HostName>> sources;
    for (std::size_t self = 0; self < size; ++self) {
        Membership membership(hostOf(self), Random(1));
        for (std::size_t other = 0; other < size; ++other) {
            if (other != self)
                membership.merge(hostOf(other), TimePoint(1h));
        }
        ReaderTree tree(hostOf(self), kReaders);
        tree.update(membership);
        EXPECT_EQ(tree.isReader(), !tree.source().has_value());
        sources[hostOf(self).member_.host_] = tree.source();
    }
    return sources;
}

std::size_t stepsToReader(const std::map<HostName, std::optional<HostName>> &sources,
                          const HostName &host)
{
    std::size_t steps = 0;
    for (auto source = sources.at(host); source; source = sources.at(*source)) {
        if (++steps > sources.size())
            return steps;
    }
    return steps;
}

TEST(ReaderTree, EveryHostReachesAReaderInFewSteps)
{
    const std::map<std::size_t, std::size_t> kMaxSteps {
        { 3, 1 }, { 8, 1 }, { 69, 3 }, { 400, 4 }
    };
    for (const auto &[size, maxSteps] : kMaxSteps) {
        const auto all = sources(size);
        std::size_t readers = 0;
        std::map<HostName, std::size_t> children;
        for (const auto &[host, source] : all) {
            EXPECT_LE(stepsToReader(all, host), maxSteps) << size << " hosts, " << host.str();
            readers += source ? 0 : 1;
            if (source)
                ++children[*source];
        }
        EXPECT_EQ(readers, kReaders);
        for (const auto &[host, count] : children)
            EXPECT_LE(count, ReaderTree::kMaxChildren + 2) << size << " hosts, " << host.str();
    }
}

TEST(ReaderTree, OnlyOneHostOfADataCentreHasASourceOutsideOfIt)
{
    for (const std::size_t size : { 69U, 400U }) {
        std::map<ZoneName, std::size_t> sourcesOutside;
        for (const auto &[host, source] : sources(size)) {
            if (source && zoneOf(host) != zoneOf(*source))
                ++sourcesOutside[zoneOf(host)];
        }
        for (const auto &[zone, count] : sourcesOutside)
            EXPECT_LE(count, 1U) << zone.str() << " of " << size << " hosts";
    }
}

TEST(ReaderTree, MostHostsWithLowCapacityHaveASourceWithHighCapacity)
{
    std::size_t withHighCapacitySource = 0;
    for (const auto &[host, source] : sources(69))
        withHighCapacitySource += source && std::stoul(source->str().substr(5)) < 6 ? 1 : 0;
    EXPECT_GE(withHighCapacitySource, 3 * ReaderTree::kMaxChildren);
}

TEST(ReaderTree, ASingleHostIsAReader)
{
    Membership membership(hostOf(0), Random(1));
    ReaderTree tree(hostOf(0), kReaders);
    tree.update(membership);
    EXPECT_TRUE(tree.isReader());
}

} // namespace
