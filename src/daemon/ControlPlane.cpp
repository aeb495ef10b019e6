#include "src/daemon/ControlPlane.h"

#include <algorithm>
#include <random>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kHostPollPeriod = std::chrono::seconds(1);
// A configuration that neither the store nor a sibling has confirmed for this long may be stale.
constexpr Duration kMostConfigAge = std::chrono::seconds(3);
constexpr Duration kLeavePoll = std::chrono::milliseconds(10);
constexpr Duration kMostLeaveTime = std::chrono::seconds(1);

StoreClientOptions storeOptions(const Settings &settings)
{
    StoreClientOptions options;
    options.baseUrl_ = settings.platformUrl_;
    options.timeout_ = settings.platformTimeout_;
    options.callsPerSecond_ = settings.platformCallsPerSecond_;
    options.callBurst_ = settings.platformCallsPerSecond_;
    return options;
}

// The wall clock orders the starts of one host's processes; nothing else is read from it.
Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation { static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count()) };
}

MemberUpdate makeSelf(const Settings &settings)
{
    MemberUpdate self;
    self.member_ = Member { HostName(settings.hostName_), newIncarnation() };
    self.address_ = settings.siblingAddress_;
    self.zone_ = ZoneName(settings.zone_);
    return self;
}

Random randomlySeeded()
{
    return Random(std::random_device {}());
}

} // namespace

ControlPlane::ControlPlane(const Settings &settings, SnapshotPublisher<RoutingTable> &routing,
                           SnapshotPublisher<TrafficView> &views, LogSink &log, Counters &counters)
    : settings_(settings)
    , self_(makeSelf(settings))
    , routing_(routing)
    , views_(views)
    , log_(log)
    , counters_(counters)
    , store_(
          storeOptions(settings),
          [this](std::function<void()> task) { loop_.post(std::move(task)); }, counters)
    , watcher_(
          store_, config_,
          [this](Duration delay, std::function<void()> task) {
              loop_.after(delay, std::move(task));
          },
          randomlySeeded(), log, [this] { onConfigChange(); })
    , links_(
          loop_.context(), self_,
          [this](const HostName &host) -> std::optional<Address> {
              const auto known = members_.membership().find(host);
              return known ? std::optional(known->address_) : std::nullopt;
          },
          [this](const MemberUpdate &from, const SiblingMessage &message) {
              onSiblingMessage(from, message);
          },
          log, counters)
    , routers_(self_.member_.host_, links_,
               [this](const SiblingMessage &message) {
                   loop_.post([this, message] { onSiblingMessage(self_, message); });
               })
    , members_(self_, randomlySeeded(), config_, links_, log,
               [this](const ConfigPush &push) { onConfigPush(push); })
    , roles_(self_.member_, randomlySeeded(), store_, links_, members_, config_, *this, log,
             [this](const StoredObject &object) { onOwnWrite(object); })
    , placement_(
          store_, routers_, [this](std::function<void()> task) { loop_.post(std::move(task)); },
          [this](const RoleName &role, TimePoint now) { return roles_.holds(role, now); },
          std::random_device {}(), log, counters,
          [this](const StoredObject &object) { onOwnWrite(object); })
    , allowance_(
          self_.member_.host_, purses_, links_,
          [this](const RoleName &role, TimePoint now) { return roles_.holds(role, now); }, counters)
{
    facts_.router_ = self_.member_.incarnation_;
}

ControlPlane::~ControlPlane()
{
    stop();
}

leaf::result<void> ControlPlane::start()
{
    BOOST_LEAF_CHECK(links_.listen(settings_.siblingAddress_));
    loop_.run([this] { startWork(); });
    return {};
}

void ControlPlane::startWork()
{
    watcher_.start();
    pollHosts();
    loop_.every(kTick, [this] { tick(); });
}

void ControlPlane::stop()
{
    loop_.stop();
}

