#include "pimentostage/backend/ShardCoordinator.h"
#include "pimentostage/backend/ServerLease.h"
#include "tests/fakes/CoordinatorSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <tuple>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kShardCount = 8;

Service makeKeyedService()
{
    Service service;
    service.name_ = ServiceName("permits");
    service.keyed_ = true;
    service.shardCount_ = kShardCount;
    return service;
}

/// Simulates servers that check their grants: each holds a lease on its units.
class ShardSimulation : public CoordinatorSimulation
{
public:
    explicit ShardSimulation(std::size_t servers)
        : CoordinatorSimulation(makeKeyedService())
    {
        for (std::size_t i = 0; i < servers; ++i) {
            servers_.push_back(std::make_unique<Server>());
            servers_.back()->name_ = BackendName("worker-" + std::to_string(i));
            restartServer(i);
        }
        begin();
    }

    void pauseServer(std::size_t index, bool paused) { servers_[index]->paused_ = paused; }
    void setServerPartitioned(std::size_t index, bool isPartitioned)
    {
        servers_[index]->isPartitioned_ = isPartitioned;
    }
    void killServer(std::size_t index) { servers_[index]->isDead_ = true; }

    void restartServer(std::size_t index)
    {
        Server &server = *servers_[index];
        ++lastIncarnation_;
        const std::int64_t kDrift = index % 2 == 0 ? -400 : 400;
        server.clock_ = DriftingClock(std::chrono::seconds(9000 + 13 * lastIncarnation_), kDrift);
        server.lease_ = std::make_unique<ServerLease>(Incarnation { lastIncarnation_ });
        server.isDead_ = false;
        server.paused_ = false;
        server.work_.clear();
        setBackend(server.name_, CoordinatedBackend {});
    }

    void setTakesNewWork(std::size_t index, bool takes)
    {
        CoordinatorSimulation::setTakesNewWork(servers_[index]->name_, takes);
    }

    /// Sends a request to the owner of its key in some current or past placement.
    void request(std::size_t number, Duration duration)
    {
        if (history_.empty())
            return;
        const std::string &key = keys_[number % keys_.size()];
        const Assignment assignment = assignmentOf(history_[number % history_.size()], key);
        Server *server = find(assignment.backend_);
        if (server && accepts(*server, assignment))
            server->work_.push_back(
                { key, assignment.unit_, events_.now() + duration, server->lease_->term() });
    }

    bool isServed(const std::string &key) override
    {
        if (history_.empty())
            return false;
        const Assignment assignment = assignmentOf(history_.back(), key);
        const Server *server = find(assignment.backend_);
        return server && accepts(*server, assignment);
    }

    std::size_t index(const BackendName &name) const
    {
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            if (servers_[i]->name_ == name)
                return i;
        }
        return servers_.size();
    }

private:
    struct Work
    {
        std::string key_;
        UnitName unit_;
        Duration until_;
        std::uint64_t term_;
    };
    struct Server
    {
        BackendName name_;
        DriftingClock clock_ { Duration::zero(), 0 };
        std::unique_ptr<ServerLease> lease_;
        std::vector<Work> work_;
        bool paused_ = false;
        bool isPartitioned_ = false;
        bool isDead_ = false;
    };

    void tick() override
    {
        for (auto &server : servers_) {
            if (!server->paused_)
                std::erase_if(server->work_,
                              [&](const Work &work) { return work.until_ <= events_.now(); });
        }
    }

    Server *find(const BackendName &name)
    {
        for (const auto &server : servers_) {
            if (server->name_ == name)
                return server.get();
        }
        return nullptr;
    }

    bool accepts(const Server &server, const Assignment &assignment) const
    {
        return !server.isDead_ && !server.paused_
               && server.lease_->covers(assignment.unit_, assignment.epoch_,
                                        server.clock_.at(events_.now()));
    }

    /// For each key, counts the servers that run a request for it or would accept one under any
    /// placement that the store has held.
    void check() override
    {
        for (const std::string &key : keys_) {
            std::size_t owners = 0;
            for (const auto &server : servers_)
                owners += isOwner(*server, key) ? 1 : 0;
            maxOwners_ = std::max(maxOwners_, owners);
        }
    }

    bool isOwner(const Server &server, const std::string &key)
    {
        if (server.isDead_ || server.paused_)
            return false;
        const TimePoint now = server.clock_.at(events_.now());
        for (const Work &work : server.work_) {
            if (work.key_ == key && server.lease_->mayFinish(work.term_, now))
                return true;
        }
        return std::any_of(
            assignments(key).begin(), assignments(key).end(), [&](const Assignment &assignment) {
                return assignment.backend_ == server.name_ && accepts(server, assignment);
            });
    }

    void transmit(const SendGrant &grant) override
    {
        send([this, grant, coordinator = coordinator()] { deliver(coordinator, grant); });
    }

    void deliver(ShardCoordinator *coordinator, const SendGrant &grant)
    {
        Server *server = find(grant.backend_);
        if (!server || server->isDead_ || server->isPartitioned_)
            return;
        if (server->paused_) {
            events_.after(25ms, [this, coordinator, grant] { deliver(coordinator, grant); });
            return;
        }
        GrantReply answer = server->lease_->apply(grant.grant_, server->clock_.at(events_.now()));
        for (const Work &work : server->work_) {
            if (!server->lease_->units().contains(work.unit_))
                answer.draining_.push_back(work.unit_);
        }
        reply(coordinator, [this, server, answer](ShardCoordinator &current) {
            if (!server->isPartitioned_)
                current.onGrantReply(server->name_, answer, now());
        });
    }

    std::vector<std::unique_ptr<Server>> servers_;
    std::uint64_t lastIncarnation_ = 0;
};

