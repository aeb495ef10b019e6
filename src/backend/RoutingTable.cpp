#include "pimentostage/backend/RoutingTable.h"

#include "pimentostage/backend/BalancingStrategy.h"
#include "pimentostage/backend/Units.h"
#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// At most this share of a service's back ends is passed over because of ejection.
constexpr double kMostEjectedShare = 0.5;

// Requests that run and wait at a back end, by its slots, above which it gets no more.
constexpr double kMostLoad = 1.7;
// Requests of one host that are sent whatever the last report said.
constexpr std::uint32_t kAlwaysAllowed = 1;

// Share of its traffic that a back end gets as soon as its data centre is back.
constexpr double kLeastRampShare = 0.1;

bool contains(const std::vector<BackendName> &names, const BackendName &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::uint32_t hostLimit(const Backend &backend, const Service &service, std::size_t entryHosts)
{
    const auto hosts = static_cast<std::uint32_t>(std::max<std::size_t>(1, entryHosts));
    const std::uint32_t most
        = service.connections_ > 0 ? service.connections_ : backend.connections_;
    return std::max(1U, most / hosts);
}

} // namespace

bool Candidate::hasRoom(TimePoint now) const
{
    if (!stats_->coldStart().hasRoom(now))
        return false;
    if (!followsReports_ || stats_->inFlight() < kAlwaysAllowed)
        return true;
    return stats_->load(now) < kMostLoad * backend_.slots_;
}

bool Candidate::tryBegin(TimePoint now) const
{
    // Nobody else may be able to run the request: a cold one gets one at a time from each host.
    if (!hasRoom(now) || !stats_->tryBegin(std::max(1U, presentLimit())))
        return false;
    // Another thread may have taken the last token of a cold start.
    if (stats_->coldStart().take(now))
        return true;
    stats_->end();
    return false;
}

bool Candidate::mayServeAsOwner(TimePoint now) const
{
    return takesNewWork_ || now < withdrawnAt_ + kHandoverTime;
}

double Candidate::share(TimePoint now) const
{
    if (ramp_ <= Duration::zero() || now >= rampStart_ + ramp_)
        return 1;
    const double passed = toSeconds(now - rampStart_) / toSeconds(ramp_);
    return std::max(kLeastRampShare, passed);
}

const Candidate *ServiceRoutes::find(const BackendName &name) const
{
    const auto found = indexByName_.find(name.str());
    return found == indexByName_.end() ? nullptr : &candidates_[found->second];
}