void ControlPlane::leave()
{
    leaving_ = true;
    loop_.run([this] {
        publish();
        roles_.resign(BootClock::now());
        members_.leave();
    });
    const TimePoint limit = BootClock::now() + kMostLeaveTime;
    std::size_t pending = 1;
    while (pending > 0 && BootClock::now() < limit) {
        std::this_thread::sleep_for(kLeavePoll);
        loop_.run([&] { pending = roles_.pendingWrites(); });
    }
}

void ControlPlane::pollHosts()
{
    store_.hosts([this](const Reply<std::vector<ListedHost>> &reply) {
        if (const auto *hosts = std::get_if<std::vector<ListedHost>>(&reply))
            onHosts(*hosts);
        loop_.after(kHostPollPeriod, [this] { pollHosts(); });
    });
}

void ControlPlane::onHosts(const std::vector<ListedHost> &hosts)
{
    if (hosts == hosts_)
        return;
    hosts_ = hosts;
    members_.updateListed(hosts_);
    publishedDigest_ = 0;
    onConfigChange();
}

void ControlPlane::onConfigPush(const ConfigPush &push)
{
    watcher_.apply(push.objects_);
    config_.adoptRevision(push.revision_);
    onConfigChange();
}

void ControlPlane::onOwnWrite(const StoredObject &object)
{
    watcher_.apply({ object });
    onConfigChange();
}

void ControlPlane::onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now)
{
    placement_.onRoleGained(role, gained.epoch_, now);
    allowance_.onRoleGained(role, gained, now);
}

void ControlPlane::onRoleLost(const RoleName &role)
{
    placement_.onRoleLost(role);
    allowance_.onRoleLost(role);
}

struct ControlPlane::Dispatcher
{
    ControlPlane &plane_;
    const MemberUpdate &from_;
    const TimePoint now_;

    const HostName &host() const { return from_.member_.host_; }

    void operator()(const Hello &) const { }
    void operator()(const Probe &message) const
    {
        plane_.members_.onMessage(host(), message, now_);
    }
    void operator()(const ProbeAck &message) const
    {
        plane_.links_.onAnswer(host());
        plane_.members_.onMessage(host(), message, now_);
    }
    void operator()(const ConfigPull &message) const { plane_.members_.onMessage(host(), message); }
    void operator()(const ConfigPush &message) const { plane_.members_.onMessage(message); }
    void operator()(const PromiseRequest &message) const
    {
        plane_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const PromiseReply &message) const
    {
        plane_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const ReleaseRequest &message) const
    {
        plane_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const ReleaseReply &message) const
    {
        plane_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const StepDown &message) const { plane_.roles_.onMessage(from_, message); }
    void operator()(const LoanRequests &message) const
    {
        plane_.allowance_.onMessage(host(), message, now_);
    }
    void operator()(const LoanReplies &message) const
    {
        plane_.allowance_.onMessage(message, now_);
    }
    void operator()(const BackendWarmth &message) const { plane_.applyWarmth(message, false); }
    void operator()(const KeyLoad &message) const
    {
        plane_.placement_.onKeyLoad(host(), message, now_);
    }
    void operator()(const RouterGrant &message) const
    {
        plane_.onRouterGrant(from_, message, now_);
    }
    void operator()(const RouterGrantReply &message) const
    {
        plane_.placement_.onMessage(from_.member_, message, now_);
    }
    void operator()(const LoanRecall &message) const
    {
        plane_.allowance_.onMessage(host(), message, now_);
    }
};

void ControlPlane::onSiblingMessage(const MemberUpdate &from, const SiblingMessage &message)
{
    std::visit(Dispatcher { *this, from, BootClock::now() }, message);
}

void ControlPlane::onRouterGrant(const MemberUpdate &from, const RouterGrant &message,
                                 TimePoint now)
{
    const std::shared_ptr<RoutingFence> fence = tableBuilder_.fence(message.grant_.service_);
    if (!fence)
        return;
    routers_.send(from.member_.host_,
                  RouterGrantReply { message.grant_.service_, fence->apply(message.grant_, now) });
}

