#include "tests/fakes/RolloutFleet.h"

#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <numeric>

namespace pimentostage {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickPeriod = 40ms;
constexpr Duration kDelay = 5ms; ///< of a message
constexpr int kManyCalls = 1'000'000;

HostName nameOf(std::size_t host)
{
    return HostName("entry-" + std::to_string(host));
}

} // namespace

/// Messages of one host to all hosts, itself included.
class RolloutFleet::Links : public SiblingSender
{
public:
    Links(RolloutFleet &fleet, std::size_t from)
        : fleet_(fleet)
        , from_(from)
    { }

    void send(const HostName &to, const SiblingMessage &message) override;

private:
    RolloutFleet &fleet_;
    const std::size_t from_;
};

struct RolloutFleet::Host
{
    std::size_t index_ = 0;
    Member self_;
    bool isCut_ = false;
    bool isDead_ = false;
    ConfigState config_;
    std::uint64_t digest_ = 0;
    MetricRegistry metrics_;
    RoutingTableBuilder builder_;
    FleetState fleetState_;
    std::shared_ptr<const RoutingTable> table_;
    std::unique_ptr<Links> links_;
    std::unique_ptr<RolloutHost> host_;
    std::unique_ptr<RolloutControl> control_;
};

void RolloutFleet::Links::send(const HostName &to, const SiblingMessage &message)
{
    fleet_.events_.after(kDelay, [this, to, message] {
        const Host &from = *fleet_.hosts_[from_];
        for (const auto &host : fleet_.hosts_) {
            const bool arrives = host->self_.host_ == to
                                 && (host->index_ == from_ || (!host->isCut_ && !from.isCut_));
            if (!arrives)
                continue;
            if (const auto *report = std::get_if<VersionOutcomeReport>(&message))
                host->control_->onMessage(from.self_.host_, *report, fleet_.time());
            else if (const auto *leases = std::get_if<ExposureLeases>(&message))
                host->host_->onMessage(*leases);
        }
    });
}

RolloutFleet::RolloutFleet(std::size_t hosts, const RolloutLimits &limits, bool isKeyed)
    : limits_(limits)
{
    Service service;
    service.name_ = kService;
    service.keyed_ = isKeyed;
    service.shardCount_ = 4;
    service.balancing_ = Balancing::PowerOfTwo;
    Route route;
    route.name_ = RouteName("read");
    route.prefix_ = "/";
    route.timeout_ = 2s;
    service.routes_.push_back(route);
    store_.set({ ObjectKind::Service, kService.str() }, formatService(service));
    hosts_.resize(hosts);
    for (std::size_t i = 0; i < hosts; ++i)
        startHost(i);
    setHolder(0);
}

RolloutFleet::~RolloutFleet() = default;

void RolloutFleet::startHost(std::size_t index)
{
    auto host = std::make_shared<Host>();
    hosts_[index] = host;
    host->index_ = index;
    host->self_ = Member { nameOf(index), Incarnation { ++lastIncarnation_ } };
    host->fleetState_.router_ = host->self_.incarnation_;
    host->fleetState_.entryHosts_ = hosts_.size();
    host->links_ = std::make_unique<Links>(*this, index);
    host->host_ = std::make_unique<RolloutHost>(
        host->self_, limits_.maxShare_ > 0, *host->links_,
        [raw = host.get()](const BackendName &backend) {
            const auto stats = raw->builder_.stats(backend);
            return stats ? stats->inFlight() : 0;
        },
        log_);
    host->control_ = std::make_unique<RolloutControl>(
        limits_, store_, *host->links_, [this] { return time(); },
        [this, index](const RoleName &, TimePoint) {
            return holder_ == index && !hosts_[index]->isCut_;
        },
        [raw = host.get()](const ObjectRef &ref) { return raw->config_.versionOf(ref); }, log_,
        host->metrics_,
        [this, raw = host.get()](const StoredObject &object) {
            raw->config_.apply(object);
            updateConfig(*raw);
        });
    std::set<HostName> names;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        names.insert(nameOf(i));
    host->control_->setHosts(names);
    scheduleTick(host);
    scheduleRequest(host);
}

void RolloutFleet::scheduleTick(const std::shared_ptr<Host> &host)
{
    events_.after(kTickPeriod, [this, host] {
        if (host->isDead_)
            return;
        if (!host->isCut_) {
            const bool isFirst = host->digest_ == 0;
            store_.FakeObjectStore::list([&](const Reply<StoreListing> &reply) {
                if (const auto *listing = std::get_if<StoreListing>(&reply))
                    host->config_.applyListing(listing->objects_, listing->revision_.next());
            });
            if (isFirst || host->config_.digest() != host->digest_)
                updateConfig(*host);
        }
        host->host_->tick(time());
        host->control_->tick(time());
        noteState();
        scheduleTick(host);
    });
}

void RolloutFleet::updateConfig(Host &host)
{
    host.digest_ = host.config_.digest();
    const auto configuration = host.config_.configuration();
    host.host_->onConfig(configuration, time());
    host.host_->addTo(host.fleetState_);
    host.control_->onConfig(configuration, host.host_->versions(), time());
    host.table_ = host.builder_.build(*configuration, host.fleetState_, time());
}

