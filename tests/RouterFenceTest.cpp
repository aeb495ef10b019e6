#include "pimentostage/backend/RouterFence.h"
#include "pimentostage/backend/RoutingFence.h"
#include "pimentostage/backend/RoutingTable.h"
#include "tests/fakes/CoordinatorWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <tuple>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kShards = 8;
constexpr Duration kRouteTimeout = 500ms;

Service lots()
{
    Service service;
    service.name_ = ServiceName("lots");
    service.keyed_ = true;
    service.shardCount_ = kShards;
    service.fencing_ = Fencing::Unchecked;
    Route route;
    route.timeout_ = kRouteTimeout;
    service.routes_.push_back(route);
    return service;
}

/// Servers that run whatever comes to them, and routers that hold the leases.
class RouterWorld : public CoordinatorWorld
{
public:
    RouterWorld(std::size_t routers, std::size_t servers)
        : CoordinatorWorld(lots())
    {
        for (std::size_t i = 0; i < servers; ++i) {
            servers_.push_back(Server { BackendName("worker-" + std::to_string(i)) });
            setBackend(servers_.back().name_, CoordinatedBackend {});
        }
        routers_.resize(routers);
        for (std::size_t i = 0; i < routers; ++i)
            restartRouter(i);
        begin();
    }

    void pauseServer(std::size_t index, bool paused) { servers_[index].paused_ = paused; }
    void pauseRouter(std::size_t index, bool paused) { routers_[index]->paused_ = paused; }
    /// A cut router is off the coordinator's view, and alive.
    void cutRouter(std::size_t index, bool isCut)
    {
        routers_[index]->isCut_ = isCut;
        tellRouters();
    }

    /// Starts a router's process anew; what its former process sent goes on at the servers.
    void restartRouter(std::size_t index)
    {
        ++lastIncarnation_;
        auto router = std::make_shared<Router>();
        router->member_ = Member { HostName("entry-" + std::to_string(index)),
                                   Incarnation { lastIncarnation_ } };
        const std::int64_t kDrift = index % 2 == 0 ? -400 : 400;
        router->clock_ = DriftingClock(std::chrono::seconds(9000 + 13 * lastIncarnation_), kDrift);
        router->fence_ = std::make_unique<RoutingFence>(router->member_.incarnation_);
        if (routers_[index])
            routers_[index]->isDead_ = true;
        routers_[index] = router;
        tellRouters();
    }

    void killRouter(std::size_t index)
    {
        routers_[index]->isDead_ = true;
        tellRouters();
    }

    void setTakesNewWork(std::size_t server, bool takes)
    {
        CoordinatorWorld::setTakesNewWork(servers_[server].name_, takes);
    }

    /// A request comes to a router that knows a placement of any age.
    void request(std::size_t number, Duration length)
    {
        if (history_.empty())
            return;
        const auto router = routers_[number % routers_.size()];
        if (router->isDead_ || router->paused_)
            return;
        auto work = std::make_shared<Work>();
        work->key_ = keys_[number % keys_.size()];
        work->naming_ = namingOf(history_[(number / 3) % history_.size()], work->key_);
        work->length_ = length;
        work->begunAt_ = timeOf(*router);
        work->router_ = router;
        if (!router->fence_->tryBegin(work->naming_.unit_, work->naming_.epoch_, work->begunAt_))
            return;
        const Duration connecting = std::chrono::milliseconds(number % 70);
        events_.after(connecting, [this, work] { sendFirstByte(work); });
    }

    /// Requests for all keys come to all routers at once.
    void requestMany(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
            request(number, 400ms);
    }

    /// @return whether the router would send a request routed by the newest placement.
    bool mayRoute(std::size_t router, const std::string &key)
    {
        const Naming naming = namingOf(history_.back(), key);
        return !naming.backend_.isEmpty() && maySend(*routers_[router], naming);
    }

    bool isServed(const std::string &key) override
    {
        if (history_.empty())
            return false;
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            if (isRunning(*routers_[i]) && !mayRoute(i, key))
                return false;
        }
        const Server *server = find(ownerOfKey(key));
        return server && !server->paused_;
    }

    std::size_t accepted_ = 0; ///< requests that reached a server

