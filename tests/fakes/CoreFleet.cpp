#include "tests/fakes/CoreFleet.h"

#include "pimentostage/base/Hash.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/CoreFleetParts.h"

#include <algorithm>

namespace pimentostage {

namespace {

using namespace std::chrono_literals;

constexpr Duration kRouteTimeout = 400ms;
constexpr Duration kPauseCheckPeriod = 25ms;
constexpr Duration kSlowNetworkDelay = 900ms;
constexpr double kRate = 40;
constexpr double kBurst = 20;
constexpr std::uint32_t kShards = 4;
constexpr std::size_t kKeys = 5;
constexpr const char *kServices[] = { "permits", "lots", "plain" };
constexpr std::size_t kBackendsPerService = 2;

Service serviceAt(std::size_t index)
{
    Service service;
    service.name_ = ServiceName(kServices[index]);
    service.keyed_ = index < 2;
    service.keySegment_ = 1;
    service.shardCount_ = kShards;
    service.fencing_ = index == 1 ? Fencing::Unchecked : Fencing::Checked;
    for (const bool isRead : { true, false }) {
        Route route;
        route.name_ = RouteName(isRead ? "read" : "write");
        route.method_ = isRead ? "GET" : "POST";
        route.prefix_ = "/items";
        route.routeKind_ = isRead ? RouteKind::Safe : RouteKind::Unsafe;
        route.kind_ = route.name_.str();
        route.timeout_ = kRouteTimeout;
        service.routes_.push_back(route);
    }
    return service;
}

std::string teamName(std::size_t team)
{
    return "team-" + std::to_string(team);
}

std::string secretOf(std::size_t team)
{
    return "secret-of-" + teamName(team);
}

std::string zoneName(std::size_t zone)
{
    return "zone-" + std::to_string(zone);
}

/// @return whether the host is ready and all shards of the keyed services have owners.
bool isServing(const TrafficView &view)
{
    if (view.readiness_ != Readiness::Ready || view.tokenBuckets_.empty())
        return false;
    const auto isOwned = [](const ShardOwner &owner) { return !owner.backend_.isEmpty(); };
    for (const auto &[name, routes] : view.routing_->services_) {
        const bool isPlaced = routes.placement_
                              && std::all_of(routes.placement_->shards_.begin(),
                                             routes.placement_->shards_.end(), isOwned);
        if (routes.service_.keyed_ && !isPlaced)
            return false;
    }
    return true;
}

} // namespace

void CoreFleet::FakeBackendLinks::sendReply(std::function<void()> task)
{
    fleet_.events_.after(kNetworkDelay, [this, task = std::move(task)] {
        fleet_.runAtHost(host_.shared_from_this(), task);
    });
}

void CoreFleet::FakeBackendLinks::grant(const Address &address, const Grant &grant,
                                        OnGrantReply done)
{
    const Duration delay
        = fleet_.losesMessages_ && ++fleet_.messages_ % 7 == 0 ? kSlowNetworkDelay : kNetworkDelay;
    fleet_.events_.after(delay, [this, address, grant, done] {
        Backend *backend = fleet_.find(address);
        if (!backend || backend->paused_)
            return;
        GrantReply answer = backend->lease_->apply(grant, backend->clock_.at(fleet_.events_.now()));
        for (const auto &work : backend->work_) {
            if (!backend->lease_->units().contains(work->unit_))
                answer.draining_.push_back(work->unit_);
        }
        sendReply([done, answer] { done(answer); });
    });
}

void CoreFleet::FakeBackendLinks::probe(const Address &address, OnProbeReply done)
{
    fleet_.events_.after(kNetworkDelay, [this, address, done] {
        const Backend *backend = fleet_.find(address);
        if (backend && !backend->paused_)
            sendReply([done] { done(true); });
    });
}

CoreFleet::CoreFleet(std::size_t hosts, std::uint64_t seed, const InjectedFault &injected,
                     const ControlOptions &options)
    : injected_(injected)
    , options_(options)
    , random_(seed)
    , oracle_(kRate, kBurst)
    , store_(events_)
{
    store_.onWrite_ = [this](const StoredObject &object) { oracle_.onWrite(object); };
    writeObjects();
    hosts_.resize(hosts);
    for (std::size_t i = 0; i < hosts; ++i)
        store_.hosts_.push_back(ListedHost { "entry-" + std::to_string(i), HostKind::Entry,
                                             HostState::Live, ZoneName(zoneName(i % kZones)),
                                             Address { "10.0.0.1", 1 } });
    for (std::size_t i = 0; i < hosts; ++i)
        startHost(i);
}

CoreFleet::~CoreFleet() = default;

void CoreFleet::writeObjects()
{
    for (std::size_t zone = 0; zone < kZones; ++zone)
        setZoneOut(zone, false);
    for (std::size_t i = 0; i < std::size(kServices); ++i) {
        const Service service = serviceAt(i);
        store_.set({ ObjectKind::Service, service.name_.str() }, formatService(service));
        for (std::size_t j = 0; j < kBackendsPerService; ++j) {
            Backend backend;
            backend.service_ = service.name_;
            backend.name_ = BackendName(service.name_.str() + '-' + std::to_string(j));
            backend.zone_ = j % kZones;
            backend.address_
                = Address { "10.0.1.1", static_cast<std::uint16_t>(100 + backends_.size()) };
            pimentostage::Backend object;
            object.name_ = backend.name_;
            object.service_ = service.name_;
            object.zone_ = ZoneName(zoneName(backend.zone_));
            object.address_ = backend.address_;
            object.slots_ = 6;
            object.connections_ = 110;
            store_.set({ ObjectKind::Backend, backend.name_.str() }, formatBackend(object));
            store_.hosts_.push_back(ListedHost {
                backend.name_.str(), HostKind::Backend, HostState::Live, object.zone_, {} });
            startBackend(backend);
            backends_.push_back(std::move(backend));
        }
    }
    for (std::size_t team = 0; team < kTeams; ++team) {
        Contract contract;
        contract.team_ = TeamName(teamName(team));
        contract.rate_ = kRate;
        contract.burst_ = kBurst;
        contract.connections_ = 10;
        store_.set({ ObjectKind::Contract, teamName(team) }, formatContract(contract));
        setKeyGranted(team, true);
    }
}

void CoreFleet::startHost(std::size_t index)
{
    auto host = std::make_shared<Host>();
    host->index_ = index;
    host->self_.member_
        = Member { HostName("entry-" + std::to_string(index)), Incarnation { ++lastIncarnation_ } };
    host->self_.address_ = Address { "10.0.0.1", 1 };
    host->self_.zone_ = ZoneName(zoneName(index % kZones));
    const std::int64_t kDriftPpm = 400;
    host->clock_ = DriftingClock(
        std::chrono::seconds(1000 + 77 * static_cast<std::int64_t>(lastIncarnation_)),
        index % 2 == 0 ? kDriftPpm : -kDriftPpm);
    Host *raw = host.get();
    host->store_ = std::make_unique<FleetStore::Port>(
        store_, [this, raw](auto task) { runAtHost(raw->shared_from_this(), std::move(task)); });
    host->links_ = std::make_unique<FakeSiblingLinks>(*this, *raw);
    host->backendLinks_ = std::make_unique<FakeBackendLinks>(*this, *raw);
    const ControlPorts ports {
        *host->store_,
        *host->links_,
        *host->backendLinks_,
        ranges_,
        [this, raw](Duration delay, std::function<void()> task) {
            events_.after(delay, [this, raw, task = std::move(task)] {
                runAtHost(raw->shared_from_this(), task);
            });
        },
        [this, raw] { return raw->clock_.at(events_.now()); },
        lastIncarnation_,
    };
    host->core_ = std::make_unique<ControlCore>(host->self_, options_, ports, host->routing_,
                                                host->views_, log_, host->metrics_);
    if (hosts_[index]) {
        hosts_[index]->isDead_ = true;
        stoppedHosts_.push_back(hosts_[index]);
    }
    hosts_[index] = host;
    host->core_->start();
    scheduleTick(host);
}

void CoreFleet::pauseHost(std::size_t host, bool paused)
{
    hosts_[host]->paused_ = paused;
}

void CoreFleet::cutHost(std::size_t host, bool isCut)
{
    hosts_[host]->isCut_ = isCut;
}

void CoreFleet::cutHostFromStore(std::size_t host, bool isCut)
{
    hosts_[host]->store_->isCut_ = isCut;
}

void CoreFleet::restartHost(std::size_t host)
{
    startHost(host);
}

void CoreFleet::scheduleTick(const std::shared_ptr<Host> &host)
{
    events_.after(options_.tick_, [this, host] {
        if (host->isDead_)
            return;
        if (!host->paused_)
            host->core_->tick();
        scheduleTick(host);
    });
}

void CoreFleet::runAtHost(const std::shared_ptr<Host> &host, std::function<void()> task)
{
    if (host->isDead_)
        return;
    if (host->paused_)
        events_.after(kPauseCheckPeriod,
                      [this, host, task = std::move(task)] { runAtHost(host, task); });
    else
        task();
}

void CoreFleet::deliver(Host &from, const HostName &to, const SiblingMessage &message)
{
    ++messages_;
    const bool isLost = losesMessages_ && messages_ % 5 == 0;
    const bool isSlow = losesMessages_ && messages_ % 7 == 0;
    if (isLost || from.isCut_)
        return;
    events_.after(
        isSlow ? kSlowNetworkDelay : kNetworkDelay, [this, self = from.self_, to, message] {
            for (const auto &host : hosts_) {
                if (host->self_.member_.host_ != to || host->isCut_)
                    continue;
                runAtHost(host,
                          [host, self, message] { host->core_->onSiblingMessage(self, message); });
            }
        });
}

void CoreFleet::startBackend(Backend &backend)
{
    ++lastIncarnation_;
    backend.clock_ = DriftingClock(
        std::chrono::seconds(9000 + 13 * static_cast<std::int64_t>(lastIncarnation_)), 400);
    backend.lease_ = std::make_unique<ServerLease>(Incarnation { lastIncarnation_ });
    backend.work_.clear();
}

void CoreFleet::restartBackend(std::size_t backend)
{
    startBackend(backends_[backend]);
    backends_[backend].paused_ = false;
}

CoreFleet::Backend *CoreFleet::find(const Address &address)
{
    for (Backend &backend : backends_) {
        if (backend.address_ == address)
            return &backend;
    }
    return nullptr;
}

CoreFleet::Backend &CoreFleet::find(const BackendName &name)
{
    return *std::find_if(backends_.begin(), backends_.end(),
                         [&](const Backend &backend) { return backend.name_ == name; });
}

void CoreFleet::setBackendLeaving(std::size_t index, bool isLeaving)
{
    const BackendName &name = backends_[index].name_;
    for (ListedHost &listed : store_.hosts_) {
        if (listed.name_ == name.str())
            listed.state_ = isLeaving ? HostState::Leaving : HostState::Live;
    }
    oracle_.onWithdrawn(Rule::LeavingBackend, name.str(), isLeaving, events_.now());
}

void CoreFleet::setZoneOut(std::size_t zone, bool isOut)
{
    store_.set({ ObjectKind::Zone, zoneName(zone) },
               formatZone(Zone { ZoneName(zoneName(zone)), isOut ? ZoneState::Out : ZoneState::In,
                                 Duration::zero() }));
    oracle_.onWithdrawn(Rule::ZoneOut, zoneName(zone), isOut, events_.now());
}

void CoreFleet::setKeyGranted(std::size_t team, bool isGranted)
{
    const ObjectRef ref { ObjectKind::TeamKey, teamName(team) };
    if (isGranted) {
        store_.set(ref, formatTeamKey(TeamKey { teamName(team), TeamName(teamName(team)),
                                                sha256Hex(secretOf(team)) }));
    } else {
        store_.erase(ref);
    }
    oracle_.onWithdrawn(Rule::OnlyTheKeysTeam, teamName(team), !isGranted, events_.now());
}

void CoreFleet::heal()
{
    store_.faults_ = {};
    losesMessages_ = false;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        pauseHost(i, false);
        cutHost(i, false);
        cutHostFromStore(i, false);
    }
    for (std::size_t i = 0; i < backends_.size(); ++i) {
        pauseBackend(i, false);
        setBackendLeaving(i, false);
    }
    for (std::size_t zone = 0; zone < kZones; ++zone)
        setZoneOut(zone, false);
    for (std::size_t team = 0; team < kTeams; ++team)
        setKeyGranted(team, true);
}