TEST(ShardCoordinator, AssignsAnOwnerToEveryShard)
{
    ShardSimulation simulation(3);
    simulation.run(500ms);
    EXPECT_TRUE(simulation.areAllServed());
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(ShardCoordinator, ServesTheKeysOfALostServerAgainAfterItsLease)
{
    ShardSimulation simulation(3);
    simulation.run(1s);
    simulation.killServer(0);
    simulation.run(kServerLeaseDuration + 200ms);
    EXPECT_TRUE(simulation.areAllServed());
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(ShardCoordinator, MovesTheKeysOfALeavingServerWithoutWaitingForItsLease)
{
    ShardSimulation simulation(3);
    simulation.run(1s);
    simulation.setTakesNewWork(0, false);
    simulation.run(150ms);
    EXPECT_TRUE(simulation.areAllServed());
    for (const std::string &key : simulation.keys_)
        EXPECT_NE(simulation.ownerOfKey(key), BackendName("worker-0"));
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(ShardCoordinator, WaitsForRequestsStillRunningAtThePreviousOwner)
{
    ShardSimulation simulation(3);
    simulation.run(1s);
    const std::size_t owner = simulation.index(simulation.ownerOfKey(simulation.keys_[0]));
    // request() selects the placement by number, and the owner in an old one may reject the
    // request. Therefore the numbers cover all placements up to the newest one.
    for (std::size_t i = 0; i < simulation.history_.size() * simulation.keys_.size(); ++i)
        simulation.request(i, 700ms);
    simulation.setTakesNewWork(owner, false);
    simulation.run(400ms);
    EXPECT_EQ(simulation.maxOwners_, 1U);
    simulation.run(1s);
    EXPECT_TRUE(simulation.areAllServed());
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(ShardCoordinator, KeepsServingThroughTheLossOfACoordinator)
{
    ShardSimulation simulation(3);
    simulation.run(1s);
    simulation.changeCoordinator();
    for (int i = 0; i < 100; ++i) {
        simulation.run(20ms);
        ASSERT_TRUE(simulation.areAllServed()) << i;
    }
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(ShardCoordinator, KeepsServingWhileTheStoreIsDown)
{
    ShardSimulation simulation(3);
    simulation.run(1s);
    simulation.store_.faults_.down_ = true;
    simulation.run(60s);
    EXPECT_TRUE(simulation.areAllServed());
}

TEST(ShardCoordinator, APausedServerDoesNotServeKeysThatMovedDuringThePause)
{
    ShardSimulation simulation(3);
    simulation.run(1s);
    for (std::size_t i = 0; i < 200; ++i)
        simulation.request(i, 5s);
    simulation.pauseServer(1, true);
    simulation.run(4s);
    simulation.pauseServer(1, false);
    simulation.run(2s);
    EXPECT_EQ(simulation.maxOwners_, 1U);
    EXPECT_TRUE(simulation.areAllServed());
}

TEST(ShardCoordinator, MovesAHotKeyApartFromItsShardAndBack)
{
    ShardSimulation simulation(3);
    simulation.run(1s);
    simulation.setHotKeys({ "key-3" });
    simulation.run(300ms);
    ASSERT_EQ(simulation.history_.back().hotKeys_.size(), 1U);
    EXPECT_TRUE(simulation.areAllServed());
    simulation.setHotKeys({});
    simulation.run(300ms);
    EXPECT_TRUE(simulation.history_.back().hotKeys_.empty());
    EXPECT_TRUE(simulation.areAllServed());
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

TEST(ShardCoordinator, MovesNothingFromAnUnreachableWithdrawnServerBeforeItsLeaseHasExpired)
{
    for (Duration offset = 0ms; offset < 100ms; offset += 3ms) {
        ShardSimulation simulation(3);
        simulation.run(1s + offset);
        simulation.setServerPartitioned(0, true);
        simulation.setTakesNewWork(0, false);
        simulation.run(kServerLeaseDuration + 300ms);
        ASSERT_EQ(simulation.maxOwners_, 1U);
        ASSERT_TRUE(simulation.areAllServed());
    }
}

TEST(ShardCoordinator, AServerThatTakesNoNewWorkLosesItsUnitsEvenWithoutAnotherOwner)
{
    ShardSimulation simulation(1);
    simulation.run(1s);
    ASSERT_TRUE(simulation.areAllServed());
    simulation.setTakesNewWork(0, false);
    simulation.run(kHandoverTimeout - 100ms);
    EXPECT_TRUE(simulation.areAllServed());
    simulation.run(300ms);
    for (const std::string &key : simulation.keys_)
        EXPECT_FALSE(simulation.isServed(key));
    simulation.setTakesNewWork(0, true);
    simulation.run(200ms);
    EXPECT_TRUE(simulation.areAllServed());
}

TEST(ShardCoordinator, RecognisesItsOwnWriteAfterALostReply)
{
    ShardSimulation simulation(3);
    simulation.store_.faults_.losesAnswers_ = true;
    simulation.run(3s);
    EXPECT_TRUE(simulation.areAllServed());
    EXPECT_EQ(simulation.maxOwners_, 1U);
}

RC_GTEST_PROP(ShardCoordinatorProperty, NeverTwoOwnersOfAKey, ())
{
    const auto servers = *rc::gen::inRange<std::size_t>(1, 5);
    ShardSimulation simulation(servers);
    simulation.run(300ms);
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        25, rc::gen::tuple(rc::gen::inRange(0, 15), rc::gen::inRange(0, 1000),
                           rc::gen::inRange(0, 900)));
    for (const auto &[kind, number, wait] : steps) {
        const std::size_t server = static_cast<std::size_t>(number) % servers;
        switch (kind) {
        case 0:
            simulation.pauseServer(server, true);
            break;
        case 1:
            simulation.pauseServer(server, false);
            break;
        case 2:
            simulation.setServerPartitioned(server, true);
            break;
        case 3:
            simulation.setServerPartitioned(server, false);
            break;
        case 4:
            simulation.restartServer(server);
            break;
        case 5:
            simulation.setTakesNewWork(server, false);
            break;
        case 6:
            simulation.setTakesNewWork(server, true);
            break;
        case 7:
            simulation.changeCoordinator();
            break;
        case 8:
            simulation.store_.faults_.down_ = !simulation.store_.faults_.down_;
            break;
        case 9:
            simulation.store_.faults_.losesAnswers_ = !simulation.store_.faults_.losesAnswers_;
            break;
        case 10:
            simulation.store_.faults_.delay_ = std::chrono::milliseconds(1 + number / 2);
            break;
        case 11:
            simulation.losesMessages_ = !simulation.losesMessages_;
            break;
        case 12:
            simulation.setHotKeys(
                { simulation.keys_[static_cast<std::size_t>(number) % simulation.keys_.size()] });
            break;
        case 13:
            simulation.setHotKeys({});
            break;
        default:
            simulation.setServerPartitioned(server, true);
            simulation.setTakesNewWork(server, false);
            break;
        }
        for (int i = 0; i < 8; ++i)
            simulation.request(7 * static_cast<std::size_t>(number) + static_cast<std::size_t>(i),
                               std::chrono::milliseconds(wait));
        simulation.run(std::chrono::milliseconds(wait));
        RC_ASSERT(simulation.maxOwners_ <= 1U);
    }
    simulation.store_.faults_ = {};
    simulation.losesMessages_ = false;
    for (std::size_t i = 0; i < servers; ++i) {
        simulation.pauseServer(i, false);
        simulation.setServerPartitioned(i, false);
        simulation.setTakesNewWork(i, true);
    }
    simulation.run(6s);
    RC_ASSERT(simulation.areAllServed());
    RC_ASSERT(simulation.maxOwners_ <= 1U);
}

} // namespace
