#include "src/daemon/ControlCore.h"

#include "pimentostage/platform/Generation.h"
#include "pimentostage/sibling/HostRanking.h"
#include "src/daemon/CoordinatorRole.h"
#include "src/platform/ConfigUpdate.h"

#include <algorithm>
#include <set>

namespace pimentostage {

namespace {

constexpr Duration kHostPollPeriod = std::chrono::seconds(1);
// An older host list is not sent to siblings.
constexpr Duration kMaxHostListAge = 2 * kHostPollPeriod;
// Siblings queried at a time for the leaving hosts. The number is small because during an outage
// of the store every host sends these queries.
constexpr std::size_t kMaxQueriedHosts = 3;
// How long a confirmation by a majority remains valid: the control thread renews it with every
// tick, so that it expires only if that thread has stalled for this long.
constexpr Duration kMajorityConfirmationLifetime = std::chrono::milliseconds(500);
// A back end that has sent no report for this many periods counts as gone.
constexpr int kReportsUntilKnown = 3;
constexpr const char *kRegistrationRole = "registrations";
constexpr Duration kGaugePeriod = std::chrono::seconds(1);

/// The core's users of random numbers; each has its own stream.
enum class RandomStream : std::uint64_t {
    FeedReader,
    Members,
    Roles,
    Placement,
    Hosts,
    Ranges,
    Registrar,
    Publisher,
    Room,
};

std::uint64_t seedFor(std::uint64_t seed, RandomStream stream)
{
    Random random(seed + static_cast<std::uint64_t>(stream));
    return random.engine()();
}

/// @return the object kinds that a confirmation by @p store covers; empty for all.
std::set<ObjectKind> confirmedKinds(const ObjectStore &store)
{
    std::set<ObjectKind> kinds;
    for (const StoreFeed &feed : store.feeds()) {
        if (feed.confirms_)
            kinds.insert(feed.kinds_.begin(), feed.kinds_.end());
    }
    return kinds;
}

/// @return how requests name what they are for, where @p store has the configuration.
Addressing addressingOf(const ObjectStore &store)
{
    const std::vector<StoreFeed> feeds = store.feeds();
    const bool hasCatalogue = std::any_of(feeds.begin(), feeds.end(), [](const StoreFeed &feed) {
        return feed.kinds_.contains(ObjectKind::Catalogue);
    });
    return hasCatalogue ? Addressing::VirtualHost : Addressing::Path;
}

} // namespace

ControlCore::ControlCore(const MemberUpdate &self, const ControlOptions &options,
                         const ControlPorts &ports, SnapshotPublisher<RoutingTable> &routing,
                         SnapshotPublisher<TrafficView> &views, LogSink &log,
                         MetricRegistry &metrics)
    : self_(self)
    , options_(options)
    , store_(ports.store_)
    , siblings_(ports.siblings_)
    , runAfter_(ports.runAfter_)
    , clock_(ports.clock_)
    , routing_(routing)
    , views_(views)
    , log_(log)
    , metrics_(metrics)
    , addressing_(addressingOf(ports.store_))
    , configValidity_(std::make_shared<ConfigValidity>(options_.changeDeadline_))
    , config_(confirmedKinds(ports.store_), options_.missingTeams_)
    , zoneReturns_(kReportsUntilKnown * options_.backendReportPeriod_, options_.maxBackendsAge_)
    , random_(seedFor(ports.seed_, RandomStream::Hosts))
    , routers_(self_.member_.host_, siblings_,
               [this](const SiblingMessage &message) {
                   runAfter_(Duration::zero(),
                             [this, message] { onSiblingMessage(self_, message); });
               })
    , readerTree_(self_, options_.readers_)
    , feedReader_(options_, store_, config_, runAfter_, clock_,
                  seedFor(ports.seed_, RandomStream::FeedReader), log,
                  [this](bool isFirst) { onFeedRead(isFirst); })
    , registrar_(self_, store_, config_, runAfter_,
                 Random(seedFor(ports.seed_, RandomStream::Registrar)), log,
                 [this](const StoredObject &object) { onOwnWrite(object); })
    , members_(self_, Random(seedFor(ports.seed_, RandomStream::Members)), options.membership_,
               config_, siblings_, log, [this](const ConfigPush &push) { onConfigPush(push); })
    , room_(self_, members_.membership(), siblings_, tableBuilder_,
            Random(seedFor(ports.seed_, RandomStream::Room)), log, metrics)
    , publisher_(self_, config_, members_.membership(), siblings_,
                 Random(seedFor(ports.seed_, RandomStream::Publisher)))
    , roles_(self_.member_, Random(seedFor(ports.seed_, RandomStream::Roles)), store_, siblings_,
             members_, config_, *this, options_.boundsTerms_, clock_, log,
             [this](const StoredObject &object) { onOwnWrite(object); })
    , placement_(
          store_, ports.backends_, routers_, clock_,
          [this](const RoleName &role, TimePoint now) { return roles_.holds(role, now); },
          seedFor(ports.seed_, RandomStream::Placement), log, metrics,
          [this](const StoredObject &object) { onOwnWrite(object); })
    , ranges_(
          store_, ports.ranges_, options.ranges_, clock_,
          [this](const RoleName &role, TimePoint now) { return roles_.holds(role, now); },
          [this](const BackendName &backend) {
              const auto stats = tableBuilder_.stats(backend);
              return stats ? stats->usualPace() : 1;
          },
          seedFor(ports.seed_, RandomStream::Ranges), log, metrics,
          [this](const StoredObject &object) { onOwnWrite(object); })
    , allowance_(
          self_.member_.host_, tokenBuckets_, siblings_, options.accountGroups_,
          [this](const RoleName &role, TimePoint now) { return roles_.holds(role, now); }, metrics)
    , rolloutHost_(
          self_.member_, options.rollout_.maxShare_ > 0, routers_,
          [this](const BackendName &backend) {
              const auto stats = tableBuilder_.stats(backend);
              return stats ? stats->inFlight() : 0;
          },
          log)
    , rollouts_(
          options.rollout_, store_, routers_, clock_,
          [this](const RoleName &role, TimePoint now) { return roles_.holds(role, now); },
          [this](const ObjectRef &ref) { return config_.versionOf(ref); }, log, metrics,
          [this](const StoredObject &object) { onOwnWrite(object); })
{
    fleetState_.router_ = self_.member_.incarnation_;
    fleetState_.zone_ = self_.zone_;
    fleetState_.sharesRoom_ = options_.sharesRoom_;
}

void ControlCore::start()
{
    members_.addSeeds(options_.seeds_);
    feedReader_.start(clock_());
    if (store_.hasHostList())
        pollHosts();
}

void ControlCore::onFeedRead(bool isFirst)
{
    if (isFirst && !store_.hasHostList())
        registrar_.start();
    if (options_.readers_ > 0)
        publisher_.publishRead(readerTree_.isReader());
    onConfigChange(clock_());
}

void ControlCore::updateEntryHosts(const Configuration &configuration)
{
    std::vector<ListedHost> hosts;
    for (const auto &[name, entry] : configuration.entryHosts_) {
        hosts.push_back(ListedHost { name.str(), HostKind::Entry, HostState::Live, entry.zone_,
                                     entry.siblingAddress_ });
    }
    if (hosts == hosts_)
        return;
    hosts_ = hosts;
    members_.updateListed(hosts_);
}

void ControlCore::leave()
{
    const TimePoint now = clock_();
    isLeaving_ = true;
    publish(now);
    roles_.resign(now);
    members_.leave();
}

void ControlCore::endRegistration(std::function<void()> done)
{
    if (store_.hasHostList())
        done();
    else
        registrar_.unregister(std::move(done));
}

void ControlCore::onTokensNeeded(const AccountName &account)
{
    allowance_.onTokensNeeded(account, clock_());
}

void ControlCore::pollHosts()
{
    store_.hosts([this](const Reply<std::vector<ListedHost>> &reply) {
        const TimePoint now = clock_();
        const auto *hosts = std::get_if<std::vector<ListedHost>>(&reply);
        const bool hasRecovered = hosts && !isHostListReadable_;
        isHostListReadable_ = hosts != nullptr;
        const bool isFirst = !hasHostListReply_;
        hasHostListReply_ = true;
        if (!hosts) {
            requestLeavingHosts();
        } else {
            hostListReadAt_ = now;
            // The list replaces states received from siblings in the meantime, even if the list
            // itself has not changed.
            if (hasRecovered)
                hosts_.clear();
            onHostList(*hosts, now);
        }
        if (isFirst)
            onConfigChange(now);
        runAfter_(kHostPollPeriod, [this] { pollHosts(); });
    });
}

void ControlCore::onHostList(const std::vector<ListedHost> &hosts, TimePoint now)
{
    if (hosts == hosts_)
        return;
    hosts_ = hosts;
    members_.updateListed(hosts_);
    publishedDigest_ = 0;
    onConfigChange(now);
}

void ControlCore::requestLeavingHosts()
{
    std::vector<Member> others = members_.membership().view();
    std::erase(others, self_.member_);
    std::shuffle(others.begin(), others.end(), random_.engine());
    others.resize(std::min(others.size(), kMaxQueriedHosts));
    for (const Member &member : others)
        siblings_.send(member.host_, LeavingHostsPull {});
}

void ControlCore::onLeavingHostsPull(const HostName &from, TimePoint now)
{
    const bool isFresh = hostListReadAt_ && now < *hostListReadAt_ + kMaxHostListAge;
    if (!isFresh)
        return;
    LeavingHosts answer;
    for (const ListedHost &host : hosts_) {
        if (host.state_ == HostState::Leaving)
            answer.names_.push_back(host.name_);
    }
    siblings_.send(from, answer);
}

void ControlCore::onLeavingHosts(const LeavingHosts &message, TimePoint now)
{
    if (isHostListReadable_)
        return;
    const std::set<std::string> leaving { message.names_.begin(), message.names_.end() };
    bool hasChanged = false;
    for (ListedHost &host : hosts_) {
        const HostState state = leaving.contains(host.name_) ? HostState::Leaving : HostState::Live;
        hasChanged = hasChanged || state != host.state_;
        host.state_ = state;
    }
    if (!hasChanged)
        return;
    publishedDigest_ = 0;
    onConfigChange(now);
}

void ControlCore::onConfigPush(const ConfigPush &push)
{
    applyObjects(push.objects_, ObjectOrigin::Sibling, config_, log_);
    publisher_.relay(push);
    config_.adoptRevision(push.revision_);
    onConfigChange(clock_());
}

void ControlCore::onOwnWrite(const StoredObject &object)
{
    applyObjects({ object }, ObjectOrigin::Store, config_, log_);
    if (options_.readers_ > 0)
        publisher_.publish({ object });
    onConfigChange(clock_());
}

void ControlCore::onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now)
{
    placement_.onRoleGained(role, gained.epoch_, now);
    ranges_.onRoleGained(role, gained.epoch_, now);
    allowance_.onRoleGained(role, gained, now);
    rollouts_.onRoleGained(role, gained.epoch_);
}