void CoreFleet::run(Duration duration)
{
    events_.runUntil(events_.now() + duration, [this] { check(); });
}

void CoreFleet::request(std::size_t index, std::size_t number)
{
    const std::shared_ptr<Host> host = hosts_[index];
    if (host->isDead_ || host->paused_)
        return;
    std::shared_ptr<const TrafficView> view = host->views_.load();
    if (!host->firstServingView_ && isServing(*view))
        host->firstServingView_ = view;
    if (!injected_.usesNewestView(index) && host->firstServingView_)
        view = host->firstServingView_;
    Work work;
    work.team_ = number % kTeams;
    work.service_ = ServiceName(kServices[number / kTeams % std::size(kServices)]);
    work.key_ = 'k' + std::to_string(number / 7 % kKeys);
    CallerRequest request;
    request.method_ = number % 5 < 2 ? "POST" : "GET";
    request.path_ = '/' + work.service_.str() + "/items/" + work.key_;
    request.teamKey_ = secretOf(work.team_);
    const TimePoint now = host->clock_.at(events_.now());
    RouteDecision decision = RequestRouter::route(*view, request, now);
    if (!std::holds_alternative<RoutedRequest>(decision))
        return;
    auto routed = std::get<RoutedRequest>(std::move(decision));
    work.request_ = oracle_.onRequest(isIdempotent(routed.route_->routeKind_));
    const auto run = std::make_shared<Run>(*this, host, view, std::move(routed), work);
    if (!injected_.spendsTokens()) {
        oracle_.onSpent(events_.now());
        run->start();
        return;
    }
    const auto bucket = view->tokenBuckets_.find(TeamName(teamName(work.team_)));
    if (bucket == view->tokenBuckets_.end())
        return;
    const auto onSpendResult = [this, run, isCounted = work.team_ == 0](SpendResult result) {
        if (result != SpendResult::Spent)
            return;
        if (isCounted)
            oracle_.onSpent(events_.now());
        run->start();
    };
    const SpendResult result = bucket->second->spend(1, now, onSpendResult);
    if (result == SpendResult::Waiting)
        host->core_->onTokensNeeded(bucket->second->account());
    else
        onSpendResult(result);
}

