#include "tests/fakes/RouterSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Maximum time from the loss of a server until its units are served again.
constexpr Duration kServerRecovery = kBackendLossTimeout + kRouteTimeout + kMaxTransitTime + 200ms;

TEST(RouterFence, EveryRouterCanRouteEveryKey)
{
    RouterSimulation simulation(3, 3);
    simulation.run(500ms);
    EXPECT_TRUE(simulation.areAllServed());
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(RouterFence, MovesTheUnitsOfALeavingServerOnceTheRoutersAcknowledge)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.setTakesNewWork(0, false);
    simulation.run(150ms);
    EXPECT_TRUE(simulation.areAllServed());
    for (const std::string &key : simulation.keys_)
        EXPECT_NE(simulation.ownerOfKey(key), BackendName("worker-0"));
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(RouterFence, WaitsForRequestsStillRunningAtThePreviousOwner)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.requestMany(1000);
    simulation.setTakesNewWork(0, false);
    simulation.run(1s);
    EXPECT_GT(simulation.deliveredRequests_, 100U);
    EXPECT_EQ(simulation.maxOwners_, 1U);
    EXPECT_TRUE(simulation.areAllServed());
}

TEST(RouterFence, ServesTheKeysOfAPausedServerAgainAfterItsRequestDeadlines)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.requestMany(400);
    simulation.pauseServer(1, true);
    simulation.run(kServerRecovery);
    EXPECT_TRUE(simulation.areAllServed());
    simulation.pauseServer(1, false);
    simulation.run(1s);
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(RouterFence, WaitsForTheLeaseAndTheRequestsOfAnUnreachableRouter)
{
    for (const bool isRestarted : { false, true }) {
        RouterSimulation simulation(3, 3);
        simulation.run(1s);
        simulation.setRouterPartitioned(0, true);
        simulation.requestMany(400);
        simulation.run(70ms);
        if (isRestarted)
            simulation.restartRouter(0);
        simulation.setTakesNewWork(0, false);
        simulation.run(kServerLeaseDuration - 300ms);
        EXPECT_EQ(simulation.maxOwners_, 1U);
        simulation.run(kRouteTimeout + kMaxTransitTime + 600ms);
        for (const std::string &key : simulation.keys_)
            EXPECT_NE(simulation.ownerOfKey(key), BackendName("worker-0"));
        EXPECT_EQ(simulation.maxOwners_, 1U);
    }
}

TEST(RouterFence, AnUnreachableRouterSendsNothingAfterItsLeaseHasExpired)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.setRouterPartitioned(0, true);
    simulation.run(kServerLeaseDuration + 10ms);
    for (const std::string &key : simulation.keys_)
        EXPECT_FALSE(simulation.mayRoute(0, key));
}

TEST(RouterFence, APausedRouterWithAnExpiredLeaseSendsNothingAfterItsPause)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.requestMany(400);
    simulation.pauseRouter(0, true);
    simulation.run(300ms);
    simulation.setTakesNewWork(0, false);
    simulation.run(kServerLeaseDuration + kRouteTimeout + kMaxTransitTime + 400ms);
    simulation.pauseRouter(0, false);
    simulation.run(300ms);
    EXPECT_EQ(simulation.maxOwners_, 1U);
    EXPECT_TRUE(simulation.areAllServed());
}

TEST(RouterFence, KeepsServingThroughTheLossOfACoordinator)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.changeCoordinator();
    for (int i = 0; i < 100; ++i) {
        simulation.run(20ms);
        ASSERT_TRUE(simulation.areAllServed()) << i;
    }
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(RouterFence, ASuccessorWaitsForRoutersThatOnlyItsPredecessorCouldReach)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.setRouterPartitioned(0, true);
    simulation.changeCoordinator();
    simulation.requestMany(400);
    simulation.setTakesNewWork(0, false);
    simulation.run(4s);
    EXPECT_EQ(simulation.maxOwners_, 1U);
    for (const std::string &key : simulation.keys_)
        EXPECT_NE(simulation.ownerOfKey(key), BackendName("worker-0"));
}

