#include "pimentostage/backend/ShardCoordinator.h"

#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/backend/UnitFence.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr Duration kReadPeriod = std::chrono::milliseconds(100);
// At most 1 + shards / divisor shards start to move in one plan just to balance the load.
constexpr std::size_t kBalanceMovesDivisor = 16;

HotKey *findHotKey(Placement &placement, const std::string &key)
{
    for (HotKey &hotKey : placement.hotKeys_) {
        if (hotKey.key_ == key)
            return &hotKey;
    }
    return nullptr;
}

void insertHotKey(Placement &placement, HotKey hotKey)
{
    const auto position = std::lower_bound(
        placement.hotKeys_.begin(), placement.hotKeys_.end(), hotKey.key_,
        [](const HotKey &existing, const std::string &key) { return existing.key_ < key; });
    placement.hotKeys_.insert(position, std::move(hotKey));
}

} // namespace

ShardCoordinator::ShardCoordinator(const Service &service, std::uint64_t seed)
    : service_(service)
    , seed_(seed)
    , fence_(UnitFence::forService(service))
{ }

ShardCoordinator::~ShardCoordinator() = default;

std::string ShardCoordinator::makeNonce()
{
    return std::to_string(seed_) + '-' + std::to_string(++nonceCount_);
}

CoordinatorActions ShardCoordinator::begin(Epoch roleEpoch, TimePoint now)
{
    end();
    roleEpoch_ = roleEpoch;
    fence_->begin(roleEpoch, now);
    return read(now);
}

void ShardCoordinator::end()
{
    roleEpoch_.reset();
    phase_ = Phase::Reading;
    isReading_ = false;
    pendingWrite_.reset();
    moves_.clear();
    pendingUnits_.clear();
    hotKeyChanges_.clear();
    plannedPlacement_.reset();
    fence_->end();
}

void ShardCoordinator::setBackends(const std::map<BackendName, CoordinatedBackend> &backends,
                                   TimePoint now)
{
    for (const auto &[name, backend] : backends) {
        // A back end already withdrawn when first reported here counts as past its
        // kHandoverTimeout.
        const bool isKnown = backends_.contains(name);
        if (backend.takesNewWork_)
            withdrawnAt_.erase(name);
        else
            withdrawnAt_.try_emplace(name, isKnown ? now : TimePoint {});
    }
    backends_ = backends;
    std::set<BackendName> names;
    for (const auto &[name, backend] : backends)
        names.insert(name);
    fence_->setBackends(names);
    unitsChanged_ = true;
}

void ShardCoordinator::setRouters(const std::set<Member> &routers)
{
    fence_->setRouters(routers);
    unitsChanged_ = true;
}

void ShardCoordinator::setHotKeys(const std::vector<std::string> &keys)
{
    hotKeys_ = keys;
}

CoordinatorActions ShardCoordinator::read(TimePoint now)
{
    isReading_ = true;
    nextReadAt_ = now + kReadPeriod;
    return { ReadPlacement {} };
}

void ShardCoordinator::onReadFailed(TimePoint now)
{
    isReading_ = false;
    nextReadAt_ = now + kReadPeriod;
}

CoordinatorActions ShardCoordinator::onRead(const std::optional<Placement> &placement,
                                            Version version, TimePoint now)
{
    isReading_ = false;
    if (!isActive() || phase_ == Phase::Ready)
        return {};
    const bool isOurWrite
        = pendingWrite_ && placement && placement->nonce_ == pendingWrite_->nonce_;
    if (isOurWrite)
        return onWritten(version, now);
    const bool isNotWritten = pendingWrite_ && version == version_;
    if (isNotWritten)
        return { WritePlacement { *pendingWrite_, version_ } };
    Placement current;
    if (placement) {
        current = *placement;
    } else {
        current.service_ = service_.name_;
        current.shards_.resize(service_.shardCount_);
    }
    const bool isSuperseded = current.roleEpoch_ > *roleEpoch_;
    if (isSuperseded) {
        end();
        return {};
    }
    adopt(current, version);
    // The first write under this role makes any write of an earlier coordinator that is still in
    // flight fail.
    current.roleEpoch_ = *roleEpoch_;
    current.routers_ = fence_->routersToRecord(now);
    return write(std::move(current));
}

void ShardCoordinator::adopt(const Placement &placement, Version version)
{
    placement_ = std::make_shared<const Placement>(placement);
    version_ = version;
    moves_.clear();
    pendingUnits_.clear();
    hotKeyChanges_.clear();
    unitsChanged_ = true;
    fence_->adopt(placement);
}