void ControlCore::onRoleLost(const RoleName &role)
{
    placement_.onRoleLost(role);
    ranges_.onRoleLost(role);
    allowance_.onRoleLost(role);
    rollouts_.onRoleLost(role);
}

struct ControlCore::Dispatcher
{
    ControlCore &core_;
    const MemberUpdate &from_;
    const TimePoint now_;

    const HostName &host() const { return from_.member_.host_; }

    void operator()(const Hello &) const { }
    void operator()(const Probe &message) const { core_.members_.onMessage(host(), message, now_); }
    void operator()(const ProbeAck &message) const
    {
        core_.members_.onMessage(host(), message, now_);
    }
    void operator()(const ConfigPull &message) const { core_.members_.onMessage(host(), message); }
    void operator()(const ConfigPush &message) const { core_.members_.onMessage(message); }
    void operator()(const PromiseRequest &message) const
    {
        core_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const PromiseReply &message) const
    {
        core_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const ReleaseRequest &message) const
    {
        core_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const ReleaseReply &message) const
    {
        core_.roles_.onMessage(from_, message, now_);
    }
    void operator()(const StepDown &message) const { core_.roles_.onMessage(from_, message); }
    void operator()(const AllowanceRequests &message) const
    {
        core_.allowance_.onMessage(host(), message, now_);
    }
    void operator()(const AllowanceReplies &message) const
    {
        core_.allowance_.onMessage(message, now_);
    }
    void operator()(const BackendColdState &message) const
    {
        core_.applyBackendColdState(message, false, now_);
    }
    void operator()(const KeyLoad &message) const
    {
        core_.placement_.onKeyLoad(host(), message, now_);
        core_.ranges_.onKeyLoad(message);
    }
    void operator()(const RouterGrant &message) const { core_.onRouterGrant(from_, message, now_); }
    void operator()(const RouterGrantReply &message) const
    {
        core_.placement_.onMessage(from_.member_, message, now_);
    }
    void operator()(const LeavingHostsPull &) const { core_.onLeavingHostsPull(host(), now_); }
    void operator()(const LeavingHosts &message) const { core_.onLeavingHosts(message, now_); }
    void operator()(const RoomReport &message) const { core_.room_.onMessage(message, now_); }
    void operator()(const AllowanceReclaim &message) const
    {
        core_.allowance_.onMessage(host(), message, now_);
    }
    void operator()(const VersionOutcomeReport &message) const
    {
        core_.rollouts_.onMessage(host(), message, now_);
    }
    void operator()(const ExposureLeases &message) const { core_.rolloutHost_.onMessage(message); }
};