TEST(RouterFence, RemovesADeadRouterOnceItsLeaseHasExpired)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    ASSERT_EQ(simulation.history_.back().routers_.size(), 3U);
    simulation.killRouter(2);
    simulation.run(kServerLeaseDuration + kRouteTimeout + kMaxTransitTime + 300ms);
    EXPECT_EQ(simulation.history_.back().routers_.size(), 2U);
}

TEST(RouterFence, KeepsServingWhileTheStoreIsDown)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.store_.faults_.down_ = true;
    simulation.run(60s);
    EXPECT_TRUE(simulation.areAllServed());
}

TEST(RouterFence, MovesAHotKeyApartFromItsShardAndBack)
{
    RouterSimulation simulation(3, 3);
    simulation.run(1s);
    simulation.setHotKeys({ "key-3" });
    simulation.run(300ms);
    ASSERT_EQ(simulation.history_.back().hotKeys_.size(), 1U);
    EXPECT_TRUE(simulation.areAllServed());
    simulation.setHotKeys({});
    simulation.run(300ms);
    EXPECT_TRUE(simulation.history_.back().hotKeys_.empty());
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

/// Applies a grant of @p units to @p routerLease, as a coordinator does.
void grantUnits(RouterLease &routerLease, const GrantedUnits &units, TimePoint now)
{
    Grant grant;
    grant.roleEpoch_ = Epoch { 1 };
    const GrantReply first = routerLease.apply(grant, now);
    grant.stamp_ = first.stamp_;
    grant.sequence_ = first.sequence_ + 1;
    grant.lease_ = kServerLeaseDuration;
    grant.units_ = units;
    grant.unitsDigest_ = digestOf(units);
    ASSERT_EQ(routerLease.apply(grant, now).result_, GrantResult::Accepted);
}

TEST(RouterLease, SendsNothingAfterTheMaximumSendDelay)
{
    const TimePoint now(1h);
    const UnitName unit("s1");
    RouterLease routerLease(Incarnation { 7 });
    grantUnits(routerLease, { { unit, Epoch { 4 } } }, now);
    EXPECT_TRUE(routerLease.maySend(unit, Epoch { 4 }, now, now + kMaxSendDelay));
    EXPECT_FALSE(routerLease.maySend(unit, Epoch { 4 }, now, now + kMaxSendDelay + 1ms));
    EXPECT_FALSE(routerLease.maySend(unit, Epoch { 3 }, now, now))
        << "the placement has another epoch";
}

TEST(RouterLease, ReportsAWithdrawnUnitUntilItsRequestsHaveEnded)
{
    const TimePoint now(1h);
    const UnitName unit("s1");
    RouterLease routerLease(Incarnation { 7 });
    grantUnits(routerLease, { { unit, Epoch { 4 } } }, now);
    ASSERT_TRUE(routerLease.tryBegin(unit, Epoch { 4 }, now));
    Grant withdrawal;
    withdrawal.roleEpoch_ = Epoch { 1 };
    withdrawal.sequence_ = 9;
    withdrawal.stamp_ = { Incarnation { 7 }, now.time_since_epoch() };
    withdrawal.lease_ = kServerLeaseDuration;
    withdrawal.units_.emplace();
    withdrawal.unitsDigest_ = digestOf({});
    EXPECT_EQ(routerLease.apply(withdrawal, now).draining_, std::vector { unit });
    EXPECT_FALSE(routerLease.tryBegin(unit, Epoch { 4 }, now));
    // It is unknown whether the request still runs; it ends by its deadline.
    routerLease.end(unit, latestEndTime(AttemptState::Sent, now + 1s, now), now);
    ++withdrawal.sequence_;
    EXPECT_EQ(routerLease.apply(withdrawal, now + 1s).draining_, std::vector { unit });
    ++withdrawal.sequence_;
    EXPECT_TRUE(routerLease.apply(withdrawal, now + 1s + kMaxTransitTime).draining_.empty());
}

TEST(RouterLease, IsCheckedBeforeAnOwnerIsSelected)
{
    const TimePoint now(1h);
    Configuration configuration;
    Service service = makeUncheckedService();
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
    const auto table = builder.build(configuration, FleetState {}, now);
    const ServiceRoutes &routes = table->services_.at("lots");
    Random random(1);
    const auto select = [&] {
        return BackendSelector::select(routes, { "k", {} }, {}, random, now);
    };
    EXPECT_EQ(select().candidate_, nullptr);
    EXPECT_EQ(builder.stats(backend.name_)->inFlight(), 0U);
    grantUnits(*builder.routerLease(service.name_), { { UnitName("s0"), Epoch { 4 } } }, now);
    const BackendChoice choice = select();
    ASSERT_NE(choice.candidate_, nullptr);
    EXPECT_EQ(choice.unit_, UnitName("s0"));
}

/// One random event in a RouterSimulation.
struct Step
{
    void (*apply_)(RouterSimulation &simulation, std::size_t router, std::size_t server,
                   int number);
};

constexpr Step kSteps[] = {
    { [](RouterSimulation &simulation, std::size_t router, std::size_t, int) {
        simulation.pauseRouter(router, true);
    } },
    { [](RouterSimulation &simulation, std::size_t router, std::size_t, int) {
        simulation.pauseRouter(router, false);
    } },
    { [](RouterSimulation &simulation, std::size_t router, std::size_t, int) {
        simulation.setRouterPartitioned(router, true);
    } },
    { [](RouterSimulation &simulation, std::size_t router, std::size_t, int) {
        simulation.setRouterPartitioned(router, false);
    } },
    { [](RouterSimulation &simulation, std::size_t router, std::size_t, int) {
        simulation.restartRouter(router);
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t server, int) {
        simulation.pauseServer(server, true);
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t server, int) {
        simulation.pauseServer(server, false);
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t server, int) {
        simulation.setTakesNewWork(server, false);
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t server, int) {
        simulation.setTakesNewWork(server, true);
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t, int) {
        simulation.changeCoordinator();
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t, int) {
        simulation.store_.faults_.down_ = !simulation.store_.faults_.down_;
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t, int) {
        simulation.store_.faults_.losesAnswers_ = !simulation.store_.faults_.losesAnswers_;
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t, int number) {
        simulation.store_.faults_.delay_ = std::chrono::milliseconds(1 + number / 2);
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t, int) {
        simulation.losesMessages_ = !simulation.losesMessages_;
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t, int number) {
        simulation.setHotKeys(
            { simulation.keys_[static_cast<std::size_t>(number) % simulation.keys_.size()] });
    } },
    { [](RouterSimulation &simulation, std::size_t, std::size_t, int) {
        simulation.setHotKeys({});
    } },
    { [](RouterSimulation &simulation, std::size_t router, std::size_t server, int) {
        simulation.setRouterPartitioned(router, true);
        simulation.setTakesNewWork(server, false);
    } },
};

RC_GTEST_PROP(RouterFenceProperty, NeverTwoServersForAKey, ())
{
    const auto routers = *rc::gen::inRange<std::size_t>(1, 4);
    const auto servers = *rc::gen::inRange<std::size_t>(1, 4);
    RouterSimulation simulation(routers, servers);
    simulation.run(300ms);
    const auto steps = *rc::gen::container<std::vector<std::tuple<std::size_t, int, int>>>(
        20, rc::gen::tuple(rc::gen::inRange<std::size_t>(0, std::size(kSteps)),
                           rc::gen::inRange(0, 1000), rc::gen::inRange(0, 900)));
    for (const auto &[step, number, wait] : steps) {
        const auto draw = static_cast<std::size_t>(number);
        for (std::size_t i = 0; i < 8; ++i)
            simulation.request(7 * draw + i, std::chrono::milliseconds(wait));
        kSteps[step].apply_(simulation, draw % routers, draw % servers, number);
        for (std::size_t i = 0; i < 8; ++i)
            simulation.request(5 * draw + i, std::chrono::milliseconds(wait));
        simulation.run(std::chrono::milliseconds(wait));
        RC_ASSERT(simulation.maxOwners_ <= 1U);
    }
    simulation.store_.faults_ = {};
    simulation.losesMessages_ = false;
    for (std::size_t i = 0; i < routers; ++i) {
        simulation.pauseRouter(i, false);
        simulation.setRouterPartitioned(i, false);
    }
    for (std::size_t i = 0; i < servers; ++i) {
        simulation.pauseServer(i, false);
        simulation.setTakesNewWork(i, true);
    }
    simulation.run(8s);
    RC_ASSERT(simulation.areAllServed());
    RC_ASSERT(simulation.maxOwners_ <= 1U);
}

} // namespace