private:
    struct Router
    {
        Member member_;
        DriftingClock clock_ { Duration::zero(), 0 };
        std::unique_ptr<RoutingFence> fence_;
        bool paused_ = false;
        bool isCut_ = false;
        bool isDead_ = false;
    };
    struct Server
    {
        BackendName name_;
        bool paused_ = false;
    };
    struct Work
    {
        std::string key_;
        Naming naming_;
        Duration length_ {};
        TimePoint begunAt_; ///< on its router's clock
        std::shared_ptr<Router> router_;
        Duration runsUntil_ {}; ///< at the server, true time
        bool isSent_ = false;
    };

    static bool isRunning(const Router &router) { return !router.isDead_ && !router.paused_; }

    TimePoint timeOf(const Router &router) const { return router.clock_.at(events_.now()); }

    bool maySend(const Router &router, const Naming &naming) const
    {
        const TimePoint time = timeOf(router);
        return isRunning(router) && router.fence_->maySend(naming.unit_, naming.epoch_, time, time);
    }

    Server *find(const BackendName &name)
    {
        for (Server &server : servers_) {
            if (server.name_ == name)
                return &server;
        }
        return nullptr;
    }

    void tellRouters()
    {
        std::set<Member> view;
        for (const auto &router : routers_) {
            if (router && !router->isDead_ && !router->isCut_)
                view.insert(router->member_);
        }
        setRouters(view);
    }

    // A process that was stopped goes on where it was.
    void sendFirstByte(const std::shared_ptr<Work> &work)
    {
        Router &router = *work->router_;
        if (router.isDead_)
            return;
        if (router.paused_) {
            events_.after(25ms, [this, work] { sendFirstByte(work); });
            return;
        }
        const TimePoint now = timeOf(router);
        if (!router.fence_->maySend(work->naming_.unit_, work->naming_.epoch_, work->begunAt_,
                                    now)) {
            router.fence_->end(work->naming_.unit_, now, now);
            return;
        }
        work->isSent_ = true;
        ++accepted_;
        // The server counts the request's time from its arrival.
        const Duration arrival = events_.now() + kMostTransit - kMostSendDelay;
        work->runsUntil_ = arrival + std::min(work->length_, kRouteTimeout);
        work_.push_back(work);
        events_.after(kRouteTimeout, [this, work] { finishAtRouter(work); });
    }

    void finishAtRouter(const std::shared_ptr<Work> &work)
    {
        Router &router = *work->router_;
        if (router.paused_) {
            events_.after(25ms, [this, work] { finishAtRouter(work); });
            return;
        }
        const TimePoint now = timeOf(router);
        const bool isAnswered = events_.now() >= work->runsUntil_;
        router.fence_->end(work->naming_.unit_,
                           mayRunUntil(isAnswered ? AttemptState::Answered : AttemptState::Sent,
                                       work->begunAt_ + kRouteTimeout, now),
                           now);
    }

    void tick() override
    {
        std::erase_if(work_, [&](const auto &work) { return work->runsUntil_ <= events_.now(); });
    }

    /// The oracle: requests for one key neither run nor may be sent to two servers at once.
    void check() override
    {
        for (const std::string &key : keys_) {
            std::set<BackendName> owners;
            for (const auto &work : work_) {
                const Server *server = find(work->naming_.backend_);
                const bool isRun = !server->paused_ && events_.now() < work->runsUntil_;
                if (isRun && work->key_ == key)
                    owners.insert(server->name_);
            }
            for (const auto &router : routers_)
                addOwners(*router, key, owners);
            mostOwners_ = std::max(mostOwners_, owners.size());
        }
    }

    void addOwners(const Router &router, const std::string &key, std::set<BackendName> &owners)
    {
        for (const Naming &naming : namings(key)) {
            if (maySend(router, naming))
                owners.insert(naming.backend_);
        }
    }

    void transmit(const SendRouterGrant &grant) override
    {
        send([this, grant, coordinator = coordinator()] { deliver(coordinator, grant); });
    }

    void deliver(ShardCoordinator *coordinator, const SendRouterGrant &grant)
    {
        for (const auto &router : routers_) {
            // A message goes to a host, whichever process runs there now.
            if (router->member_.host_ == grant.router_.host_)
                deliverTo(coordinator, router, grant);
        }
    }

    void deliverTo(ShardCoordinator *coordinator, const std::shared_ptr<Router> &router,
                   const SendRouterGrant &grant)
    {
        if (router->isDead_ || router->isCut_)
            return;
        if (router->paused_) {
            events_.after(25ms, [this, coordinator, router, grant] {
                deliverTo(coordinator, router, grant);
            });
            return;
        }
        const GrantReply answer = router->fence_->apply(grant.grant_, timeOf(*router));
        reply(coordinator, [this, router, answer](ShardCoordinator &present) {
            if (!router->isCut_)
                present.onRouterReply(router->member_, answer, now());
        });
    }

    void transmit(const ProbeBackend &probe) override
    {
        send([this, probe, coordinator = coordinator()] {
            const Server *server = find(probe.backend_);
            if (server && !server->paused_)
                reply(coordinator, [this, probe](ShardCoordinator &present) {
                    present.onProbeReply(probe.backend_, now());
                });
        });
    }

    std::vector<Server> servers_;
    std::vector<std::shared_ptr<Router>> routers_;
    std::vector<std::shared_ptr<Work>> work_; ///< sent and perhaps running
    std::uint64_t lastIncarnation_ = 0;
};

