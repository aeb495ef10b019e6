#include "pimentostage/backend/RoutingTable.h"

#include "pimentostage/backend/BalancingStrategy.h"
#include "pimentostage/backend/LatestProcesses.h"
#include "pimentostage/backend/Units.h"
#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// Ejections are ignored if they affect more than this fraction of a service's back ends.
constexpr double kMaxEjectedFraction = 0.5;

// Requests in flight from one host that are allowed regardless of the last load report.
constexpr std::uint32_t kMinInFlight = 1;

// Share of its traffic that a back end is sent as soon as its data centre returns to service.
constexpr double kMinRampShare = 0.1;

bool contains(const std::vector<BackendName> &names, const BackendName &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isAny(const Candidate &)
{
    return true;
}

bool isOfTarget(const Candidate &candidate)
{
    return candidate.isTarget_;
}

bool isOfCurrent(const Candidate &candidate)
{
    return !candidate.isTarget_;
}

std::uint32_t hostLimit(const Backend &backend, const Service &service, std::size_t entryHosts)
{
    const auto hosts = static_cast<std::uint32_t>(std::max<std::size_t>(1, entryHosts));
    const std::uint32_t maxConnections
        = service.connections_ > 0 ? service.connections_ : backend.connections_;
    return std::max(1U, maxConnections / hosts);
}

/// Limits the requests to a back end that is cold, or counts as cold, to this host's part of the
/// rate that it supports.
/// @param startsCold whether its entry announces a cold start.
void limitColdStart(ColdStart &coldStart, bool startsCold, const Backend &backend,
                    const Service &service, const FleetState &fleet, TimePoint now)
{
    const double rate = service.coldRate_ / static_cast<double>(fleet.entryHosts_);
    const std::uint64_t hash
        = hash64(backend.name_.str() + '/' + std::to_string(fleet.router_.value_));
    const double phase = std::ldexp(static_cast<double>(hash), -64);
    const bool hasColdRate = service.coldRate_ > 0;
    if (hasColdRate && startsCold)
        coldStart.begin(now + backend.coldFor_, rate, phase, now);
    if (hasColdRate && fleet.presumedColdZones_.contains(backend.zone_))
        coldStart.presume(rate, phase, now);
    else
        coldStart.endPresumption();
}

} // namespace

bool Candidate::hasCapacity(TimePoint now) const
{
    if (!stats_->coldStart().hasCapacity(now))
        return false;
    if (isRoomShared(now))
        return stats_->room().hasRoom(maxLoad(), stats_->inFlight(), rivals(now), stats_->latency(),
                                      now);
    if (!usesLoadReports_ || stats_->inFlight() < kMinInFlight)
        return true;
    return stats_->load(now) < kMaxLoadPerSlot * backend_.slots_;
}

double Candidate::load(TimePoint now) const
{
    if (!isRoomShared(now))
        return stats_->load(now);
    return stats_->room().load(stats_->inFlight(), rivals(now), stats_->latency(), now);
}

bool Candidate::tryBegin(TimePoint now) const
{
    // There may be no other back end, so each host may send a cold one a single request at a time.
    if (!hasCapacity(now) || !stats_->tryBegin(std::max(1U, currentLimit())))
        return false;
    // Another thread may have taken the last token of a cold start.
    if (stats_->coldStart().tryAcquire(now)) {
        stats_->room().onSent(now);
        if (sharing_)
            sharing_->onSent(now);
        return true;
    }
    stats_->end();
    return false;
}

bool Candidate::mayServeAsOwner(TimePoint now) const
{
    return takesNewWork_ || now < withdrawnAt_ + kHandoverTimeout;
}

double Candidate::share(TimePoint now) const
{
    if (ramp_ <= Duration::zero() || now >= rampStart_ + ramp_)
        return 1;
    const double progress = toSeconds(now - rampStart_) / toSeconds(ramp_);
    return std::max(kMinRampShare, progress);
}

const Candidate *ServiceRoutes::find(const BackendName &name) const
{
    const auto found = indexByName_.find(name.str());
    return found == indexByName_.end() ? nullptr : &candidates_[found->second];
}