void CoreFleet::beginWork(Backend &backend, const std::shared_ptr<Work> &work, const OnEnd &done)
{
    if (backend.paused_) {
        events_.after(kPauseCheckPeriod,
                      [this, &backend, work, done] { beginWork(backend, work, done); });
        return;
    }
    const bool isChecked = backend.service_ == ServiceName("permits");
    const TimePoint now = backend.clock_.at(events_.now());
    const bool isCovered = !isChecked || !injected_.checksLease()
                           || backend.lease_->covers(work->unit_, work->epoch_, now);
    if (!isCovered || events_.now() >= work->deadline_) {
        done(AttemptState::DeclaredNotRun);
        return;
    }
    work->term_ = backend.lease_->term();
    backend.work_.push_back(work);
    oracle_.onBegin(zoneName(backend.zone_), backend.name_.str(), teamName(work->team_),
                    events_.now());
    events_.after(work->duration_,
                  [this, &backend, work, done] { finishWork(backend, work, done); });
}

void CoreFleet::finishWork(Backend &backend, const std::shared_ptr<Work> &work, const OnEnd &done)
{
    if (backend.paused_) {
        events_.after(kPauseCheckPeriod,
                      [this, &backend, work, done] { finishWork(backend, work, done); });
        return;
    }
    const auto running = std::find(backend.work_.begin(), backend.work_.end(), work);
    if (running == backend.work_.end())
        return;
    backend.work_.erase(running);
    const bool isChecked = backend.service_ == ServiceName("permits");
    const TimePoint now = backend.clock_.at(events_.now());
    const bool mayFinish
        = !isChecked || !injected_.checksLease() || backend.lease_->mayFinish(work->term_, now);
    if (!mayFinish || events_.now() >= work->deadline_) {
        done(AttemptState::DeclaredNotRun);
        return;
    }
    oracle_.onExecuted(work->request_);
    done(AttemptState::Answered);
}

