#include "pimentostage/backend/RoutingTable.h"

#include <gtest/gtest.h>

#include <set>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

class BackendSelectorTest : public testing::Test
{
protected:
    BackendSelectorTest()
    {
        Service service;
        service.name_ = ServiceName("plain");
        configuration_.services_[service.name_] = service;
        for (int i = 0; i < 4; ++i) {
            Backend backend;
            backend.name_ = BackendName("worker-" + std::to_string(i));
            backend.service_ = service.name_;
            backend.zone_ = ZoneName(i < 2 ? "a" : "b");
            backend.slots_ = 6;
            backend.connections_ = 40;
            configuration_.backends_[backend.name_] = backend;
        }
        fleet_.entryHosts_ = 4;
        rebuild();
    }

    void rebuild() { table_ = builder_.build(configuration_, fleet_, now_); }

    const ServiceRoutes &routes() const { return table_->services_.at("plain"); }

    BackendStats &stats(int worker) const
    {
        return *routes().find(BackendName("worker-" + std::to_string(worker)))->stats_;
    }

    std::string pick(const std::vector<BackendName> &tried = {})
    {
        const BackendChoice choice
            = BackendSelector::select(routes(), { "", {} }, tried, random_, now_);
        return choice.candidate_ ? choice.candidate_->backend_.name_.str() : "";
    }

    Configuration configuration_;
    FleetState fleet_;
    RoutingTableBuilder builder_;
    std::shared_ptr<const RoutingTable> table_;
    Random random_ { 1 };
    TimePoint now_ { 1h };
};

TEST_F(BackendSelectorTest, DividesABackEndsConnectionsAmongEntryHosts)
{
    for (int i = 0; i < 40; ++i)
        EXPECT_NE(pick(), "");
    EXPECT_EQ(pick(), "") << "10 of 40 connections for each of 4 back ends";
}

TEST_F(BackendSelectorTest, AvoidsBackEndsUsedByEarlierAttempts)
{
    std::vector<BackendName> tried;
    std::set<std::string> seen;
    for (int i = 0; i < 4; ++i) {
        const std::string picked = pick(tried);
        seen.insert(picked);
        tried.emplace_back(picked);
    }
    EXPECT_EQ(seen.size(), 4U);
    EXPECT_EQ(pick(tried), "");
}

TEST_F(BackendSelectorTest, SendsNothingToDataCentresOutOfServiceOrLeavingHosts)
{
    configuration_.zones_[ZoneName("a")] = Zone { ZoneName("a"), ZoneState::Out, {} };
    fleet_.leavingHosts_ = { "worker-2" };
    rebuild();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(pick(), "worker-3");
}

// Guards against requests to a version of the service that is neither in force nor allowed by a
// roll-out.
TEST_F(BackendSelectorTest, RolloutSendsNothingToWithheldBackEnds)
{
    fleet_.withheldBackends_ = { "worker-0", "worker-1", "worker-3" };
    rebuild();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(pick(), "worker-2");
    fleet_.withheldBackends_.insert("worker-2");
    rebuild();
    EXPECT_EQ(pick(), "");
}

/// A service whose worker-2 and worker-3 run the version that is rolled out.
class RolloutSelectorTest : public BackendSelectorTest
{
protected:
    RolloutSelectorTest()
    {
        for (auto &[name, backend] : configuration_.backends_)
            backend.version_ = backend.zone_ == ZoneName("a") ? "v1" : "v2";
        fleet_.rollouts_[ServiceName("plain")] = traffic_;
        rebuild();
    }

    void lend(std::uint64_t limit, bool isCurrentAllowed = true)
    {
        const ExposureLease lease { process_,       Epoch { 1 },   ++sequence_,     limit,
                                    kExposureLease, kCurrentLease, isCurrentAllowed };
        traffic_->budget().apply(lease, now_);
    }

