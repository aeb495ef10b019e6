#include "tests/fakes/RouterWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

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
    EXPECT_TRUE(fence.maySend(unit, Epoch { 4 }, now, now + kMaxSendDelay));
    EXPECT_FALSE(fence.maySend(unit, Epoch { 4 }, now, now + kMaxSendDelay + 1ms));
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