std::shared_ptr<const RoutingTable> RoutingTableBuilder::build(const Configuration &configuration,
                                                               const FleetState &fleet,
                                                               TimePoint now)
{
    auto table = std::make_shared<RoutingTable>();
    table->hasTeams_ = !configuration.hasCatalogue_ || !configuration.contracts_.empty();
    for (const auto &[name, service] : configuration.services_) {
        ServiceRoutes &routes = table->services_[name.str()];
        routes.service_ = service;
        const auto placement = configuration.placements_.find(name);
        if (placement != configuration.placements_.end())
            routes.placement_ = placement->second;
        const auto ranges = configuration.ranges_.find(name);
        if (ranges != configuration.ranges_.end())
            routes.ranges_ = ranges->second;
        const auto rollout = fleet.rollouts_.find(name);
        if (rollout != fleet.rollouts_.end())
            routes.rollout_ = rollout->second;
        const bool isOrdered = service.division_ == KeyDivision::Ordered;
        if (isOrdered || !service.keyed_ || service.fencing_ == Fencing::Checked)
            continue;
        std::shared_ptr<RouterLease> &routerLease = routerLeases_[name];
        if (!routerLease)
            routerLease = std::make_shared<RouterLease>(fleet.router_);
        routes.routerLease_ = routerLease;
    }
    const LatestProcesses latest(configuration);
    for (const auto &[name, backend] : configuration.backends_) {
        const auto routes = table->services_.find(backend.service_.str());
        if (routes == table->services_.end())
            continue;
        Candidate candidate;
        candidate.backend_ = backend;
        const bool isRecorded = records_.contains(name);
        const Service &service = routes->second.service_;
        candidate.stats_ = updateRecord(backend, service, fleet, now).stats_;
        candidate.limit_ = hostLimit(backend, service, fleet.entryHosts_);
        candidate.usesLoadReports_ = service.balancing_ == Balancing::ExpectedTime;
        candidate.isOwner_ = service.division_ == KeyDivision::Ordered;
        candidate.sharing_ = roomSharing(service, fleet);
        candidate.isLocal_ = backend.zone_ == fleet.zone_;
        const RolloutTraffic *rollout = routes->second.rollout_.get();
        candidate.isTarget_ = rollout && backend.version_ == rollout->target();
        candidate.takesNewWork_
            = configuration.isZoneIn(backend.zone_) && !fleet.leavingHosts_.contains(name.str())
              && !fleet.withheldBackends_.contains(name.str())
              && backend.state_ == BackendState::Ready
              && !latest.replacementOf({ name, backend.incarnation_ }, backend.address_);
        // A back end that was withdrawn before this host first recorded it gets no handover time.
        if (candidate.takesNewWork_)
            withdrawnAt_.erase(name);
        else
            candidate.withdrawnAt_
                = withdrawnAt_.try_emplace(name, isRecorded ? now : TimePoint {}).first->second;
        const auto returned = fleet.zoneReturnedAt_.find(backend.zone_);
        if (returned != fleet.zoneReturnedAt_.end()) {
            candidate.rampStart_ = returned->second;
            const auto zone = configuration.zones_.find(backend.zone_);
            candidate.ramp_
                = zone == configuration.zones_.end() ? Duration::zero() : zone->second.ramp_;
        }
        routes->second.indexByName_[name.str()] = routes->second.candidates_.size();
        routes->second.candidates_.push_back(std::move(candidate));
    }
    const auto isUnlisted
        = [&](const auto &entry) { return !configuration.backends_.contains(entry.first); };
    std::erase_if(records_, isUnlisted);
    std::erase_if(withdrawnAt_, isUnlisted);
    return table;
}

std::shared_ptr<RoomSharing> RoutingTableBuilder::roomSharing(const Service &service,
                                                              const FleetState &fleet)
{
    if (!fleet.sharesRoom_ || service.balancing_ != Balancing::ExpectedTime)
        return nullptr;
    std::shared_ptr<RoomSharing> &sharing = roomSharings_[service.name_];
    if (!sharing)
        sharing = std::make_shared<RoomSharing>(hash64(std::to_string(fleet.router_.value_)));
    sharing->setHosts(fleet.entryHosts_);
    return sharing;
}

void RoutingTableBuilder::onRoomReport(TimePoint now)
{
    for (const auto &[service, sharing] : roomSharings_)
        sharing->onReport(now);
}