    /// @return how many of @p count requests go to the target.
    int countTarget(int count, const std::vector<BackendName> &tried = {})
    {
        int atTarget = 0;
        for (int i = 0; i < count; ++i) {
            const std::string picked = pick(tried);
            if (picked.empty())
                continue;
            atTarget += picked >= "worker-2" ? 1 : 0;
            routes().find(BackendName(picked))->stats_->end();
        }
        return atTarget;
    }

    const Incarnation process_ { 7 };
    std::uint64_t sequence_ = 0; ///< of the last lease
    std::shared_ptr<RolloutTraffic> traffic_ = std::make_shared<RolloutTraffic>("v2", process_);
};

// Guards against a host that sends to the new version on its own authority.
TEST_F(RolloutSelectorTest, SendsToTheTargetOnlyWhatWasLent)
{
    EXPECT_EQ(countTarget(50), 0);
    lend(5);
    EXPECT_EQ(countTarget(50), 5);
    lend(8);
    EXPECT_EQ(countTarget(50), 3) << "limits are cumulative";
    lend(100);
    now_ += kExposureLease;
    EXPECT_EQ(countTarget(50), 0) << "the lease has run out";
}

// Guards against a repeated request that meets the new version twice.
TEST_F(RolloutSelectorTest, SendsARepeatedRequestToTheVersionInForce)
{
    lend(100);
    EXPECT_EQ(countTarget(20, { BackendName("worker-2") }), 0);
}

// Guards against a lease that is used up by requests for which the target has no back end.
TEST_F(RolloutSelectorTest, TakesNothingOfTheLeaseWithoutABackEndOfTheTarget)
{
    fleet_.leavingHosts_ = { "worker-2", "worker-3" };
    rebuild();
    lend(5);
    EXPECT_EQ(countTarget(20), 0);
    EXPECT_EQ(traffic_->budget().report(Epoch { 1 }).used_, 0U);
}