void ControlCore::onSiblingMessage(const MemberUpdate &from, const SiblingMessage &message)
{
    std::visit(Dispatcher { *this, from, clock_() }, message);
}

void ControlCore::onRouterGrant(const MemberUpdate &from, const RouterGrant &message, TimePoint now)
{
    const std::shared_ptr<RouterLease> routerLease
        = tableBuilder_.routerLease(message.grant_.service_);
    if (!routerLease)
        return;
    routers_.send(from.member_.host_, RouterGrantReply { message.grant_.service_,
                                                         routerLease->apply(message.grant_, now) });
}

void ControlCore::tick()
{
    const TimePoint now = clock_();
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    readerTree_.update(members_.membership());
    members_.setSource(readerTree_.source());
    members_.tick(now);
    // Before it knows the other hosts, each would be among the readers of its view.
    const bool isReader = readerTree_.isReader() && members_.isSettled(now);
    feedReader_.update(isReader, members_.hasDiverged(now), now);
    updateRouters();
    roles_.tick(*configuration, now);
    placement_.tick(now);
    ranges_.setStoreGeneration(generationOf(config_.revision()));
    ranges_.tick(now);
    allowance_.tick(now);
    rolloutHost_.tick(now);
    rollouts_.tick(now);
    room_.tick(now);
    expireWarmups(now);
    reportKeyLoads(now);
    settleReturnedZones(now);
    if (const auto age = config_.age(now)) {
        configValidity_->setValidUntil(configValidUntil(*age, now));
        configValidity_->setConfirmedAt(now - *age);
    }
    if (readinessAt(*configuration, now) != publishedReadiness_)
        publish(now);
    if (now >= nextGaugeUpdate_) {
        nextGaugeUpdate_ = now + kGaugePeriod;
        updateGauges(now);
        maintainRegistrations(*configuration, now);
    }
}