// A new process starts without observations; those of its predecessor do not apply to it. An entry
// with an earlier start than the last one is of a former process, and the store applied it late, or
// of a new one on a host whose clock was set back; so it ends no cold start, but may begin one.
const RoutingTableBuilder::BackendRecord &RoutingTableBuilder::updateRecord(const Backend &backend,
                                                                            const Service &service,
                                                                            const FleetState &fleet,
                                                                            TimePoint now)
{
    BackendRecord &record = records_[backend.name_];
    const bool isOtherProcess = !record.stats_ || record.incarnation_ != backend.incarnation_;
    const bool isLatest = !record.stats_ || backend.incarnation_ >= record.latest_;
    if (!record.stats_ || backend.incarnation_ > record.latest_)
        record.stats_ = std::make_shared<BackendStats>();
    const bool startsCold = backend.coldFor_ > Duration::zero()
                            && (isOtherProcess || record.coldFor_ != backend.coldFor_)
                            && (isLatest || !record.stats_->coldStart().isCold(now));
    limitColdStart(record.stats_->coldStart(), startsCold, backend, service, fleet, now);
    record.incarnation_ = backend.incarnation_;
    record.latest_ = std::max(record.latest_, backend.incarnation_);
    record.coldFor_ = backend.coldFor_;
    return record;
}

std::shared_ptr<BackendStats> RoutingTableBuilder::stats(const BackendName &backend) const
{
    const auto found = records_.find(backend);
    return found == records_.end() ? nullptr : found->second.stats_;
}

std::shared_ptr<RouterLease> RoutingTableBuilder::routerLease(const ServiceName &service) const
{
    const auto found = routerLeases_.find(service);
    return found == routerLeases_.end() ? nullptr : found->second;
}

ShardId shardOf(std::string_view key, std::size_t shardCount)
{
    return ShardId { hash64(key) % shardCount };
}

const ShardOwner &ownerOf(const Placement &placement, std::string_view key)
{
    const auto hot = std::lower_bound(
        placement.hotKeys_.begin(), placement.hotKeys_.end(), key,
        [](const HotKey &hotKey, std::string_view wanted) { return hotKey.key_ < wanted; });
    if (hot != placement.hotKeys_.end() && hot->key_ == key)
        return hot->owner_;
    return placement.shards_[shardOf(key, placement.shards_.size()).value_];
}

BackendChoice BackendSelector::select(const ServiceRoutes &routes, const RequestKey &key,
                                      const std::vector<BackendName> &tried, Random &random,
                                      TimePoint now)
{
    if (key.ordered_)
        return selectRangeOwner(routes, *key.ordered_, now);
    if (routes.service_.keyed_)
        return selectOwner(routes, key.text_, now);
    BackendChoice choice;
    choice.candidate_ = routes.rollout_ ? selectVersion(routes, tried, random, now)
                                        : selectBalanced(routes, tried, random, now);
    choice.isBusy_ = !choice.candidate_
                     && std::any_of(routes.candidates_.begin(), routes.candidates_.end(),
                                    [&](const Candidate &candidate) {
                                        return candidate.takesNewWork_
                                               && !contains(tried, candidate.backend_.name_);
                                    });
    return choice;
}

BackendChoice BackendSelector::selectOwner(const ServiceRoutes &routes, std::string_view key,
                                           TimePoint now)
{
    if (!routes.placement_)
        return {};
    const ShardOwner &owner = ownerOf(*routes.placement_, key);
    const Candidate *candidate = routes.find(owner.backend_);
    // An owner that takes no new work serves until its keys have moved. The time is limited because
    // there may be no back end to move them to.
    if (!candidate || !candidate->mayServeAsOwner(now))
        return {};
    // No other back end can run it, so each host may send a cold owner a single request at a time.
    const std::uint32_t limit = std::max(1U, candidate->currentLimit());
    BackendChoice choice;
    choice.isBusy_ = !candidate->stats_->tryBegin(limit);
    if (choice.isBusy_)
        return choice;
    choice.candidate_ = candidate;
    choice.unit_ = unitOf(*routes.placement_, key);
    choice.epoch_ = owner.epoch_;
    if (routes.routerLease_ && !routes.routerLease_->tryBegin(choice.unit_, choice.epoch_, now)) {
        candidate->stats_->end();
        return {};
    }
    return choice;
}

BackendChoice BackendSelector::selectRangeOwner(const ServiceRoutes &routes, std::uint32_t key,
                                                TimePoint now)
{
    BackendChoice choice;
    const RangeOwner *row = routes.ranges_ ? routes.ranges_->find(key) : nullptr;
    if (!row || row->owner_.isNone() || !row->previous_.isNone())
        return choice;
    const Candidate *candidate = routes.find(row->owner_.name_);
    const bool isOwner = candidate && candidate->backend_.incarnation_ == row->owner_.incarnation_;
    if (!isOwner || !candidate->takesNewWork_)
        return choice;
    choice.isBusy_ = !candidate->tryBegin(now);
    if (choice.isBusy_)
        return choice;
    choice.candidate_ = candidate;
    choice.epoch_ = row->epoch_;
    return choice;
}