CoordinatorActions ShardCoordinator::write(Placement next)
{
    next.nonce_ = makeNonce();
    pendingWrite_ = next;
    phase_ = Phase::Writing;
    return { WritePlacement { std::move(next), version_ } };
}

CoordinatorActions ShardCoordinator::onWritten(Version version, TimePoint)
{
    if (!isActive() || !pendingWrite_)
        return {};
    placement_ = std::make_shared<const Placement>(std::move(*pendingWrite_));
    pendingWrite_.reset();
    version_ = version;
    phase_ = Phase::Ready;
    for (const UnitName &unit : pendingUnits_)
        moves_.erase(unit);
    pendingUnits_.clear();
    fence_->onRoutersRecorded(placement_->routers_);
    std::erase_if(hotKeyChanges_, [&](const auto &entry) {
        return isHotKey(entry.first) == !entry.second.to_.isEmpty();
    });
    unitsChanged_ = true;
    return {};
}

bool ShardCoordinator::isHotKey(const std::string &key) const
{
    return std::any_of(placement_->hotKeys_.begin(), placement_->hotKeys_.end(),
                       [&](const HotKey &hotKey) { return hotKey.key_ == key; });
}

CoordinatorActions ShardCoordinator::onConflict(TimePoint now)
{
    if (!isActive())
        return {};
    phase_ = Phase::Reading;
    return read(now);
}

void ShardCoordinator::onWriteFailed(TimePoint now)
{
    phase_ = Phase::Reading;
    nextReadAt_ = now + kReadPeriod;
}

CoordinatorActions ShardCoordinator::tick(TimePoint now)
{
    CoordinatorActions actions;
    if (!isActive())
        return actions;
    const bool mustRead = phase_ == Phase::Reading && !isReading_ && now >= nextReadAt_;
    if (mustRead)
        actions = read(now);
    const bool hasClaimedPlacement
        = placement_ && (phase_ == Phase::Ready || placement_->roleEpoch_ == *roleEpoch_);
    if (!hasClaimedPlacement)
        return actions;
    if (phase_ == Phase::Ready) {
        planMoves(now, actions);
        writeMoves(now, actions);
    }
    sendGrants(now, actions);
    return actions;
}

std::size_t ShardCoordinator::responsiveBackends(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(backends_.begin(), backends_.end(),
                      [&](const auto &entry) { return fence_->isResponsive(entry.first, now); }));
}

// A server that does not reply but may still hold a lease keeps its units and gains none.
std::vector<PlacementBackend> ShardCoordinator::placementBackends(TimePoint now) const
{
    std::vector<PlacementBackend> backends;
    backends.reserve(backends_.size());
    for (const auto &[name, backend] : backends_) {
        if (backend.takesNewWork_ && !fence_->isLost(name, now))
            backends.push_back({ name, backend.capacity_, fence_->isResponsive(name, now) });
    }
    return backends;
}

MoveReason ShardCoordinator::reasonToMove(const BackendName &owner) const
{
    if (owner.isEmpty())
        return MoveReason::Unowned;
    const auto found = backends_.find(owner);
    const bool isWithdrawn = found == backends_.end() || !found->second.takesNewWork_;
    if (isWithdrawn)
        return MoveReason::OwnerWithdrawn;
    const bool stays = std::any_of(plannedBackends_.begin(), plannedBackends_.end(),
                                   [&](const auto &backend) { return backend.name_ == owner; });
    return stays ? MoveReason::Balance : MoveReason::OwnerLost;
}

void ShardCoordinator::planMoves(TimePoint now, CoordinatorActions &actions)
{
    std::vector<PlacementBackend> backends = placementBackends(now);
    const bool hasChanged = backends != plannedBackends_ || plannedPlacement_ != placement_;
    if (hasChanged) {
        plannedBackends_ = std::move(backends);
        planShards(now, actions);
    }
    plannedPlacement_ = placement_;
    planHotKeys(now, actions);
}