void CoreFleet::check()
{
    const bool isStoreUnusable = store_.faults_.down_ || store_.faults_.delay_ > 300ms;
    const bool isStoreReachable = std::any_of(hosts_.begin(), hosts_.end(), [](const auto &host) {
        return !host->paused_ && !host->isCut_ && !host->store_->isCut_;
    });
    if (isStoreUnusable || !isStoreReachable)
        oracle_.onStoreFailed(events_.now());
    const Placement *placement = oracle_.placement(ServiceName("permits"));
    if (!injected_.keepsPlacements() && placement && random_.below(2000) == 0) {
        Placement lost = *placement;
        lost.shards_.assign(lost.shards_.size(), ShardOwner {});
        store_.set({ ObjectKind::Placement, "permits" }, formatPlacement(lost));
    }
    checkOwners();
    checkVersions();
}

void CoreFleet::checkOwners()
{
    std::map<std::string, std::set<BackendName>> owners;
    for (const Backend &backend : backends_) {
        if (backend.paused_ || backend.service_ == ServiceName("plain"))
            continue;
        const bool isChecked = backend.service_ == ServiceName("permits");
        const TimePoint now = backend.clock_.at(events_.now());
        for (const auto &work : backend.work_) {
            const bool isStopped = isChecked && injected_.checksLease()
                                   && !backend.lease_->mayFinish(work->term_, now);
            if (!isStopped && events_.now() < work->deadline_)
                owners[backend.service_.str() + '/' + work->key_].insert(backend.name_);
        }
    }
    for (const auto &[key, names] : owners)
        oracle_.onOwners(names.size());
}

Version CoreFleet::zoneVersion(std::size_t host, std::size_t zone) const
{
    return hosts_[host]->core_->config().versionOf({ ObjectKind::Zone, zoneName(zone) });
}

void CoreFleet::checkVersions()
{
    for (const auto &host : hosts_) {
        for (std::size_t zone = 0; zone < kZones; ++zone) {
            const ObjectRef ref { ObjectKind::Zone, zoneName(zone) };
            const Version version
                = injected_.effectiveVersion(host->core_->config().versionOf(ref));
            oracle_.onVersionApplied(host->lastVersions_[ref], version);
            host->lastVersions_[ref] = version;
        }
    }
}

} // namespace pimentostage