// The view is copied only when it changes, and not with each tick.
void ControlCore::updateRouters()
{
    const Membership &membership = members_.membership();
    if (membership.viewNumber() == routersViewNumber_)
        return;
    routersViewNumber_ = membership.viewNumber();
    const std::vector<Member> view = membership.view();
    placement_.setRouters({ view.begin(), view.end() });
    std::set<HostName> hosts;
    for (const Member &member : view)
        hosts.insert(member.host_);
    rollouts_.setHosts(hosts);
}

void ControlCore::maintainRegistrations(const Configuration &configuration, TimePoint now)
{
    if (store_.hasHostList() || !feedReader_.isComplete() || isLeaving_)
        return;
    registrar_.restoreIfRemoved(configuration);
    // Only one host may remove entries.
    if (!roles_.holds(registrationRole_, now))
        return;
    std::set<HostName> view;
    for (const Member &member : members_.membership().view())
        view.insert(member.host_);
    registrar_.removeAbsent(configuration, view, now);
}

Readiness ControlCore::readinessAt(const Configuration &configuration, TimePoint now) const
{
    if (isLeaving_)
        return Readiness::Stopping;
    const auto age = config_.age(now);
    // The store's confirmation also covers a catalogue that this host had to reject.
    const bool lacksCatalogue
        = addressing_ == Addressing::VirtualHost && !configuration.hasCatalogue_;
    if (!age || !isConfigurationComplete() || lacksCatalogue)
        return Readiness::Starting;
    return now < configValidUntil(*age, now) ? Readiness::Ready : Readiness::Stale;
}