const Candidate *BackendSelector::selectBalanced(const ServiceRoutes &routes,
                                                 const std::vector<BackendName> &tried,
                                                 Random &random, TimePoint now)
{
    return pick(routes, usableCandidates(routes, &isAny, true, tried, random, now), random, now);
}

// Requests of the exposure budget go to the target, so that it gets them under the load of the
// version in force. A repeated request has failed somewhere and is not risked at the target.
const Candidate *BackendSelector::selectVersion(const ServiceRoutes &routes,
                                                const std::vector<BackendName> &tried,
                                                Random &random, TimePoint now)
{
    ExposureBudget &budget = routes.rollout_->budget();
    const bool mayUseCurrent = budget.mayUseCurrent(now);
    if (tried.empty() || !mayUseCurrent) {
        std::vector<const Candidate *> target
            = usableCandidates(routes, &isOfTarget, !mayUseCurrent, tried, random, now);
        if (!target.empty() && budget.trySend(now)) {
            if (const Candidate *candidate = pick(routes, std::move(target), random, now))
                return candidate;
        }
    }
    if (!mayUseCurrent)
        return nullptr;
    const Candidate *candidate = pick(
        routes, usableCandidates(routes, &isOfCurrent, true, tried, random, now), random, now);
    // It is counted as running by now, so a report that this host has left the version in force
    // cannot miss it.
    if (!candidate || budget.mayUseCurrent(now))
        return candidate;
    candidate->stats_->end();
    return nullptr;
}

std::vector<const Candidate *> BackendSelector::usableCandidates(
    const ServiceRoutes &routes, Filter filter, bool mayUseCold,
    const std::vector<BackendName> &tried, Random &random, TimePoint now)
{
    CandidateGroups groups = groupCandidates(routes, filter, tried, random, now);
    const auto total = static_cast<double>(groups.usable_.size() + groups.ejected_.size());
    const bool areTooManyEjected
        = static_cast<double>(groups.ejected_.size()) > kMaxEjectedFraction * total;
    std::vector<const Candidate *> &usable = groups.usable_;
    if (areTooManyEjected)
        usable.insert(usable.end(), groups.ejected_.begin(), groups.ejected_.end());
    if (usable.empty())
        usable = groups.ramping_;
    // Other hosts warm these up; they are used only if this host may use no other back end.
    if (usable.empty() && mayUseCold && !groups.hasPermitted_)
        usable = groups.cold_;
    return usable;
}

const Candidate *BackendSelector::pick(const ServiceRoutes &routes,
                                       std::vector<const Candidate *> usable, Random &random,
                                       TimePoint now)
{
    const BalancingStrategy &strategy = strategyFor(routes.service_.balancing_);
    while (!usable.empty()) {
        const std::size_t index = strategy.pick(usable, random, now);
        if (usable[index]->tryBegin(now))
            return usable[index];
        usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return nullptr;
}

BackendSelector::CandidateGroups BackendSelector::groupCandidates(
    const ServiceRoutes &routes, Filter filter, const std::vector<BackendName> &tried,
    Random &random, TimePoint now)
{
    CandidateGroups groups;
    std::size_t choices = 0;
    for (const Candidate &candidate : routes.candidates_) {
        const bool isCandidate = filter(candidate) && candidate.takesNewWork_
                                 && !contains(tried, candidate.backend_.name_);
        if (!isCandidate)
            continue;
        choices += candidate.stats_->room().hasKnownRoom(candidate.maxLoad(),
                                                         candidate.stats_->inFlight(), now)
                       ? 1
                       : 0;
        const std::uint32_t limit = candidate.currentLimit();
        groups.hasPermitted_ = groups.hasPermitted_ || limit > 0;
        const bool isFull
            = candidate.stats_->inFlight() >= std::max(1U, limit) || !candidate.hasCapacity(now);
        if (isFull)
            continue;
        if (limit == 0)
            groups.cold_.push_back(&candidate);
        else if (candidate.stats_->isEjected(now))
            groups.ejected_.push_back(&candidate);
        else if (random.unit() >= candidate.share(now))
            groups.ramping_.push_back(&candidate);
        else
            groups.usable_.push_back(&candidate);
    }
    if (!routes.candidates_.empty() && routes.candidates_.front().sharing_)
        routes.candidates_.front().sharing_->setChoices(std::max<std::size_t>(1, choices));
    return groups;
}

} // namespace pimentostage
