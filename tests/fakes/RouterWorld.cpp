#include "tests/fakes/RouterWorld.h"

#include <algorithm>

namespace pimentostage {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kShards = 8;

} // namespace

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
RouterWorld::RouterWorld(std::size_t routers, std::size_t servers)
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

void RouterWorld::cutRouter(std::size_t index, bool isCut)
{
    routers_[index]->isCut_ = isCut;
    tellRouters();
}

void RouterWorld::restartRouter(std::size_t index)
{
    ++lastIncarnation_;
    auto router = std::make_shared<Router>();
    router->member_
        = Member { HostName("entry-" + std::to_string(index)), Incarnation { lastIncarnation_ } };
    const std::int64_t kDrift = index % 2 == 0 ? -400 : 400;
    router->clock_ = DriftingClock(std::chrono::seconds(9000 + 13 * lastIncarnation_), kDrift);
    router->fence_ = std::make_unique<RoutingFence>(router->member_.incarnation_);
    if (routers_[index])
        routers_[index]->isDead_ = true;
    routers_[index] = router;
    tellRouters();
}

void RouterWorld::killRouter(std::size_t index)
{
    routers_[index]->isDead_ = true;
    tellRouters();
}

void RouterWorld::setTakesNewWork(std::size_t server, bool takes)
{
    CoordinatorWorld::setTakesNewWork(servers_[server].name_, takes);
}

void RouterWorld::request(std::size_t number, Duration length)
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

void RouterWorld::requestMany(std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number)
        request(number, 400ms);
}

bool RouterWorld::mayRoute(std::size_t router, const std::string &key)
{
    const Naming naming = namingOf(history_.back(), key);
    return !naming.backend_.isEmpty() && maySend(*routers_[router], naming);
}

bool RouterWorld::isServed(const std::string &key)
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

bool RouterWorld::maySend(const Router &router, const Naming &naming) const
{
    const TimePoint time = timeOf(router);
    return isRunning(router) && router.fence_->maySend(naming.unit_, naming.epoch_, time, time);
}

RouterWorld::Server *RouterWorld::find(const BackendName &name)
{
    for (Server &server : servers_) {
        if (server.name_ == name)
            return &server;
    }
    return nullptr;
}

void RouterWorld::tellRouters()
{
    std::set<Member> view;
    for (const auto &router : routers_) {
        if (router && !router->isDead_ && !router->isCut_)
            view.insert(router->member_);
    }
    setRouters(view);
}

// A process that was stopped goes on where it was.
void RouterWorld::sendFirstByte(const std::shared_ptr<Work> &work)
{
    Router &router = *work->router_;
    if (router.isDead_)
        return;
    if (router.paused_) {
        events_.after(25ms, [this, work] { sendFirstByte(work); });
        return;
    }
    const TimePoint now = timeOf(router);
    if (!router.fence_->maySend(work->naming_.unit_, work->naming_.epoch_, work->begunAt_, now)) {
        router.fence_->end(work->naming_.unit_, now, now);
        return;
    }
    work->isSent_ = true;
    ++accepted_;
    // The server counts the request's time from its arrival.
    const Duration arrival = events_.now() + kMostTransit - kMaxSendDelay;
    work->runsUntil_ = arrival + std::min(work->length_, kRouteTimeout);
    work_.push_back(work);
    events_.after(kRouteTimeout, [this, work] { finishAtRouter(work); });
}

void RouterWorld::finishAtRouter(const std::shared_ptr<Work> &work)
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

void RouterWorld::tick()
{
    std::erase_if(work_, [&](const auto &work) { return work->runsUntil_ <= events_.now(); });
}

void RouterWorld::check()
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

void RouterWorld::addOwners(const Router &router, const std::string &key,
                            std::set<BackendName> &owners)
{
    for (const Naming &naming : namings(key)) {
        if (maySend(router, naming))
            owners.insert(naming.backend_);
    }
}

void RouterWorld::transmit(const SendRouterGrant &grant)
{
    send([this, grant, coordinator = coordinator()] { deliver(coordinator, grant); });
}

void RouterWorld::deliver(ShardCoordinator *coordinator, const SendRouterGrant &grant)
{
    for (const auto &router : routers_) {
        // A message goes to a host, whichever process runs there now.
        if (router->member_.host_ == grant.router_.host_)
            deliverTo(coordinator, router, grant);
    }
}

void RouterWorld::deliverTo(ShardCoordinator *coordinator, const std::shared_ptr<Router> &router,
                            const SendRouterGrant &grant)
{
    if (router->isDead_ || router->isCut_)
        return;
    if (router->paused_) {
        events_.after(
            25ms, [this, coordinator, router, grant] { deliverTo(coordinator, router, grant); });
        return;
    }
    const GrantReply answer = router->fence_->apply(grant.grant_, timeOf(*router));
    reply(coordinator, [this, router, answer](ShardCoordinator &present) {
        if (!router->isCut_)
            present.onRouterReply(router->member_, answer, now());
    });
}

void RouterWorld::transmit(const ProbeBackend &probe)
{
    send([this, probe, coordinator = coordinator()] {
        const Server *server = find(probe.backend_);
        if (server && !server->paused_)
            reply(coordinator, [this, probe](ShardCoordinator &present) {
                present.onProbeReply(probe.backend_, now());
            });
    });
}

} // namespace pimentostage