// Guards against requests to back ends that stop as soon as the roll-out is complete.
TEST_F(RolloutSelectorTest, SendsAllToTheTargetOnceTheFormerVersionIsForbidden)
{
    lend(1'000, false);
    EXPECT_EQ(countTarget(50), 50);
    EXPECT_EQ(countTarget(20, { BackendName("worker-2") }), 20);
    now_ += kCurrentLease;
    EXPECT_EQ(pick(), "") << "a host out of touch uses neither version";
}

TEST_F(BackendSelectorTest, KeepsObservationsAcrossRebuilds)
{
    stats(1).onAnswer(5ms, now_);
    rebuild();
    EXPECT_EQ(stats(1).latency(), 5ms);
}

TEST_F(BackendSelectorTest, EjectsFailingBackEndsUnlessTooManyFail)
{
    for (int i = 0; i < 3; ++i)
        stats(0).onFailure(now_);
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(pick(), "worker-0");
    for (int worker = 1; worker < 3; ++worker) {
        for (int i = 0; i < 3; ++i)
            stats(worker).onFailure(now_);
    }
    std::set<std::string> seen;
    for (int i = 0; i < 15; ++i)
        seen.insert(pick());
    EXPECT_GT(seen.size(), 1U) << "ejections are ignored when three of four back ends are ejected";
}

TEST_F(BackendSelectorTest, SendsNothingToColdBackEndsWarmedUpByAnotherHost)
{
    stats(0).warmup().start(false, 6, now_);
    stats(1).warmup().start(true, 6, now_);
    std::multiset<std::string> seen;
    for (int i = 0; i < 21; ++i)
        seen.insert(pick());
    EXPECT_EQ(seen.count("worker-0"), 0U);
    EXPECT_EQ(seen.count("worker-1"), 1U);
    EXPECT_EQ(seen.count("worker-2"), 10U);
    EXPECT_EQ(seen.count("worker-3"), 10U);
    EXPECT_EQ(pick(), "") << "cold back ends are not used when the warm ones are full";
}

TEST_F(BackendSelectorTest, RampsUpTheShareOfAReturningDataCentre)
{
    configuration_.zones_[ZoneName("a")] = Zone { ZoneName("a"), ZoneState::In, 10s };
    fleet_.zoneReturnedAt_[ZoneName("a")] = now_;
    rebuild();
    const auto shareOf
        = [&](const char *worker) { return routes().find(BackendName(worker))->share(now_ + 5s); };
    EXPECT_NEAR(shareOf("worker-0"), 0.5, 0.01);
    EXPECT_EQ(shareOf("worker-2"), 1);
}

TEST_F(BackendSelectorTest, OwnerWithoutNewWorkServesOnlyDuringHandover)
{
    Service &service = configuration_.services_.begin()->second;
    service.keyed_ = true;
    auto placement = std::make_shared<Placement>();
    placement->shards_.resize(1, ShardOwner { BackendName("worker-2"), Epoch { 4 } });
    configuration_.placements_[service.name_] = placement;
    fleet_.leavingHosts_ = { "worker-2" };
    rebuild();
    const auto owner = [&] {
        return BackendSelector::select(routes(), { "k", {} }, {}, random_, now_).candidate_;
    };
    EXPECT_NE(owner(), nullptr);
    now_ += 3s;
    rebuild();
    EXPECT_EQ(owner(), nullptr) << "the handover time is over";
    fleet_.leavingHosts_.clear();
    rebuild();
    EXPECT_NE(owner(), nullptr);
    // The handover time does not restart on a host that starts later.
    fleet_.leavingHosts_ = { "worker-2" };
    builder_ = RoutingTableBuilder();
    rebuild();
    EXPECT_EQ(owner(), nullptr);
}

// Guards against new back ends receiving no requests: in a grown deployment with 87 back ends of
// one service, warm and faster ones always had free slots, so a new one was never chosen.
TEST_F(BackendSelectorTest, TriesANewBackEndWhileFasterOnesAreFree)
{
    configuration_.services_.at(ServiceName("plain")).balancing_ = Balancing::ExpectedTime;
    fleet_.zone_ = ZoneName("a");
    rebuild();
    LoadReport fast;
    fast.pace_ = 0.7;
    for (int worker = 0; worker < 4; ++worker) {
        stats(worker).onLoadReport(fast, now_);
        stats(worker).onAnswer(100ms, now_);
    }
    Backend joined = configuration_.backends_.at(BackendName("worker-0"));
    joined.name_ = BackendName("worker-new");
    configuration_.backends_[joined.name_] = joined;
    rebuild();
    EXPECT_EQ(pick(), "worker-new");
    EXPECT_NE(pick(), "worker-new") << "only one request until it has answered";
}

// Guards against requests that each cost an attempt: the entry of a back end that had ended
// remained for 2 s, and the one that had started at its address rejected what was sent to the
// former one. That one had no load, so that it was preferred (natalina-serra-grown, back ends that
// return within 0.6 s).
TEST_F(BackendSelectorTest, SendsNothingToABackEndReplacedAtItsAddress)
{
    Backend &former = configuration_.backends_.at(BackendName("worker-0"));
    former.address_ = Address { "10.0.0.1", 80 };
    former.incarnation_ = Incarnation { 100 };
    Backend next = former;
    next.name_ = BackendName("worker-next");
    next.incarnation_ = Incarnation { 200 };
    configuration_.backends_[next.name_] = next;
    rebuild();
    std::multiset<std::string> seen;
    for (int i = 0; i < 20; ++i)
        seen.insert(pick());
    EXPECT_EQ(seen.count("worker-0"), 0U);
    EXPECT_GT(seen.count("worker-next"), 0U);
}

TEST_F(BackendSelectorTest, ABackEndIsReplacedOnlyByAKnownLaterOne)
{
    Backend &current = configuration_.backends_.at(BackendName("worker-0"));
    current.address_ = Address { "10.0.0.1", 80 };
    current.incarnation_ = Incarnation { 100 };
    Backend other = current;
    const auto isStillUsed = [&] {
        configuration_.backends_[other.name_] = other;
        rebuild();
        return routes().find(BackendName("worker-0"))->takesNewWork_;
    };
    other.name_ = BackendName("earlier");
    other.incarnation_ = Incarnation { 99 };
    EXPECT_TRUE(isStillUsed());
    other.name_ = BackendName("as-early");
    other.incarnation_ = Incarnation { 100 };
    EXPECT_TRUE(isStillUsed());
    other.name_ = BackendName("start-not-reported");
    other.incarnation_ = {};
    EXPECT_TRUE(isStillUsed());
    other.name_ = BackendName("elsewhere");
    other.incarnation_ = Incarnation { 200 };
    other.address_ = Address { "10.0.0.1", 81 };
    EXPECT_TRUE(isStillUsed());
    other.name_ = BackendName("of-no-service");
    other.address_ = current.address_;
    other.service_ = ServiceName("unknown");
    EXPECT_TRUE(isStillUsed());
}

TEST_F(BackendSelectorTest, ARestartedProcessStartsWithoutObservations)
{
    Backend &backend = configuration_.backends_.at(BackendName("worker-0"));
    backend.incarnation_ = Incarnation { 100 };
    rebuild();
    stats(0).onAnswer(5ms, now_);
    stats(0).warmup().start(false, 6, now_);
    backend.incarnation_ = Incarnation { 200 };
    rebuild();
    EXPECT_EQ(stats(0).latency(), Duration::zero());
    EXPECT_FALSE(stats(0).warmup().isCold());
}

// Guards against a cold back end that gets all of its traffic: the store applied a write of the
// former process late, and its entry, which was of a warm process, ended the cold start.
TEST_F(BackendSelectorTest, ALateEntryOfTheFormerProcessDoesNotEndAColdStart)
{
    configuration_.services_.begin()->second.coldRate_ = 4;
    Backend &backend = configuration_.backends_.at(BackendName("worker-0"));
    backend.incarnation_ = Incarnation { 200 };
    backend.coldFor_ = 3s;
    rebuild();
    while (stats(0).coldStart().tryAcquire(now_)) { }
    backend.incarnation_ = Incarnation { 100 };
    backend.coldFor_ = {};
    rebuild();
    EXPECT_FALSE(stats(0).coldStart().hasCapacity(now_));
    backend.coldFor_ = 500ms;
    rebuild();
    EXPECT_TRUE(stats(0).coldStart().isCold(now_ + 2s));
    backend.incarnation_ = Incarnation { 200 };
    backend.coldFor_ = 2900ms;
    rebuild();
    EXPECT_FALSE(stats(0).coldStart().hasCapacity(now_)) << "it is still the same cold start";
}

// The clock of a back end may have been set back before it was restarted.
TEST_F(BackendSelectorTest, AColdProcessWithAnEarlierStartIsCold)
{
    configuration_.services_.begin()->second.coldRate_ = 4;
    Backend &backend = configuration_.backends_.at(BackendName("worker-0"));
    backend.incarnation_ = Incarnation { 200 };
    backend.coldFor_ = 3s;
    rebuild();
    now_ += 10s;
    ASSERT_FALSE(stats(0).coldStart().isCold(now_));
    backend.incarnation_ = Incarnation { 100 };
    rebuild();
    EXPECT_TRUE(stats(0).coldStart().isCold(now_ + 2900ms));
    now_ += 10s;
    rebuild();
    EXPECT_FALSE(stats(0).coldStart().isCold(now_)) << "the same entry";
}

// Guards against cold back ends of the target that get requests beyond their warm-up because this
// host has no permission to warm any of them up, while the version in force can serve them.
TEST_F(RolloutSelectorTest, ColdBackEndsOfTheTargetAreNoFallbackForTheVersionInForce)
{
    stats(2).warmup().start(false, 6, now_);
    stats(3).warmup().start(false, 6, now_);
    lend(100);
    EXPECT_EQ(countTarget(20), 0);
    lend(ExposureLease::kUnlimited, false);
    EXPECT_EQ(countTarget(20), 20) << "this host may use no other version";
}

} // namespace