// A single host cannot distinguish an outage of the store from its own isolation by a network
// partition; agreement with a majority rules the partition out.
TimePoint ControlCore::configValidUntil(Duration age, TimePoint now) const
{
    const TimePoint byStore = now - age + options_.maxConfigAge_;
    const bool isMajorityConfirmed = options_.majorityConfirms_ && members_.agreesWithMajority(now);
    return isMajorityConfirmed ? std::max(byStore, now + kMajorityConfirmationLifetime) : byStore;
}

bool ControlCore::isConfigurationComplete() const
{
    // A revision is set once the feeds or a sibling have delivered everything up to it.
    return store_.hasHostList() ? hasHostListReply_ : config_.revision() > Version {};
}

void ControlCore::onConfigChange(TimePoint now)
{
    // Without the host list, a back end that has been leaving for some time would be treated as
    // one that has only just started to leave; without all feeds, services would lack back ends.
    if (!isConfigurationComplete() || config_.digest() == publishedDigest_)
        return;
    publishedDigest_ = config_.digest();
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    if (!store_.hasHostList())
        updateEntryHosts(*configuration);
    trackZones(*configuration, now);
    fleetState_.leavingHosts_.clear();
    std::size_t entryHosts = 0;
    for (const ListedHost &host : hosts_) {
        if (host.state_ == HostState::Leaving)
            fleetState_.leavingHosts_.insert(host.name_);
        entryHosts += host.kind_ == HostKind::Entry ? 1 : 0;
    }
    fleetState_.entryHosts_ = std::max<std::size_t>(1, entryHosts);
    tokenBuckets_.update(*configuration);
    allowance_.onConfig(configuration, now);
    std::set<RoleName> roles = allowance_.roles();
    roles.merge(coordinatorRolesFor(*configuration));
    // Any role will do, so that there is one of its own only where no other is wanted.
    if (roles.empty() && !store_.hasHostList())
        roles.insert(RoleName(kRegistrationRole));
    registrationRole_ = roles.empty() ? RoleName() : *roles.begin();
    rolloutHost_.onConfig(configuration, now);
    rolloutHost_.addTo(fleetState_);
    rollouts_.onConfig(configuration, rolloutHost_.versions(), now);
    // Not for registrations, whose role would change with each roll-out.
    roles.merge(rollouts_.roles());
    roles_.setRoles(roles);
    roles_.onConfig(*configuration, now);
    std::set<std::string> withoutKeys = rolloutHost_.withheldFromKeys();
    withoutKeys.insert(fleetState_.leavingHosts_.begin(), fleetState_.leavingHosts_.end());
    placement_.onConfig(*configuration, withoutKeys, now);
    ranges_.onConfig(*configuration, withoutKeys);
    publish(now);
}