void ShardCoordinator::planShards(TimePoint, CoordinatorActions &actions)
{
    std::vector<BackendName> owners;
    owners.reserve(placement_->shards_.size());
    for (const ShardOwner &owner : placement_->shards_)
        owners.push_back(owner.backend_);
    const std::vector<BackendName> wanted = PlacementPlanner::plan(owners, plannedBackends_);
    const std::size_t maxBalanceMoves = 1 + owners.size() / kBalanceMovesDivisor;
    std::size_t balanceMoves = 0;
    for (std::size_t shard = 0; shard < owners.size(); ++shard) {
        const UnitName unit = shardUnit(ShardId { shard });
        const auto moving = moves_.find(unit);
        if (moving != moves_.end()) {
            // The target may have been lost since the move started; it does not own the shard yet.
            const bool isHotKeyChange = moving->second.reason_ == MoveReason::HotKey;
            if (!isHotKeyChange && !wanted[shard].isEmpty())
                moving->second.to_ = wanted[shard];
            continue;
        }
        if (wanted[shard] == owners[shard] || wanted[shard].isEmpty())
            continue;
        const MoveReason reason = reasonToMove(owners[shard]);
        if (reason == MoveReason::Balance && ++balanceMoves > maxBalanceMoves)
            continue;
        startMove(unit, owners[shard], wanted[shard], reason, actions);
    }
}

