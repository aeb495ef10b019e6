#pragma once

#include "pimentostage/backend/RouterFence.h"
#include "pimentostage/backend/RoutingFence.h"
#include "pimentostage/backend/RoutingTable.h"
#include "tests/fakes/CoordinatorWorld.h"

#include <memory>
#include <string>
#include <vector>

namespace pimentostage {

/// Time that the routes of a RouterWorld give a request.
inline constexpr Duration kRouteTimeout = std::chrono::milliseconds(500);

/// @return a keyed service whose back ends check no fence.
Service lots();

/// Servers that run whatever comes to them, and routers that hold the leases.
class RouterWorld : public CoordinatorWorld
{
public:
    RouterWorld(std::size_t routers, std::size_t servers);

    void pauseServer(std::size_t index, bool paused) { servers_[index].paused_ = paused; }
    void pauseRouter(std::size_t index, bool paused) { routers_[index]->paused_ = paused; }
    /// A cut router is off the coordinator's view, and alive.
    void cutRouter(std::size_t index, bool isCut);

    /// Starts a router's process anew; what its former process sent goes on at the servers.
    void restartRouter(std::size_t index);

    void killRouter(std::size_t index);

    void setTakesNewWork(std::size_t server, bool takes);

    /// A request comes to a router that knows a placement of any age.
    void request(std::size_t number, Duration length);

    /// Requests for all keys come to all routers at once.
    void requestMany(std::size_t count);

    /// @return whether the router would send a request routed by the newest placement.
    bool mayRoute(std::size_t router, const std::string &key);

    bool isServed(const std::string &key) override;

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

    bool maySend(const Router &router, const Naming &naming) const;

    Server *find(const BackendName &name);

    void tellRouters();

    void sendFirstByte(const std::shared_ptr<Work> &work);

    void finishAtRouter(const std::shared_ptr<Work> &work);

    void tick() override;

    /// The oracle: requests for one key neither run nor may be sent to two servers at once.
    void check() override;

    void addOwners(const Router &router, const std::string &key, std::set<BackendName> &owners);

    void transmit(const SendRouterGrant &grant) override;

    void deliver(ShardCoordinator *coordinator, const SendRouterGrant &grant);

    void deliverTo(ShardCoordinator *coordinator, const std::shared_ptr<Router> &router,
                   const SendRouterGrant &grant);

    void transmit(const ProbeBackend &probe) override;

    std::vector<Server> servers_;
    std::vector<std::shared_ptr<Router>> routers_;
    std::vector<std::shared_ptr<Work>> work_; ///< sent and perhaps running
    std::uint64_t lastIncarnation_ = 0;
};

} // namespace pimentostage
