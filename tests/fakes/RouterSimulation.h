#pragma once

#include "pimentostage/backend/RouterFence.h"
#include "pimentostage/backend/RouterLease.h"
#include "pimentostage/backend/RoutingTable.h"
#include "tests/fakes/CoordinatorSimulation.h"

#include <memory>
#include <string>
#include <vector>

namespace pimentostage {

/// Request timeout of the routes in a RouterSimulation.
inline constexpr Duration kRouteTimeout = std::chrono::milliseconds(500);

/// @return a keyed service whose back ends do not check grants.
Service makeUncheckedService();

/// Simulates servers that run every request they receive, and routers that hold the leases.
class RouterSimulation : public CoordinatorSimulation
{
public:
    RouterSimulation(std::size_t routers, std::size_t servers);

    void pauseServer(std::size_t index, bool paused) { servers_[index].paused_ = paused; }
    void pauseRouter(std::size_t index, bool paused) { routers_[index]->paused_ = paused; }
    /// A partitioned router keeps running but is not in the coordinator's view and cannot reach it.
    void setRouterPartitioned(std::size_t index, bool isPartitioned);

    /// Restarts a router's process; requests sent by its previous process continue at the servers.
    void restartRouter(std::size_t index);

    void killRouter(std::size_t index);

    void setTakesNewWork(std::size_t server, bool takes);

    /// Sends a request through a router that has some current or past placement.
    void request(std::size_t number, Duration duration);

    /// Sends requests for all keys through all routers at the same time.
    void requestMany(std::size_t count);

    /// @return whether the router would send a request for @p key by the newest placement.
    bool mayRoute(std::size_t router, const std::string &key);

    bool isServed(const std::string &key) override;

    std::size_t deliveredRequests_ = 0; ///< requests that reached a server

private:
    struct Router
    {
        Member member_;
        DriftingClock clock_ { Duration::zero(), 0 };
        std::unique_ptr<RouterLease> lease_;
        bool paused_ = false;
        bool isPartitioned_ = false;
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
        Assignment assignment_;
        Duration duration_ {};
        TimePoint startedAt_; ///< on its router's clock
        std::shared_ptr<Router> router_;
        Duration endsAt_ {}; ///< at the server, in simulated time
        bool isSent_ = false;
    };

    static bool isRunning(const Router &router) { return !router.isDead_ && !router.paused_; }

    TimePoint timeOf(const Router &router) const { return router.clock_.at(events_.now()); }

    bool maySend(const Router &router, const Assignment &assignment) const;

    Server *find(const BackendName &name);

    void updateRouterView();

    void sendFirstByte(const std::shared_ptr<Work> &work);

    void finishAtRouter(const std::shared_ptr<Work> &work);

    void tick() override;

    /// For each key, counts the servers that run a request for it or may be sent one.
    void check() override;

    void collectOwners(const Router &router, const std::string &key, std::set<BackendName> &owners);

    void transmit(const SendRouterGrant &grant) override;

    void deliver(ShardCoordinator *coordinator, const SendRouterGrant &grant);

    void deliverTo(ShardCoordinator *coordinator, const std::shared_ptr<Router> &router,
                   const SendRouterGrant &grant);

    void transmit(const ProbeBackend &probe) override;

    std::vector<Server> servers_;
    std::vector<std::shared_ptr<Router>> routers_;
    std::vector<std::shared_ptr<Work>> work_; ///< sent, may still run
    std::uint64_t lastIncarnation_ = 0;
};

} // namespace pimentostage