void ControlPlane::tick()
{
    const TimePoint now = BootClock::now();
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    members_.tick(now);
    const std::vector<Member> view = members_.membership().view();
    placement_.setRouters({ view.begin(), view.end() });
    roles_.tick(*configuration, now);
    placement_.tick(now);
    allowance_.tick(now);
    expireWarmups(now);
    tellKeyLoads(now);
    if (readinessAt(now) != publishedReadiness_)
        publish();
    updateGauges(now);
}

Readiness ControlPlane::readinessAt(TimePoint now) const
{
    if (leaving_)
        return Readiness::Stopping;
    const auto age = config_.age(now);
    if (!age)
        return Readiness::Starting;
    // Alone, this host cannot tell an outage of the store from a cut; with a majority it can.
    const bool isTrusted = *age < kMostConfigAge || members_.hearsMajority(now);
    return isTrusted ? Readiness::Ready : Readiness::Stale;
}

void ControlPlane::onConfigChange()
{
    if (config_.digest() == publishedDigest_)
        return;
    publishedDigest_ = config_.digest();
    const TimePoint now = BootClock::now();
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    trackZones(*configuration);
    facts_.leavingHosts_.clear();
    std::size_t entryHosts = 0;
    for (const ListedHost &host : hosts_) {
        if (host.state_ == HostState::Leaving)
            facts_.leavingHosts_.insert(host.name_);
        entryHosts += host.kind_ == HostKind::Entry ? 1 : 0;
    }
    facts_.entryHosts_ = std::max<std::size_t>(1, entryHosts);
    purses_.update(*configuration);
    std::set<RoleName> roles = AllowanceControl::roles();
    roles.merge(PlacementControl::rolesFor(*configuration));
    roles_.setRoles(roles);
    roles_.onConfig(*configuration, now);
    placement_.onConfig(*configuration, facts_.leavingHosts_, now);
    allowance_.onConfig(configuration);
    publish();
}

void ControlPlane::trackZones(const Configuration &configuration)
{
    const TimePoint now = BootClock::now();
    for (const auto &[name, zone] : configuration.zones_) {
        const auto known = zoneStates_.find(name);
        const bool hasReturned = known != zoneStates_.end() && known->second == ZoneState::Out
                                 && zone.state_ == ZoneState::In;
        if (hasReturned)
            facts_.zoneReturnedAt_[name] = now;
        zoneStates_[name] = zone.state_;
    }
}

void ControlPlane::publish()
{
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = config_.configuration();
    view->routing_ = tableBuilder_.build(*view->configuration_, facts_);
    view->purses_ = purses_.purses();
    view->readiness_ = readinessAt(BootClock::now());
    publishedReadiness_ = view->readiness_;
    readiness_ = view->readiness_;
    routing_.publish(view->routing_);
    views_.publish(std::move(view));
}

void ControlPlane::updateGauges(TimePoint now)
{
    const auto age = config_.age(now);
    counters_
        .gauge("pimento_config_age_seconds",
               "Time since the store confirmed this host's configuration.")
        .set(age ? toSeconds(*age) : -1);
    counters_.gauge("pimento_config_revision", "Revision of the configuration in force.")
        .set(static_cast<double>(config_.revision().value_));
    counters_.gauge("pimento_view_hosts", "Entry hosts believed to be alive, this one included.")
        .set(static_cast<double>(members_.membership().view().size()));
    std::size_t held = 0;
    for (const auto &[role, keeper] : roles_.keepers())
        held += keeper->holds(now) ? 1 : 0;
    counters_.gauge("pimento_roles_held", "Roles in which this host may act.")
        .set(static_cast<double>(held));
    counters_.gauge("pimento_units_moving", "Shards and hot keys on their way between owners.")
        .set(static_cast<double>(placement_.movingUnits()));
}

void ControlPlane::tokensWanted(const AccountName &account)
{
    loop_.post([this, account] { allowance_.onTokensWanted(account, BootClock::now()); });
}

void ControlPlane::backendWarmth(const BackendWarmth &warmth)
{
    loop_.post([this, warmth] { applyWarmth(warmth, true); });
}