void ControlCore::trackZones(const Configuration &configuration, TimePoint now)
{
    for (const auto &[name, zone] : configuration.zones_) {
        const auto previous = zoneStates_.find(name);
        const bool hasReturned = previous != zoneStates_.end() && previous->second == ZoneState::Out
                                 && zone.state_ == ZoneState::In;
        if (hasReturned)
            onZoneReturn(name, now);
        if (zone.state_ == ZoneState::Out)
            zoneReturns_.onOut(name);
        zoneStates_[name] = zone.state_;
    }
    // A data centre whose object was deleted is in again.
    for (auto &[name, state] : zoneStates_) {
        if (state == ZoneState::In || configuration.zones_.contains(name))
            continue;
        onZoneReturn(name, now);
        state = ZoneState::In;
    }
}

void ControlCore::onZoneReturn(const ZoneName &zone, TimePoint now)
{
    fleetState_.zoneReturnedAt_[zone] = now;
    zoneReturns_.onReturn(zone, now);
    log_.write(LogLine(Severity::Info, "zone-returned").add("zone", zone.str()));
}

void ControlCore::settleReturnedZones(TimePoint now)
{
    const std::vector<ZoneName> settled
        = zoneReturns_.update(config_.age(now, KnowledgeArea::Backends), now);
    for (const ZoneName &zone : settled) {
        log_.write(
            LogLine(Severity::Info, "zone-settled")
                .add("zone", zone.str())
                .add("after_ms", toMilliseconds(now - fleetState_.zoneReturnedAt_.at(zone))));
    }
    if (!settled.empty())
        publish(now);
}

void ControlCore::publish(TimePoint now)
{
    fleetState_.presumedColdZones_ = zoneReturns_.awaited();
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = config_.configuration();
    view->routing_ = tableBuilder_.build(*view->configuration_, fleetState_, now);
    view->tokenBuckets_ = tokenBuckets_.tokenBuckets();
    view->readiness_ = readinessAt(*view->configuration_, now);
    view->addressing_ = addressing_;
    view->configValidity_ = configValidity_;
    publishedReadiness_ = view->readiness_;
    readiness_ = view->readiness_;
    room_.setTable(*view->routing_);
    routing_.publish(view->routing_);
    views_.publish(std::move(view));
}

void ControlCore::updateGauges(TimePoint now)
{
    const auto age = config_.age(now);
    metrics_
        .gauge("pimento_config_age_seconds",
               "Time since the store confirmed this host's configuration.")
        .set(age ? toSeconds(*age) : -1);
    for (const auto &row : EnumTable<KnowledgeArea>::kRows) {
        const auto areaAge = config_.age(now, row.value_);
        metrics_
            .gauge("pimento_knowledge_age_seconds",
                   "Time since the store confirmed a part of its content, by part; -1 for never.",
                   { Label { "area", std::string(row.name_) } })
            .set(areaAge ? toSeconds(*areaAge) : -1);
    }
    metrics_.gauge("pimento_config_revision", "Revision up to which the store has been read.")
        .set(static_cast<double>(config_.revision().value_));
    metrics_
        .gauge("pimento_catalogue_revision",
               "Revision of the catalogue in force; 0 if there is none.")
        .set(static_cast<double>(revisionOf(config_.configuration()->catalogueVersion_)));
    updateRejectionMetrics(config_, metrics_);
    metrics_.gauge("pimento_view_hosts", "Entry hosts believed to be alive, this one included.")
        .set(static_cast<double>(members_.membership().view().size()));
    std::size_t held = 0;
    for (const auto &[role, elector] : roles_.electors())
        held += elector->holds(now) ? 1 : 0;
    metrics_.gauge("pimento_roles_held", "Roles in which this host may act.")
        .set(static_cast<double>(held));
    metrics_.gauge("pimento_units_moving", "Shards and hot keys on their way between owners.")
        .set(static_cast<double>(placement_.movingUnits()));
    metrics_.gauge("pimento_ranges_moving", "Key ranges on their way between owners.")
        .set(static_cast<double>(ranges_.movingRanges()));
}