std::shared_ptr<const RoutingTable> RoutingTableBuilder::build(const Configuration &configuration,
                                                               const FleetFacts &facts,
                                                               TimePoint now)
{
    auto table = std::make_shared<RoutingTable>();
    for (const auto &[name, service] : configuration.services_) {
        ServiceRoutes &routes = table->services_[name.str()];
        routes.service_ = service;
        const auto placement = configuration.placements_.find(name);
        if (placement != configuration.placements_.end())
            routes.placement_ = placement->second;
        const auto ranges = configuration.ranges_.find(name);
        if (ranges != configuration.ranges_.end())
            routes.ranges_ = ranges->second;
        const bool isOrdered = service.division_ == KeyDivision::Ordered;
        if (isOrdered || !service.keyed_ || service.fencing_ == Fencing::Checked)
            continue;
        std::shared_ptr<RoutingFence> &fence = fences_[name];
        if (!fence)
            fence = std::make_shared<RoutingFence>(facts.router_);
        routes.fence_ = fence;
    }
    for (const auto &[name, backend] : configuration.backends_) {
        const auto routes = table->services_.find(backend.service_.str());
        if (routes == table->services_.end())
            continue;
        Candidate candidate;
        candidate.backend_ = backend;
        const bool isKnown = known_.contains(name);
        const Service &service = routes->second.service_;
        candidate.stats_ = updateKnown(backend, service, facts, now).stats_;
        candidate.limit_ = hostLimit(backend, service, facts.entryHosts_);
        candidate.followsReports_ = service.balancing_ == Balancing::ExpectedTime;
        candidate.isNear_ = backend.zone_ == facts.zone_;
        candidate.takesNewWork_ = configuration.isZoneIn(backend.zone_)
                                  && !facts.leavingHosts_.contains(name.str())
                                  && backend.state_ == BackendState::Ready;
        // One that was withdrawn before this host knew it has had its time.
        if (candidate.takesNewWork_)
            withdrawnAt_.erase(name);
        else
            candidate.withdrawnAt_
                = withdrawnAt_.try_emplace(name, isKnown ? now : TimePoint {}).first->second;
        const auto returned = facts.zoneReturnedAt_.find(backend.zone_);
        if (returned != facts.zoneReturnedAt_.end()) {
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
    std::erase_if(known_, isUnlisted);
    std::erase_if(withdrawnAt_, isUnlisted);
    return table;
}

// Of a new process nothing is known, whatever its predecessor was like.
const RoutingTableBuilder::Known &RoutingTableBuilder::updateKnown(const Backend &backend,
                                                                   const Service &service,
                                                                   const FleetFacts &facts,
                                                                   TimePoint now)
{
    Known &known = known_[backend.name_];
    const bool isNewProcess = !known.stats_ || known.incarnation_ != backend.incarnation_;
    if (isNewProcess)
        known.stats_ = std::make_shared<BackendStats>();
    const bool startsCold = backend.coldFor_ > Duration::zero()
                            && (isNewProcess || known.coldFor_ != backend.coldFor_);
    if (startsCold && service.coldRate_ > 0) {
        const double rate = service.coldRate_ / static_cast<double>(facts.entryHosts_);
        const std::uint64_t spread
            = hash64(backend.name_.str() + '/' + std::to_string(facts.router_.value_));
        known.stats_->coldStart().begin(now + backend.coldFor_, rate,
                                        std::ldexp(static_cast<double>(spread), -64), now);
    }
    known.incarnation_ = backend.incarnation_;
    known.coldFor_ = backend.coldFor_;
    return known;
}

std::shared_ptr<BackendStats> RoutingTableBuilder::stats(const BackendName &backend) const
{
    const auto found = known_.find(backend);
    return found == known_.end() ? nullptr : found->second.stats_;
}

std::shared_ptr<RoutingFence> RoutingTableBuilder::fence(const ServiceName &service) const
{
    const auto found = fences_.find(service);
    return found == fences_.end() ? nullptr : found->second;
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
    choice.candidate_ = selectBalanced(routes, tried, random, now);
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
    // An owner that takes no new work serves until its keys have moved, but not for long: they may
    // have nowhere to go.
    if (!candidate || !candidate->mayServeAsOwner(now))
        return {};
    // Nobody else can run the request: a cold owner gets one at a time from each host.
    const std::uint32_t limit = std::max(1U, candidate->presentLimit());
    BackendChoice choice;
    choice.isBusy_ = !candidate->stats_->tryBegin(limit);
    if (choice.isBusy_)
        return choice;
    choice.candidate_ = candidate;
    choice.unit_ = unitOf(*routes.placement_, key);
    choice.epoch_ = owner.epoch_;
    if (routes.fence_ && !routes.fence_->tryBegin(choice.unit_, choice.epoch_, now)) {
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
    if (!row || row->owner_.isNobody() || !row->previous_.isNobody())
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
    Choices choices = sortCandidates(routes, tried, random, now);
    const auto total = static_cast<double>(choices.usable_.size() + choices.ejected_.size());
    const bool isTooManyEjected
        = static_cast<double>(choices.ejected_.size()) > kMostEjectedShare * total;
    std::vector<const Candidate *> &usable = choices.usable_;
    if (isTooManyEjected)
        usable.insert(usable.end(), choices.ejected_.begin(), choices.ejected_.end());
    if (usable.empty())
        usable = choices.ramping_;
    // Others warm these up; they are used only by a host that has none of its own.
    if (usable.empty() && !choices.hasOwn_)
        usable = choices.cold_;
    const BalancingStrategy &strategy = strategyFor(routes.service_.balancing_);
    while (!usable.empty()) {
        const std::size_t index = strategy.pick(usable, random, now);
        if (usable[index]->tryBegin(now))
            return usable[index];
        usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return nullptr;
}

BackendSelector::Choices BackendSelector::sortCandidates(const ServiceRoutes &routes,
                                                         const std::vector<BackendName> &tried,
                                                         Random &random, TimePoint now)
{
    Choices choices;
    for (const Candidate &candidate : routes.candidates_) {
        if (!candidate.takesNewWork_ || contains(tried, candidate.backend_.name_))
            continue;
        const std::uint32_t limit = candidate.presentLimit();
        choices.hasOwn_ = choices.hasOwn_ || limit > 0;
        const bool isFull
            = candidate.stats_->inFlight() >= std::max(1U, limit) || !candidate.hasRoom(now);
        if (isFull)
            continue;
        if (limit == 0)
            choices.cold_.push_back(&candidate);
        else if (candidate.stats_->isEjected(now))
            choices.ejected_.push_back(&candidate);
        else if (random.unit() >= candidate.share(now))
            choices.ramping_.push_back(&candidate);
        else
            choices.usable_.push_back(&candidate);
    }
    return choices;
}

} // namespace pimentostage
