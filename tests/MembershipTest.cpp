#include "pimentostage/sibling/Membership.h"
#include "tests/fakes/EventQueue.h"

#include <gtest/gtest.h>

#include <memory>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Memberships of several hosts that probe each other over a network with dead hosts.
class ProbeWorld
{
public:
    explicit ProbeWorld(std::size_t hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            start(i);
        for (std::size_t i = 0; i < hosts; ++i) {
            list(i);
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

    void list(std::size_t index)
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i)
            hosts_[index]->addListed(name(i), Address { "127.0.0.1", 1 }, ZoneName("a"));
    }

    void kill(std::size_t index) { dead_[index] = true; }

    /// Messages between the first @p size hosts and the others get lost; 0 ends it.
    void split(std::size_t size) { split_ = size; }

    /// Messages between the two get lost, both ways.
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
        const bool isSplit = split_ > 0 && (a < split_) != (b < split_);
        return dead_[a] || dead_[b] || isCut || isSplit;
    }

    void tick(std::size_t index)
    {
        if (!dead_[index]) {
            for (const ProbeOrder &order : hosts_[index]->tick(now()))
                probe(index, order);
        }
        events_.after(10ms, [this, index] { tick(index); });
    }

    void probe(std::size_t from, const ProbeOrder &order)
    {
        const std::size_t via = indexOf(order.via_);
        const std::size_t target = indexOf(order.target_);
        const auto updates = hosts_[from]->updatesToPassOn(name(target));
        events_.after(1ms, [this, from, via, target, order, updates] {
            if (isBlocked(from, via) || (via != target && isBlocked(via, target)))
                return;
            for (const MemberUpdate &update : updates)
                hosts_[target]->merge(update, now());
            const auto answer = hosts_[target]->updatesToPassOn(name(from));
            events_.after(1ms, [this, from, order, answer] {
                for (const MemberUpdate &update : answer)
                    hosts_[from]->merge(update, now());
                hosts_[from]->onAck(order.target_, order.sequence_, now());
            });
        });
    }

    EventQueue events_;
    std::vector<std::unique_ptr<Membership>> hosts_;
    std::vector<bool> dead_;
    std::size_t split_ = 0; ///< hosts on the one side of a cut
    std::pair<std::size_t, std::size_t> cut_ { 1000, 1000 };
    std::uint64_t lastIncarnation_ = 0;
};

/// @return the membership of a host that knows host-1.
Membership knowingOneOther()
{
    MemberUpdate self;
    self.member_ = Member { HostName("self"), Incarnation { 1 } };
    Membership membership(self, Random(1));
    MemberUpdate other;
    other.member_ = Member { HostName("host-1"), Incarnation { 1 } };
    membership.merge(other, TimePoint(1h));
    return membership;
}

TEST(Membership, AllHostsFindEachOther)
{
    ProbeWorld world(8);
    world.run(1s);
    for (std::size_t i = 0; i < 8; ++i)
        EXPECT_EQ(world[i].view().size(), 8U);
}

TEST(Membership, ALostHostLeavesAllViewsWithinTheDetectionTime)
{
    ProbeWorld world(8);
    world.run(1s);
    world.kill(3);
    // Every host notices by itself or by the others' updates.
    world.run(MembershipTiming {}.detection() + 200ms);
    for (std::size_t i = 0; i < 8; ++i) {
        if (i != 3) {
            EXPECT_EQ(world[i].view().size(), 7U) << i;
        }
    }
}

TEST(Membership, ACutBetweenTwoHostsAloneSuspectsNobodyForLong)
{
    ProbeWorld world(6);
    world.run(1s);
    world.cutPair(1, 2);
    for (int i = 0; i < 40; ++i) {
        world.run(100ms);
        ASSERT_EQ(world[1].view().size(), 6U);
        ASSERT_EQ(world[2].view().size(), 6U);
    }
}

TEST(Membership, ARestartedHostReplacesItsFormerProcess)
{
    ProbeWorld world(4);
    world.run(1s);
    world.kill(2);
    world.run(2s);
    world.start(2);
    world.list(2);
    world.run(1s);
    for (std::size_t i = 0; i < 4; ++i) {
        EXPECT_EQ(world[i].view().size(), 4U) << i;
        EXPECT_EQ(world[i].find(HostName("host-2"))->member_.incarnation_, Incarnation { 5 });
    }
}

TEST(Membership, SendsAConstantNumberOfProbes)
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

TEST(Membership, DeniesThatItIsDead)
{
    MemberUpdate self;
    self.member_ = Member { HostName("self"), Incarnation { 1 } };
    Membership membership(self, Random(1));
    MemberUpdate rumour = self;
    rumour.liveness_ = Liveness::Dead;
    membership.merge(rumour, TimePoint(1h));
    const MemberUpdate told = membership.updatesToPassOn(HostName("host-1")).front();
    EXPECT_EQ(told.liveness_, Liveness::Alive);
    EXPECT_GT(told.refutation_, rumour.refutation_);
}

// Pattern: a host on a tenth of a core reads a large configuration and looks at its answers late.
TEST(Membership, DoesNotSuspectAnotherForItsOwnPause)
{
    Membership membership = knowingOneOther();
    const ProbeOrder probe = membership.tick(TimePoint(1h)).front();
    membership.tick(TimePoint(1h) + 500ms);
    membership.onAck(probe.target_, probe.sequence_, TimePoint(1h) + 501ms);
    EXPECT_EQ(membership.find(HostName("host-1"))->liveness_, Liveness::Alive);
}

TEST(Membership, StillSuspectsAHostThatIsSilentAfterItsOwnPause)
{
    Membership membership = knowingOneOther();
    for (Duration at = 500ms; at < 1s; at += 10ms)
        membership.tick(TimePoint(1h) + at);
    EXPECT_EQ(membership.find(HostName("host-1"))->liveness_, Liveness::Dead);
}

TEST(Membership, TellsWhichHostsAreStrong)
{
    MemberUpdate self;
    self.member_ = Member { HostName("self"), Incarnation { 1 } };
    self.capacity_ = 100;
    Membership membership(self, Random(1));
    EXPECT_EQ(membership.strongest().size(), 1U) << "alone it is the strongest";
    MemberUpdate strong;
    strong.member_ = Member { HostName("strong"), Incarnation { 1 } };
    strong.capacity_ = 500;
    membership.merge(strong, TimePoint(1h));
    EXPECT_EQ(membership.strongest(), std::vector<Member> { strong.member_ });
    strong.liveness_ = Liveness::Dead;
    membership.merge(strong, TimePoint(1h));
    EXPECT_EQ(membership.strongest(), std::vector<Member> { self.member_ });
}

TEST(Membership, TheSidesOfALongCutFindEachOtherAfterIt)
{
    ProbeWorld world(4);
    world.run(2s);
    world.split(2);
    world.run(20s);
    ASSERT_EQ(world[0].view().size(), 2U);
    ASSERT_EQ(world[3].view().size(), 2U);
    world.split(0);
    world.run(2s);
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_EQ(world[i].view().size(), 4U) << i;
}

} // namespace