BackendName ShardCoordinator::backendWithFewestHotKeys(TimePoint now) const
{
    std::map<BackendName, std::size_t> hotKeyCounts;
    for (const auto &[name, backend] : backends_) {
        if (backend.takesNewWork_ && fence_->isResponsive(name, now))
            hotKeyCounts[name] = 0;
    }
    const auto count = [&](const BackendName &owner) {
        const auto found = hotKeyCounts.find(owner);
        if (found != hotKeyCounts.end())
            ++found->second;
    };
    for (const HotKey &hotKey : placement_->hotKeys_)
        count(hotKey.owner_.backend_);
    for (const auto &[key, change] : hotKeyChanges_)
        count(change.to_);
    const auto fewest
        = std::min_element(hotKeyCounts.begin(), hotKeyCounts.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    return fewest == hotKeyCounts.end() ? BackendName() : fewest->first;
}

void ShardCoordinator::planHotKeys(TimePoint now, CoordinatorActions &actions)
{
    const auto isWanted = [&](const std::string &key) {
        return std::find(hotKeys_.begin(), hotKeys_.end(), key) != hotKeys_.end();
    };
    for (const std::string &key : hotKeys_) {
        if (isHotKey(key) || hotKeyChanges_.contains(key))
            continue;
        const BackendName to = backendWithFewestHotKeys(now);
        if (!to.isEmpty())
            startHotKeyChange(key, to, actions);
    }
    for (const HotKey &hotKey : placement_->hotKeys_) {
        if (hotKeyChanges_.contains(hotKey.key_))
            continue;
        if (!isWanted(hotKey.key_)) {
            startHotKeyChange(hotKey.key_, BackendName(), actions);
            continue;
        }
        const UnitName unit = hotKeyUnit(hotKey.key_);
        const MoveReason reason = reasonToMove(hotKey.owner_.backend_);
        const BackendName to = backendWithFewestHotKeys(now);
        const bool mustLeave = reason != MoveReason::Balance && !to.isEmpty();
        if (mustLeave && !moves_.contains(unit))
            startMove(unit, hotKey.owner_.backend_, to, reason, actions);
    }
}

void ShardCoordinator::startHotKeyChange(const std::string &key, const BackendName &to,
                                         CoordinatorActions &actions)
{
    const ShardId shard = shardOf(key, placement_->shards_.size());
    const UnitName unit = shardUnit(shard);
    if (moves_.contains(unit) || moves_.contains(hotKeyUnit(key)))
        return;
    const BackendName owner = placement_->shards_[shard.value_].backend_;
    if (owner.isEmpty())
        return;
    hotKeyChanges_[key] = HotKeyChange { to };
    startMove(unit, owner, owner, MoveReason::HotKey, actions);
    for (const HotKey &hotKey : placement_->hotKeys_) {
        if (hotKey.key_ == key)
            startMove(hotKeyUnit(key), hotKey.owner_.backend_, owner, MoveReason::HotKey, actions);
    }
}

void ShardCoordinator::startMove(const UnitName &unit, const BackendName &from,
                                 const BackendName &to, MoveReason reason,
                                 CoordinatorActions &actions)
{
    moves_[unit] = Move { from, to, reason };
    unitsChanged_ = true;
    actions.emplace_back(MoveDecided { unit.str(), from, to, reason });
}

std::set<UnitName> ShardCoordinator::releasedUnits(TimePoint now) const
{
    std::set<UnitName> released;
    for (const auto &[unit, move] : moves_) {
        if (move.from_.isEmpty() || fence_->isReleased(unit, move.from_, now))
            released.insert(unit);
    }
    return released;
}

bool ShardCoordinator::isHotKeyChangeReady(const std::string &key, const HotKeyChange &change,
                                           const std::set<UnitName> &released) const
{
    const bool isAdded = !change.to_.isEmpty();
    const ShardId shard = shardOf(key, placement_->shards_.size());
    return released.contains(shardUnit(shard)) && (isAdded || released.contains(hotKeyUnit(key)));
}

void ShardCoordinator::writeMoves(TimePoint now, CoordinatorActions &actions)
{
    std::set<UnitName> released = releasedUnits(now);
    // A shard that moves as part of a hot-key change waits until the whole change is ready.
    for (const auto &[key, change] : hotKeyChanges_) {
        if (!isHotKeyChangeReady(key, change, released)) {
            released.erase(shardUnit(shardOf(key, placement_->shards_.size())));
            released.erase(hotKeyUnit(key));
        }
    }
    std::vector<Member> routers = fence_->routersToRecord(now);
    if (released.empty() && routers == placement_->routers_)
        return;
    Placement next = *placement_;
    next.routers_ = std::move(routers);
    next.epoch_ = next.epoch_.next();
    applyMoves(next, released);
    pendingUnits_ = std::move(released);
    for (CoordinatorAction &action : write(std::move(next)))
        actions.push_back(std::move(action));
}

void ShardCoordinator::applyMoves(Placement &next, const std::set<UnitName> &released) const
{
    for (const auto &[key, change] : hotKeyChanges_) {
        if (!isHotKeyChangeReady(key, change, released))
            continue;
        if (change.to_.isEmpty()) {
            std::erase_if(next.hotKeys_,
                          [&wanted = key](const HotKey &hot) { return hot.key_ == wanted; });
            continue;
        }
        if (!findHotKey(next, key))
            insertHotKey(next, HotKey { key, ShardOwner { change.to_, next.epoch_ } });
    }
    for (HotKey &hotKey : next.hotKeys_) {
        const UnitName unit = hotKeyUnit(hotKey.key_);
        if (released.contains(unit))
            hotKey.owner_ = ShardOwner { moves_.at(unit).to_, next.epoch_ };
    }
    for (std::size_t shard = 0; shard < next.shards_.size(); ++shard) {
        const UnitName unit = shardUnit(ShardId { shard });
        if (released.contains(unit))
            next.shards_[shard] = ShardOwner { moves_.at(unit).to_, next.epoch_ };
    }
}

// A back end that takes no new work keeps its units while they move, for kHandoverTimeout at most.
void ShardCoordinator::expireHandovers(TimePoint now)
{
    std::set<BackendName> expired;
    for (const auto &[name, at] : withdrawnAt_) {
        if (hasHandoverExpired(name, now))
            expired.insert(name);
    }
    unitsChanged_ = unitsChanged_ || expired != expiredHandovers_;
    expiredHandovers_ = std::move(expired);
}

bool ShardCoordinator::hasHandoverExpired(const BackendName &owner, TimePoint now) const
{
    const auto found = withdrawnAt_.find(owner);
    return found != withdrawnAt_.end() && now >= found->second + kHandoverTimeout;
}

std::map<BackendName, GrantedUnits> ShardCoordinator::grantedUnits(TimePoint now) const
{
    std::map<BackendName, GrantedUnits> units;
    for (std::size_t shard = 0; shard < placement_->shards_.size(); ++shard) {
        const UnitName unit = shardUnit(ShardId { shard });
        const ShardOwner &owner = placement_->shards_[shard];
        if (!moves_.contains(unit) && !hasHandoverExpired(owner.backend_, now))
            units[owner.backend_][unit] = owner.epoch_;
    }
    for (const HotKey &hotKey : placement_->hotKeys_) {
        const UnitName unit = hotKeyUnit(hotKey.key_);
        if (!moves_.contains(unit) && !hasHandoverExpired(hotKey.owner_.backend_, now))
            units[hotKey.owner_.backend_][unit] = hotKey.owner_.epoch_;
    }
    return units;
}

void ShardCoordinator::sendGrants(TimePoint now, CoordinatorActions &actions)
{
    expireHandovers(now);
    if (unitsChanged_)
        fence_->setUnits(grantedUnits(now));
    unitsChanged_ = false;
    fence_->collectDueActions(now, actions);
}

void ShardCoordinator::onGrantReply(const BackendName &backend, const GrantReply &reply,
                                    TimePoint now)
{
    if (isActive())
        fence_->onGrantReply(backend, reply, now);
}

void ShardCoordinator::onRouterReply(const Member &router, const GrantReply &reply, TimePoint now)
{
    if (isActive())
        fence_->onRouterReply(router, reply, now);
}

void ShardCoordinator::onProbeReply(const BackendName &backend, TimePoint now)
{
    if (isActive())
        fence_->onProbeReply(backend, now);
}

} // namespace pimentostage