/// Time from the loss of a server to its units' next service.
constexpr Duration kServerRecovery = kProbeSilence + kRouteTimeout + kMostTransit + 200ms;

TEST(RouterFence, LetsEveryRouterRouteEveryKey)
{
    RouterWorld world(3, 3);
    world.run(500ms);
    EXPECT_TRUE(world.areAllServed());
    EXPECT_EQ(world.mostOwners_, 1U);
}

TEST(RouterFence, MovesTheUnitsOfALeavingServerOnceTheRoutersAgree)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.setTakesNewWork(0, false);
    world.run(150ms);
    EXPECT_TRUE(world.areAllServed());
    for (const std::string &key : world.keys_)
        EXPECT_NE(world.ownerOfKey(key), BackendName("worker-0"));
    EXPECT_EQ(world.mostOwners_, 1U);
}

TEST(RouterFence, WaitsForRequestsThatStillRunAtTheFormerOwner)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.requestMany(1000);
    world.setTakesNewWork(0, false);
    world.run(1s);
    EXPECT_GT(world.accepted_, 100U);
    EXPECT_EQ(world.mostOwners_, 1U);
    EXPECT_TRUE(world.areAllServed());
}

TEST(RouterFence, ServesTheKeysOfAFrozenServerAgainAfterItsRequestsMustHaveEnded)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.requestMany(400);
    world.pauseServer(1, true);
    world.run(kServerRecovery);
    EXPECT_TRUE(world.areAllServed());
    world.pauseServer(1, false);
    world.run(1s);
    EXPECT_EQ(world.mostOwners_, 1U);
}

TEST(RouterFence, WaitsForTheLeaseAndTheRequestsOfARouterOutOfReach)
{
    for (const bool isRestarted : { false, true }) {
        RouterWorld world(3, 3);
        world.run(1s);
        world.cutRouter(0, true);
        world.requestMany(400);
        world.run(70ms);
        if (isRestarted)
            world.restartRouter(0);
        world.setTakesNewWork(0, false);
        world.run(kServerLease - 300ms);
        EXPECT_EQ(world.mostOwners_, 1U);
        world.run(kRouteTimeout + kMostTransit + 600ms);
        for (const std::string &key : world.keys_)
            EXPECT_NE(world.ownerOfKey(key), BackendName("worker-0"));
        EXPECT_EQ(world.mostOwners_, 1U);
    }
}

TEST(RouterFence, ARouterOutOfReachSendsNothingOnceItsLeaseHasLapsed)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.cutRouter(0, true);
    world.run(kServerLease + 10ms);
    for (const std::string &key : world.keys_)
        EXPECT_FALSE(world.mayRoute(0, key));
}

TEST(RouterFence, APausedRouterSendsNothingAfterItsPause)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.requestMany(400);
    world.pauseRouter(0, true);
    world.run(300ms);
    world.setTakesNewWork(0, false);
    world.run(kServerLease + kRouteTimeout + kMostTransit + 400ms);
    world.pauseRouter(0, false);
    world.run(300ms);
    EXPECT_EQ(world.mostOwners_, 1U);
    EXPECT_TRUE(world.areAllServed());
}

TEST(RouterFence, KeepsServingThroughTheLossOfACoordinator)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.changeCoordinator();
    for (int i = 0; i < 100; ++i) {
        world.run(20ms);
        ASSERT_TRUE(world.areAllServed()) << i;
    }
    EXPECT_EQ(world.mostOwners_, 1U);
}

TEST(RouterFence, ASuccessorWaitsForRoutersThatOnlyItsPredecessorSaw)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.cutRouter(0, true);
    world.changeCoordinator();
    world.requestMany(400);
    world.setTakesNewWork(0, false);
    world.run(4s);
    EXPECT_EQ(world.mostOwners_, 1U);
    for (const std::string &key : world.keys_)
        EXPECT_NE(world.ownerOfKey(key), BackendName("worker-0"));
}