void RolloutFleet::scheduleRequest(const std::shared_ptr<Host> &host)
{
    events_.after(kRequestPeriod, [this, host] {
        if (host->isDead_)
            return;
        sendRequest(host);
        scheduleRequest(host);
    });
}

void RolloutFleet::sendRequest(const std::shared_ptr<Host> &host)
{
    if (!host->table_ || !host->table_->services_.contains(kService.str()))
        return;
    const ServiceRoutes &routes = host->table_->services_.at(kService.str());
    if (routes.service_.keyed_)
        return;
    const BackendChoice choice = BackendSelector::select(routes, { "", {} }, {}, random_, time());
    if (!choice.candidate_)
        return;
    const std::string version = choice.candidate_->backend_.version_;
    ++requests_;
    ++sent_[version][host->index_];
    ++running_[version];
    if (routes.rollout_)
        routes.rollout_->budget().recordRequest();
    const Behaviour behaviour = behaviours_[version];
    const bool isFailed = random_.unit() < behaviour.failureShare_;
    const Duration latency = fromSeconds(toSeconds(behaviour.latency_) * (0.5 + random_.unit()));
    events_.after(latency,
                  [this, host, version, isFailed, latency, rollout = routes.rollout_,
                   isTarget = choice.candidate_->isTarget_, stats = choice.candidate_->stats_] {
                      stats->end();
                      --running_[version];
                      if (!isFailed)
                          stats->onAnswer(latency, time());
                      if (rollout)
                          rollout->record(RouteName("read"), isTarget, isFailed, latency);
                  });
}

void RolloutFleet::addBackends(const std::string &version, std::size_t count,
                               const Behaviour &behaviour)
{
    behaviours_[version] = behaviour;
    for (std::size_t i = 0; i < count; ++i) {
        Backend backend;
        backend.name_ = BackendName(version + '-' + std::to_string(i));
        backend.service_ = kService;
        backend.zone_ = ZoneName("north");
        backend.address_ = Address { "10.0.0.1", static_cast<std::uint16_t>(100 + i) };
        backend.slots_ = 100;
        backend.connections_ = 10'000;
        backend.version_ = version;
        store_.set({ ObjectKind::Backend, backend.name_.str() }, formatBackend(backend));
    }
}

void RolloutFleet::order(const std::string &target, Duration duration)
{
    store_.set({ ObjectKind::Rollout, kService.str() },
               formatRollout({ { kService, target, duration }, "" }));
}

void RolloutFleet::withdrawOrder()
{
    const ObjectRef ref { ObjectKind::Rollout, kService.str() };
    store_.remove(ref, store_.find(ref).version_, [](const Reply<WriteResult> &) {});
}

void RolloutFleet::setHolder(std::size_t host)
{
    epoch_ = epoch_.next();
    holder_ = host;
    RoleRecord record;
    record.epoch_ = epoch_;
    record.holder_ = hosts_[host]->self_;
    store_.set({ ObjectKind::Role, kRolloutRole.str() }, formatRoleRecord(record));
    hosts_[host]->control_->onRoleGained(kRolloutRole, epoch_);
}

void RolloutFleet::cut(std::size_t host, bool isCut)
{
    hosts_[host]->isCut_ = isCut;
}

void RolloutFleet::restart(std::size_t host)
{
    hosts_[host]->isDead_ = true;
    startHost(host);
}

void RolloutFleet::setStoreDown(bool isDown)
{
    store_.isDown_ = isDown;
    store_.isStatusDown_ = isDown;
    store_.failReads_ = isDown ? kManyCalls : 0;
    store_.loseWrites_ = isDown ? kManyCalls : 0;
}

void RolloutFleet::run(Duration duration)
{
    events_.runUntil(events_.now() + duration, [] {});
}

bool RolloutFleet::wantsRole(std::size_t host) const
{
    return !hosts_[host]->control_->roles().empty();
}

std::uint64_t RolloutFleet::sentTo(const std::string &version,
                                   std::optional<std::size_t> host) const
{
    const auto counts = sent_.find(version);
    if (counts == sent_.end())
        return 0;
    std::uint64_t sum = 0;
    for (const auto &[index, count] : counts->second)
        sum += !host || *host == index ? count : 0;
    return sum;
}

std::uint64_t RolloutFleet::runningAt(const std::string &version) const
{
    const auto found = running_.find(version);
    return found == running_.end() ? 0 : found->second;
}

std::optional<RolloutState> RolloutFleet::state() const
{
    const StoredObject object = store_.find({ ObjectKind::RolloutState, kService.str() });
    if (object.deleted_)
        return std::nullopt;
    return valueOr(
        [&]() -> leaf::result<std::optional<RolloutState>> {
            BOOST_LEAF_AUTO(state, parseRolloutState(kService.str(), object.value_));
            return std::optional(state);
        },
        [](const Error &) { return std::optional<RolloutState>(); });
}

void RolloutFleet::noteState()
{
    if (const auto stored = state())
        storedAt_.try_emplace(stored->phase_, events_.now());
}

std::optional<Duration> RolloutFleet::storedAt(RolloutPhase phase) const
{
    const auto found = storedAt_.find(phase);
    return found == storedAt_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace pimentostage
