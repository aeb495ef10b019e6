#include "pimentostage/sibling/Membership.h"
#include "tests/fakes/EventQueue.h"

#include <gtest/gtest.h>

#include <memory>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Runs the memberships of several hosts that probe each other over a network with faults.
class ProbeSimulation
{
public:
    explicit ProbeSimulation(std::size_t hosts)
        : ProbeSimulation(hosts, hosts)
    { }

    /// @param listed number of hosts that the others know at their start.
    ProbeSimulation(std::size_t hosts, std::size_t listed)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            start(i);
        for (std::size_t i = 0; i < hosts; ++i) {
            list(i, listed);
            tick(i);
        }
    }

    void run(Duration duration)
    {
        events_.runUntil(events_.now() + duration, [] {});
    }

    void start(std::size_t index)
    {
        MemberUpdate self;
        self.member_ = Member { name(index), Incarnation { ++lastIncarnation_ } };
        if (hosts_.size() <= index)
            hosts_.resize(index + 1);
        hosts_[index] = std::make_unique<Membership>(self, Random(lastIncarnation_));
        dead_.resize(hosts_.size());
        dead_[index] = false;
    }

    void list(std::size_t index) { list(index, hosts_.size()); }

    void list(std::size_t index, std::size_t listed)
    {
        for (std::size_t i = 0; i < listed; ++i)
            hosts_[index]->addListed(name(i), Address { "127.0.0.1", 1 }, ZoneName("a"));
    }

    void kill(std::size_t index) { dead_[index] = true; }

    /// Drops the messages between the first @p size hosts and the others; 0 ends the partition.
    void split(std::size_t size) { splitSize_ = size; }

    /// Drops the messages between hosts @p a and @p b in both directions.
    void cutPair(std::size_t a, std::size_t b) { cut_ = { a, b }; }

    Membership &operator[](std::size_t index) { return *hosts_[index]; }
    TimePoint now() const { return TimePoint(1h) + events_.now(); }

private:
    static HostName name(std::size_t index) { return HostName("host-" + std::to_string(index)); }
    static std::size_t indexOf(const HostName &host) { return std::stoul(host.str().substr(5)); }

    bool isBlocked(std::size_t a, std::size_t b) const
    {
        const bool isCut
            = (a == cut_.first && b == cut_.second) || (b == cut_.first && a == cut_.second);
        const bool isSplit = splitSize_ > 0 && (a < splitSize_) != (b < splitSize_);
        return dead_[a] || dead_[b] || isCut || isSplit;
    }

    void tick(std::size_t index)
    {
        if (!dead_[index]) {
            for (const OutgoingProbe &outgoing : hosts_[index]->tick(now()))
                probe(index, outgoing);
        }
        events_.after(10ms, [this, index] { tick(index); });
    }

    void probe(std::size_t from, const OutgoingProbe &outgoing)
    {
        const std::size_t via = indexOf(outgoing.via_);
        const std::size_t target = indexOf(outgoing.target_);
        const auto updates = hosts_[from]->updatesToSend(name(target));
        events_.after(1ms, [this, from, via, target, outgoing, updates] {
            if (isBlocked(from, via) || (via != target && isBlocked(via, target)))
                return;
            const bool isNewMember = !hosts_[target]->isInView(updates.front().member_);
            for (const MemberUpdate &update : updates)
                hosts_[target]->merge(update, now());
            const auto reply = isNewMember ? hosts_[target]->updatesForNewMember()
                                           : hosts_[target]->updatesToSend(name(from));
            events_.after(1ms, [this, from, outgoing, reply] {
                for (const MemberUpdate &update : reply)
                    hosts_[from]->merge(update, now());
                hosts_[from]->onAck(outgoing.target_, outgoing.sequence_, now());
            });
        });
    }

    EventQueue events_;
    std::vector<std::unique_ptr<Membership>> hosts_;
    std::vector<bool> dead_;
    std::size_t splitSize_ = 0; ///< hosts on the first side of the partition; 0 if there is none
    std::pair<std::size_t, std::size_t> cut_ { 1000, 1000 };
    std::uint64_t lastIncarnation_ = 0;
};

/// @return the membership of a host that tracks only host-1.
Membership membershipWithOnePeer()
{
    MemberUpdate self;
    self.member_ = Member { HostName("self"), Incarnation { 1 } };
    Membership membership(self, Random(1));
    MemberUpdate other;
    other.member_ = Member { HostName("host-1"), Incarnation { 1 } };
    membership.merge(other, TimePoint(1h));
    return membership;
}

TEST(Membership, AllHostsDiscoverEachOther)
{
    ProbeSimulation simulation(8);
    simulation.run(1s);
    for (std::size_t i = 0; i < 8; ++i)
        EXPECT_EQ(simulation[i].view().size(), 8U);
}

// Start of a large fleet: 195 hosts start at once and know three of them. Half of them did not have
// 175 of the hosts in their views before 20 s; meanwhile roles and readers changed all the time.
TEST(Membership, HostsOfALargeFleetThatStartsAtOnceDiscoverEachOtherWithinSeconds)
{
    constexpr std::size_t kHosts = 195;
    constexpr std::size_t kSeeds = 3;
    ProbeSimulation simulation(kHosts, kSeeds);
    // Traffic starts 10 s after the hosts, which probe each other every 400 ms.
    simulation.run(20 * MembershipTiming {}.probePeriod_);
    std::size_t complete = 0;
    for (std::size_t i = 0; i < kHosts; ++i)
        complete += simulation[i].view().size() == kHosts ? 1 : 0;
    EXPECT_EQ(complete, kHosts);
}