TEST(RouterFence, ForgetsARouterThatIsSurelyGone)
{
    RouterWorld world(3, 3);
    world.run(1s);
    ASSERT_EQ(world.history_.back().routers_.size(), 3U);
    world.killRouter(2);
    world.run(kServerLease + kRouteTimeout + kMostTransit + 300ms);
    EXPECT_EQ(world.history_.back().routers_.size(), 2U);
}

TEST(RouterFence, KeepsServingWhileTheStoreIsDown)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.store_.faults_.down_ = true;
    world.run(60s);
    EXPECT_TRUE(world.areAllServed());
}

TEST(RouterFence, MovesAHotKeyApartFromItsShardAndBack)
{
    RouterWorld world(3, 3);
    world.run(1s);
    world.setHotKeys({ "key-3" });
    world.run(300ms);
    ASSERT_EQ(world.history_.back().hotKeys_.size(), 1U);
    EXPECT_TRUE(world.areAllServed());
    world.setHotKeys({});
    world.run(300ms);
    EXPECT_TRUE(world.history_.back().hotKeys_.empty());
    EXPECT_EQ(world.mostOwners_, 1U);
}

/// Grants a fence the units of a placement, as a coordinator does.
void grantUnits(RoutingFence &fence, const GrantedUnits &units, TimePoint now)
{
    Grant grant;
    grant.roleEpoch_ = Epoch { 1 };
    const GrantReply first = fence.apply(grant, now);
    grant.stamp_ = first.stamp_;
    grant.sequence_ = first.sequence_ + 1;
    grant.lease_ = kServerLease;
    grant.units_ = units;
    grant.unitsDigest_ = digestOf(units);
    ASSERT_EQ(fence.apply(grant, now).result_, GrantResult::Accepted);
}

TEST(RoutingFence, SendsNothingTooLateForItsDeadline)
{
    const TimePoint now(1h);
    const UnitName unit("s1");
    RoutingFence fence(Incarnation { 7 });
    grantUnits(fence, { { unit, Epoch { 4 } } }, now);
    EXPECT_TRUE(fence.maySend(unit, Epoch { 4 }, now, now + kMostSendDelay));
    EXPECT_FALSE(fence.maySend(unit, Epoch { 4 }, now, now + kMostSendDelay + 1ms));
    EXPECT_FALSE(fence.maySend(unit, Epoch { 3 }, now, now)) << "a placement of another epoch";
}

TEST(RoutingFence, ReportsAWithdrawnUnitUntilItsRequestsHaveEnded)
{
    const TimePoint now(1h);
    const UnitName unit("s1");
    RoutingFence fence(Incarnation { 7 });
    grantUnits(fence, { { unit, Epoch { 4 } } }, now);
    ASSERT_TRUE(fence.tryBegin(unit, Epoch { 4 }, now));
    Grant withdrawal;
    withdrawal.roleEpoch_ = Epoch { 1 };
    withdrawal.sequence_ = 9;
    withdrawal.stamp_ = { Incarnation { 7 }, now.time_since_epoch() };
    withdrawal.lease_ = kServerLease;
    withdrawal.units_.emplace();
    withdrawal.unitsDigest_ = digestOf({});
    EXPECT_EQ(fence.apply(withdrawal, now).draining_, std::vector { unit });
    EXPECT_FALSE(fence.tryBegin(unit, Epoch { 4 }, now));
    // Nobody knows whether it still runs; it ends by its deadline.
    fence.end(unit, mayRunUntil(AttemptState::Sent, now + 1s, now), now);
    ++withdrawal.sequence_;
    EXPECT_EQ(fence.apply(withdrawal, now + 1s).draining_, std::vector { unit });
    ++withdrawal.sequence_;
    EXPECT_TRUE(fence.apply(withdrawal, now + 1s + kMostTransit).draining_.empty());
}

TEST(RoutingFence, IsAskedBeforeAnOwnerIsChosen)
{
    const TimePoint now(1h);
    Configuration configuration;
    Service service = lots();
    configuration.services_[service.name_] = service;
    Backend backend;
    backend.name_ = BackendName("lots-1");
    backend.service_ = service.name_;
    backend.connections_ = 10;
    configuration.backends_[backend.name_] = backend;
    auto placement = std::make_shared<Placement>();
    placement->shards_.resize(1, ShardOwner { backend.name_, Epoch { 4 } });
    configuration.placements_[service.name_] = placement;
    RoutingTableBuilder builder;
    const auto table = builder.build(configuration, FleetFacts {}, now);
    const ServiceRoutes &routes = table->services_.at("lots");
    Random random(1);
    const auto select = [&] {
        return BackendSelector::select(routes, { "k", {} }, {}, random, now);
    };
    EXPECT_EQ(select().candidate_, nullptr);
    EXPECT_EQ(builder.stats(backend.name_)->inFlight(), 0U);
    grantUnits(*builder.fence(service.name_), { { UnitName("s0"), Epoch { 4 } } }, now);
    const BackendChoice choice = select();
    ASSERT_NE(choice.candidate_, nullptr);
    EXPECT_EQ(choice.unit_, UnitName("s0"));
}