void ControlPlane::applyWarmth(const BackendWarmth &warmth, bool isNews)
{
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    const auto backend = configuration->backends_.find(warmth.backend_);
    const std::shared_ptr<BackendStats> stats = tableBuilder_.stats(warmth.backend_);
    if (!stats || backend == configuration->backends_.end())
        return;
    const std::vector<Member> view = members_.membership().view();
    const std::vector<Member> ranked = rankedFor(RoleName(warmth.backend_.str()), view);
    const bool isOurs = !ranked.empty() && ranked.front() == self_.member_;
    bool isChange = true;
    if (warmth.isCold_)
        isChange = stats->warmup().start(isOurs, backend->second.slots_, BootClock::now());
    else
        stats->warmup().finish();
    if (!isNews || !isChange)
        return;
    log_.write(LogLine(Severity::Info, warmth.isCold_ ? "backend-cold" : "backend-warm")
                   .add("backend", warmth.backend_.str())
                   .add("warmed_up_here", isOurs));
    for (const Member &member : view) {
        if (member != self_.member_)
            links_.send(member.host_, warmth);
    }
}

void ControlPlane::keyLoad(const KeyLoad &load)
{
    loop_.post([this, load] { sumKeyLoad(load); });
}

// Traffic threads report one after the other; their counts of one period are added up.
void ControlPlane::sumKeyLoad(const KeyLoad &load)
{
    KeyLoad &sum = keyLoads_[load.service_];
    sum.service_ = load.service_;
    sum.total_ += load.total_;
    for (const KeyRate &key : load.keys_) {
        const auto known = std::find_if(sum.keys_.begin(), sum.keys_.end(),
                                        [&](const auto &other) { return other.key_ == key.key_; });
        if (known == sum.keys_.end())
            sum.keys_.push_back(key);
        else
            known->rate_ += key.rate_;
    }
}

void ControlPlane::tellKeyLoads(TimePoint now)
{
    if (now < nextKeyLoads_)
        return;
    nextKeyLoads_ = now + kKeyLoadPeriod;
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    for (const auto &[service, load] : keyLoads_) {
        const auto role = configuration->roles_.find(PlacementControl::roleOf(service));
        if (role == configuration->roles_.end())
            continue;
        const HostName &holder = role->second.holder_.host_;
        if (holder == self_.member_.host_)
            placement_.onKeyLoad(holder, load, now);
        else
            links_.send(holder, load);
    }
    keyLoads_.clear();
}

void ControlPlane::expireWarmups(TimePoint now)
{
    for (const auto &[name, backend] : config_.configuration()->backends_) {
        if (const auto stats = tableBuilder_.stats(name))
            stats->warmup().expire(now);
    }
}

std::string ControlPlane::statusJson()
{
    nlohmann::json status;
    loop_.run([&] {
        const TimePoint now = BootClock::now();
        status = { { "host", settings_.hostName_ },
                   { "zone", settings_.zone_ },
                   { "incarnation", self_.member_.incarnation_.value_ },
                   { "readiness", toString(readiness_.load()) },
                   { "config_revision", config_.revision().value_ },
                   { "config_digest", std::to_string(config_.digest()) },
                   { "store_connected", watcher_.isConnected() } };
        if (const auto age = config_.age(now))
            status["config_age_ms"] = toMilliseconds(*age);
        for (const MemberUpdate &member : members_.membership().all()) {
            status["members"][member.member_.host_.str()]
                = { { "incarnation", member.member_.incarnation_.value_ },
                    { "liveness", toString(member.liveness_) } };
        }
        for (const auto &[role, keeper] : roles_.keepers()) {
            status["roles"][role.str()]
                = { { "phase", toString(keeper->phase()) },
                    { "holds", keeper->holds(now) },
                    { "epoch", keeper->record() ? keeper->record()->epoch_.value_ : 0 },
                    { "holder", keeper->record() ? keeper->record()->holder_.host_.str() : "" } };
        }
    });
    return status.dump();
}

} // namespace pimentostage