TEST(Membership, RemovesALostHostFromAllViewsWithinTheDetectionTime)
{
    ProbeSimulation simulation(8);
    simulation.run(1s);
    simulation.kill(3);
    // Each host finds out by its own probes or by an update from another host.
    simulation.run(MembershipTiming {}.maxDetectionTime() + 200ms);
    for (std::size_t i = 0; i < 8; ++i) {
        if (i != 3) {
            EXPECT_EQ(simulation[i].view().size(), 7U) << i;
        }
    }
}

TEST(Membership, KeepsBothHostsInTheViewsWhenOnlyTheLinkBetweenThemFails)
{
    ProbeSimulation simulation(6);
    simulation.run(1s);
    simulation.cutPair(1, 2);
    for (int i = 0; i < 40; ++i) {
        simulation.run(100ms);
        ASSERT_EQ(simulation[1].view().size(), 6U);
        ASSERT_EQ(simulation[2].view().size(), 6U);
    }
}

TEST(Membership, ReplacesTheFormerProcessOfARestartedHost)
{
    ProbeSimulation simulation(4);
    simulation.run(1s);
    simulation.kill(2);
    simulation.run(2s);
    simulation.start(2);
    simulation.list(2);
    simulation.run(1s);
    for (std::size_t i = 0; i < 4; ++i) {
        EXPECT_EQ(simulation[i].view().size(), 4U) << i;
        EXPECT_EQ(simulation[i].find(HostName("host-2"))->member_.incarnation_, Incarnation { 5 });
    }
}

TEST(Membership, SendsAConstantNumberOfProbesPerPeriod)
{
    for (const std::size_t hosts : { 4U, 64U }) {
        MemberUpdate self;
        self.member_ = Member { HostName("self"), Incarnation { 1 } };
        Membership membership(self, Random(1));
        for (std::size_t i = 0; i < hosts; ++i) {
            MemberUpdate other;
            other.member_ = Member { HostName("host-" + std::to_string(i)), Incarnation { 1 } };
            membership.merge(other, TimePoint(1h));
        }
        EXPECT_EQ(membership.tick(TimePoint(1h)).size(), MembershipTiming {}.probesPerPeriod_);
        EXPECT_TRUE(membership.tick(TimePoint(1h) + 1ms).empty());
    }
}

TEST(Membership, RefutesThatItIsDead)
{
    MemberUpdate self;
    self.member_ = Member { HostName("self"), Incarnation { 1 } };
    Membership membership(self, Random(1));
    MemberUpdate report = self;
    report.liveness_ = Liveness::Dead;
    membership.merge(report, TimePoint(1h));
    const MemberUpdate sent = membership.updatesToSend(HostName("host-1")).front();
    EXPECT_EQ(sent.liveness_, Liveness::Alive);
    EXPECT_GT(sent.refutation_, report.refutation_);
}

// A host with a tenth of a core stalls while it reads a large configuration, and processes replies
// late. It must not suspect the hosts whose replies are already waiting.
TEST(Membership, DoesNotCountItsOwnPauseTowardsAProbeTimeout)
{
    Membership membership = membershipWithOnePeer();
    const OutgoingProbe probe = membership.tick(TimePoint(1h)).front();
    membership.tick(TimePoint(1h) + 500ms);
    membership.onAck(probe.target_, probe.sequence_, TimePoint(1h) + 501ms);
    EXPECT_EQ(membership.find(HostName("host-1"))->liveness_, Liveness::Alive);
}

TEST(Membership, StillDeclaresASilentHostDeadAfterItsOwnPause)
{
    Membership membership = membershipWithOnePeer();
    for (Duration at = 500ms; at < 1s; at += 10ms)
        membership.tick(TimePoint(1h) + at);
    EXPECT_EQ(membership.find(HostName("host-1"))->liveness_, Liveness::Dead);
}

TEST(Membership, SelectsTheHostsWithHighCapacity)
{
    MemberUpdate self;
    self.member_ = Member { HostName("self"), Incarnation { 1 } };
    self.capacity_ = 100;
    Membership membership(self, Random(1));
    EXPECT_EQ(membership.highCapacityMembers().size(), 1U)
        << "a single host has the largest capacity";
    MemberUpdate large;
    large.member_ = Member { HostName("strong"), Incarnation { 1 } };
    large.capacity_ = 500;
    membership.merge(large, TimePoint(1h));
    EXPECT_EQ(membership.highCapacityMembers(), std::vector<Member> { large.member_ });
    large.liveness_ = Liveness::Dead;
    membership.merge(large, TimePoint(1h));
    EXPECT_EQ(membership.highCapacityMembers(), std::vector<Member> { self.member_ });
}

TEST(Membership, RejoinsBothSidesAfterALongNetworkPartition)
{
    ProbeSimulation simulation(4);
    simulation.run(2s);
    simulation.split(2);
    simulation.run(20s);
    ASSERT_EQ(simulation[0].view().size(), 2U);
    ASSERT_EQ(simulation[3].view().size(), 2U);
    simulation.split(0);
    simulation.run(2s);
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_EQ(simulation[i].view().size(), 4U) << i;
}

} // namespace
