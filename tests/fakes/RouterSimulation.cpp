#include "tests/fakes/RouterSimulation.h"

#include <algorithm>

namespace pimentostage {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kShardCount = 8;

} // namespace

Service makeUncheckedService()
{
    Service service;
    service.name_ = ServiceName("lots");
    service.keyed_ = true;
    service.shardCount_ = kShardCount;
    service.fencing_ = Fencing::Unchecked;
    Route route;
    route.timeout_ = kRouteTimeout;
    service.routes_.push_back(route);
    return service;
}

RouterSimulation::RouterSimulation(std::size_t routers, std::size_t servers)
    : CoordinatorSimulation(makeUncheckedService())
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

void RouterSimulation::setRouterPartitioned(std::size_t index, bool isPartitioned)
{
    routers_[index]->isPartitioned_ = isPartitioned;
    updateRouterView();
}

void RouterSimulation::restartRouter(std::size_t index)
{
    ++lastIncarnation_;
    auto router = std::make_shared<Router>();
    router->member_
        = Member { HostName("entry-" + std::to_string(index)), Incarnation { lastIncarnation_ } };
    const std::int64_t kDrift = index % 2 == 0 ? -400 : 400;
    router->clock_ = DriftingClock(std::chrono::seconds(9000 + 13 * lastIncarnation_), kDrift);
    router->lease_ = std::make_unique<RouterLease>(router->member_.incarnation_);
    if (routers_[index])
        routers_[index]->isDead_ = true;
    routers_[index] = router;
    updateRouterView();
}

void RouterSimulation::killRouter(std::size_t index)
{
    routers_[index]->isDead_ = true;
    updateRouterView();
}

void RouterSimulation::setTakesNewWork(std::size_t server, bool takes)
{
    CoordinatorSimulation::setTakesNewWork(servers_[server].name_, takes);
}

void RouterSimulation::request(std::size_t number, Duration duration)
{
    if (history_.empty())
        return;
    const auto router = routers_[number % routers_.size()];
    if (router->isDead_ || router->paused_)
        return;
    auto work = std::make_shared<Work>();
    work->key_ = keys_[number % keys_.size()];
    work->assignment_ = assignmentOf(history_[(number / 3) % history_.size()], work->key_);
    work->duration_ = duration;
    work->startedAt_ = timeOf(*router);
    work->router_ = router;
    if (!router->lease_->tryBegin(work->assignment_.unit_, work->assignment_.epoch_,
                                  work->startedAt_))
        return;
    const Duration connectDelay = std::chrono::milliseconds(number % 70);
    events_.after(connectDelay, [this, work] { sendFirstByte(work); });
}

void RouterSimulation::requestMany(std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number)
        request(number, 400ms);
}

bool RouterSimulation::mayRoute(std::size_t router, const std::string &key)
{
    const Assignment assignment = assignmentOf(history_.back(), key);
    return !assignment.backend_.isEmpty() && maySend(*routers_[router], assignment);
}

bool RouterSimulation::isServed(const std::string &key)
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

bool RouterSimulation::maySend(const Router &router, const Assignment &assignment) const
{
    const TimePoint time = timeOf(router);
    return isRunning(router)
           && router.lease_->maySend(assignment.unit_, assignment.epoch_, time, time);
}

RouterSimulation::Server *RouterSimulation::find(const BackendName &name)
{
    for (Server &server : servers_) {
        if (server.name_ == name)
            return &server;
    }
    return nullptr;
}

void RouterSimulation::updateRouterView()
{
    std::set<Member> view;
    for (const auto &router : routers_) {
        if (router && !router->isDead_ && !router->isPartitioned_)
            view.insert(router->member_);
    }
    setRouters(view);
}

// A paused process continues where it stopped.
void RouterSimulation::sendFirstByte(const std::shared_ptr<Work> &work)
{
    Router &router = *work->router_;
    if (router.isDead_)
        return;
    if (router.paused_) {
        events_.after(25ms, [this, work] { sendFirstByte(work); });
        return;
    }
    const TimePoint now = timeOf(router);
    if (!router.lease_->maySend(work->assignment_.unit_, work->assignment_.epoch_, work->startedAt_,
                                now)) {
        router.lease_->end(work->assignment_.unit_, now, now);
        return;
    }
    work->isSent_ = true;
    ++deliveredRequests_;
    // The server counts the request's timeout from its arrival.
    const Duration arrival = events_.now() + kMaxTransitTime - kMaxSendDelay;
    work->endsAt_ = arrival + std::min(work->duration_, kRouteTimeout);
    work_.push_back(work);
    events_.after(kRouteTimeout, [this, work] { finishAtRouter(work); });
}

void RouterSimulation::finishAtRouter(const std::shared_ptr<Work> &work)
{
    Router &router = *work->router_;
    if (router.paused_) {
        events_.after(25ms, [this, work] { finishAtRouter(work); });
        return;
    }
    const TimePoint now = timeOf(router);
    const bool isAnswered = events_.now() >= work->endsAt_;
    router.lease_->end(work->assignment_.unit_,
                       latestEndTime(isAnswered ? AttemptState::Answered : AttemptState::Sent,
                                     work->startedAt_ + kRouteTimeout, now),
                       now);
}

void RouterSimulation::tick()
{
    std::erase_if(work_, [&](const auto &work) { return work->endsAt_ <= events_.now(); });
}

void RouterSimulation::check()
{
    for (const std::string &key : keys_) {
        std::set<BackendName> owners;
        for (const auto &work : work_) {
            const Server *server = find(work->assignment_.backend_);
            const bool isExecuting = !server->paused_ && events_.now() < work->endsAt_;
            if (isExecuting && work->key_ == key)
                owners.insert(server->name_);
        }
        for (const auto &router : routers_)
            collectOwners(*router, key, owners);
        maxOwners_ = std::max(maxOwners_, owners.size());
    }
}

void RouterSimulation::collectOwners(const Router &router, const std::string &key,
                                     std::set<BackendName> &owners)
{
    for (const Assignment &assignment : assignments(key)) {
        if (maySend(router, assignment))
            owners.insert(assignment.backend_);
    }
}

void RouterSimulation::transmit(const SendRouterGrant &grant)
{
    send([this, grant, coordinator = coordinator()] { deliver(coordinator, grant); });
}

void RouterSimulation::deliver(ShardCoordinator *coordinator, const SendRouterGrant &grant)
{
    for (const auto &router : routers_) {
        // Messages are addressed to a host and reach whichever process currently runs there.
        if (router->member_.host_ == grant.router_.host_)
            deliverTo(coordinator, router, grant);
    }
}

void RouterSimulation::deliverTo(ShardCoordinator *coordinator,
                                 const std::shared_ptr<Router> &router,
                                 const SendRouterGrant &grant)
{
    if (router->isDead_ || router->isPartitioned_)
        return;
    if (router->paused_) {
        events_.after(
            25ms, [this, coordinator, router, grant] { deliverTo(coordinator, router, grant); });
        return;
    }
    const GrantReply answer = router->lease_->apply(grant.grant_, timeOf(*router));
    reply(coordinator, [this, router, answer](ShardCoordinator &current) {
        if (!router->isPartitioned_)
            current.onRouterReply(router->member_, answer, now());
    });
}

void RouterSimulation::transmit(const ProbeBackend &probe)
{
    send([this, probe, coordinator = coordinator()] {
        const Server *server = find(probe.backend_);
        if (server && !server->paused_)
            reply(coordinator, [this, probe](ShardCoordinator &current) {
                current.onProbeReply(probe.backend_, now());
            });
    });
}

} // namespace pimentostage