/// One random event in a RouterWorld.
struct Step
{
    void (*act_)(RouterWorld &world, std::size_t router, std::size_t server, int number);
};

constexpr Step kSteps[] = {
    { [](RouterWorld &world, std::size_t router, std::size_t, int) {
        world.pauseRouter(router, true);
    } },
    { [](RouterWorld &world, std::size_t router, std::size_t, int) {
        world.pauseRouter(router, false);
    } },
    { [](RouterWorld &world, std::size_t router, std::size_t, int) {
        world.cutRouter(router, true);
    } },
    { [](RouterWorld &world, std::size_t router, std::size_t, int) {
        world.cutRouter(router, false);
    } },
    { [](RouterWorld &world, std::size_t router, std::size_t, int) {
        world.restartRouter(router);
    } },
    { [](RouterWorld &world, std::size_t, std::size_t server, int) {
        world.pauseServer(server, true);
    } },
    { [](RouterWorld &world, std::size_t, std::size_t server, int) {
        world.pauseServer(server, false);
    } },
    { [](RouterWorld &world, std::size_t, std::size_t server, int) {
        world.setTakesNewWork(server, false);
    } },
    { [](RouterWorld &world, std::size_t, std::size_t server, int) {
        world.setTakesNewWork(server, true);
    } },
    { [](RouterWorld &world, std::size_t, std::size_t, int) { world.changeCoordinator(); } },
    { [](RouterWorld &world, std::size_t, std::size_t, int) {
        world.store_.faults_.down_ = !world.store_.faults_.down_;
    } },
    { [](RouterWorld &world, std::size_t, std::size_t, int) {
        world.store_.faults_.losesAnswers_ = !world.store_.faults_.losesAnswers_;
    } },
    { [](RouterWorld &world, std::size_t, std::size_t, int number) {
        world.store_.faults_.delay_ = std::chrono::milliseconds(1 + number / 2);
    } },
    { [](RouterWorld &world, std::size_t, std::size_t, int) {
        world.losesMessages_ = !world.losesMessages_;
    } },
    { [](RouterWorld &world, std::size_t, std::size_t, int number) {
        world.setHotKeys({ world.keys_[static_cast<std::size_t>(number) % world.keys_.size()] });
    } },
    { [](RouterWorld &world, std::size_t, std::size_t, int) { world.setHotKeys({}); } },
    { [](RouterWorld &world, std::size_t router, std::size_t server, int) {
        world.cutRouter(router, true);
        world.setTakesNewWork(server, false);
    } },
};

RC_GTEST_PROP(RouterFenceProperty, NeverTwoServersForAKey, ())
{
    const auto routers = *rc::gen::inRange<std::size_t>(1, 4);
    const auto servers = *rc::gen::inRange<std::size_t>(1, 4);
    RouterWorld world(routers, servers);
    world.run(300ms);
    const auto steps = *rc::gen::container<std::vector<std::tuple<std::size_t, int, int>>>(
        20, rc::gen::tuple(rc::gen::inRange<std::size_t>(0, std::size(kSteps)),
                           rc::gen::inRange(0, 1000), rc::gen::inRange(0, 900)));
    for (const auto &[step, number, wait] : steps) {
        const auto draw = static_cast<std::size_t>(number);
        for (std::size_t i = 0; i < 8; ++i)
            world.request(7 * draw + i, std::chrono::milliseconds(wait));
        kSteps[step].act_(world, draw % routers, draw % servers, number);
        for (std::size_t i = 0; i < 8; ++i)
            world.request(5 * draw + i, std::chrono::milliseconds(wait));
        world.run(std::chrono::milliseconds(wait));
        RC_ASSERT(world.mostOwners_ <= 1U);
    }
    world.store_.faults_ = {};
    world.losesMessages_ = false;
    for (std::size_t i = 0; i < routers; ++i) {
        world.pauseRouter(i, false);
        world.cutRouter(i, false);
    }
    for (std::size_t i = 0; i < servers; ++i) {
        world.pauseServer(i, false);
        world.setTakesNewWork(i, true);
    }
    world.run(8s);
    RC_ASSERT(world.areAllServed());
    RC_ASSERT(world.mostOwners_ <= 1U);
}

} // namespace