void ControlCore::applyBackendColdState(const BackendColdState &coldState, bool isObservedHere,
                                        TimePoint now)
{
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    const auto backend = configuration->backends_.find(coldState.backend_);
    const std::shared_ptr<BackendStats> stats = tableBuilder_.stats(coldState.backend_);
    if (!stats || backend == configuration->backends_.end())
        return;
    const std::vector<Member> view = members_.membership().view();
    const std::vector<Member> ranked = rankedFor(RoleName(coldState.backend_.str()), view);
    const bool isAssignedHere = !ranked.empty() && ranked.front() == self_.member_;
    bool hasChanged = true;
    if (coldState.isCold_) {
        hasChanged = stats->warmup().start(isAssignedHere, backend->second.slots_, now);
        coldBackends_.insert(coldState.backend_);
    } else {
        stats->warmup().finish();
    }
    if (!isObservedHere || !hasChanged)
        return;
    log_.write(LogLine(Severity::Info, coldState.isCold_ ? "backend-cold" : "backend-warm")
                   .add("backend", coldState.backend_.str())
                   .add("warmed_up_here", isAssignedHere));
    for (const Member &member : view) {
        if (member != self_.member_)
            siblings_.send(member.host_, coldState);
    }
}

// Traffic threads report separately; the loads of one period are summed.
void ControlCore::addKeyLoad(const KeyLoad &load)
{
    KeyLoad &sum = keyLoads_[load.service_];
    sum.service_ = load.service_;
    sum.total_ += load.total_;
    for (const KeyRate &key : load.keys_) {
        const auto found = std::find_if(sum.keys_.begin(), sum.keys_.end(),
                                        [&](const auto &other) { return other.key_ == key.key_; });
        if (found == sum.keys_.end())
            sum.keys_.push_back(key);
        else
            found->rate_ += key.rate_;
    }
}

void ControlCore::reportKeyLoads(TimePoint now)
{
    if (now < nextKeyLoadReport_)
        return;
    nextKeyLoadReport_ = now + kKeyLoadPeriod;
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    for (const auto &[service, load] : keyLoads_) {
        const auto role = configuration->roles_.find(coordinatorRoleOf(service));
        if (role == configuration->roles_.end())
            continue;
        const HostName &holder = role->second.holder_.host_;
        if (holder != self_.member_.host_) {
            siblings_.send(holder, load);
            continue;
        }
        placement_.onKeyLoad(holder, load, now);
        ranges_.onKeyLoad(load);
    }
    keyLoads_.clear();
}

// Nothing but applyBackendColdState() begins a cold start, so only those back ends are looked at.
void ControlCore::expireWarmups(TimePoint now)
{
    if (coldBackends_.empty())
        return;
    const std::shared_ptr<const Configuration> configuration = config_.configuration();
    std::erase_if(coldBackends_, [&](const BackendName &name) {
        const auto stats = tableBuilder_.stats(name);
        if (stats && configuration->backends_.contains(name))
            stats->warmup().expire(now);
        return !stats || !stats->warmup().isCold();
    });
}

} // namespace pimentostage
