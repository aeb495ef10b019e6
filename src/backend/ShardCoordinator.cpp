#include "pimentostage/backend/ShardCoordinator.h"

#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/base/Hash.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A server that has not answered for this long is given no more units.
constexpr Duration kAnswerWindow = 4 * kGrantPeriod;
// How often a server is asked whether requests for units withdrawn from it have ended.
constexpr Duration kDrainingPeriod = std::chrono::milliseconds(5);
constexpr Duration kReadPeriod = std::chrono::milliseconds(100);
// Part of the shards that may move at once only to even out the load.
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
    const auto place = std::lower_bound(
        placement.hotKeys_.begin(), placement.hotKeys_.end(), hotKey.key_,
        [](const HotKey &known, const std::string &key) { return known.key_ < key; });
    placement.hotKeys_.insert(place, std::move(hotKey));
}

} // namespace

UnitName shardUnit(ShardId shard)
{
    return UnitName("s" + std::to_string(shard.value_));
}

UnitName hotKeyUnit(std::string_view key)
{
    return UnitName("k" + std::to_string(hash64(key)));
}

UnitName unitOf(const Placement &placement, std::string_view key)
{
    const bool isHot = std::any_of(placement.hotKeys_.begin(), placement.hotKeys_.end(),
                                   [&](const HotKey &hotKey) { return hotKey.key_ == key; });
    return isHot ? hotKeyUnit(key) : shardUnit(shardOf(key, placement.shards_.size()));
}

ShardCoordinator::ShardCoordinator(const Service &service, std::uint64_t seed)
    : service_(service)
    , seed_(seed)
{ }

std::string ShardCoordinator::newNonce()
{
    return std::to_string(seed_) + '-' + std::to_string(++nonces_);
}

CoordinatorActions ShardCoordinator::begin(Epoch roleEpoch, TimePoint now)
{
    end();
    roleEpoch_ = roleEpoch;
    begunAt_ = now;
    return read(now);
}

void ShardCoordinator::end()
{
    roleEpoch_.reset();
    phase_ = Phase::Reading;
    isReading_ = false;
    writing_.reset();
    moves_.clear();
    writingUnits_.clear();
    hotChanges_.clear();
    plannedPlacement_.reset();
    std::erase_if(servers_, [](const auto &entry) { return !entry.second.isKnown_; });
    for (auto &[name, server] : servers_) {
        const CoordinatedBackend facts = server.facts_;
        server = Server {};
        server.facts_ = facts;
        server.isKnown_ = true;
    }
}

void ShardCoordinator::setBackends(const std::map<BackendName, CoordinatedBackend> &backends)
{
    for (auto &[name, server] : servers_)
        server.isKnown_ = false;
    for (const auto &[name, facts] : backends) {
        Server &server = servers_[name];
        server.facts_ = facts;
        server.isKnown_ = true;
    }
    unitsChanged_ = true;
}

void ShardCoordinator::setHotKeys(const std::vector<std::string> &keys)
{
    hotKeys_ = keys;
}

CoordinatorActions ShardCoordinator::read(TimePoint now)
{
    isReading_ = true;
    nextRead_ = now + kReadPeriod;
    return { ReadPlacement {} };
}

void ShardCoordinator::onReadFailed(TimePoint now)
{
    isReading_ = false;
    nextRead_ = now + kReadPeriod;
}

CoordinatorActions ShardCoordinator::onRead(const std::optional<Placement> &placement,
                                            Version version, TimePoint now)
{
    isReading_ = false;
    if (!isActive() || phase_ == Phase::Ready)
        return {};
    const bool isOurWrite = writing_ && placement && placement->nonce_ == writing_->nonce_;
    if (isOurWrite)
        return onWritten(version, now);
    const bool isNotWritten = writing_ && version == version_;
    if (isNotWritten)
        return { WritePlacement { *writing_, version_ } };
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
    // The first write under this role makes every write of an earlier coordinator fail that is
    // still on its way.
    current.roleEpoch_ = *roleEpoch_;
    return write(std::move(current));
}

void ShardCoordinator::adopt(const Placement &placement, Version version)
{
    placement_ = std::make_shared<const Placement>(placement);
    version_ = version;
    moves_.clear();
    writingUnits_.clear();
    hotChanges_.clear();
    unitsChanged_ = true;
    const auto mayHoldLease = [this](const BackendName &owner) {
        if (owner.isEmpty())
            return;
        Server &server = servers_[owner];
        server.leaseUntil_
            = std::max(server.leaseUntil_, begunAt_ + kClockDrift.stretched(kServerLease));
    };
    for (const ShardOwner &owner : placement.shards_)
        mayHoldLease(owner.backend_);
    for (const HotKey &hotKey : placement.hotKeys_)
        mayHoldLease(hotKey.owner_.backend_);
}

CoordinatorActions ShardCoordinator::write(Placement next)
{
    next.nonce_ = newNonce();
    writing_ = next;
    phase_ = Phase::Writing;
    return { WritePlacement { std::move(next), version_ } };
}

CoordinatorActions ShardCoordinator::onWritten(Version version, TimePoint)
{
    if (!isActive() || !writing_)
        return {};
    placement_ = std::make_shared<const Placement>(std::move(*writing_));
    writing_.reset();
    version_ = version;
    phase_ = Phase::Ready;
    for (const UnitName &unit : writingUnits_)
        moves_.erase(unit);
    writingUnits_.clear();
    std::erase_if(hotChanges_, [&](const auto &entry) {
        return isHot(entry.first) == !entry.second.to_.isEmpty();
    });
    unitsChanged_ = true;
    return {};
}

bool ShardCoordinator::isHot(const std::string &key) const
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
    nextRead_ = now + kReadPeriod;
}

CoordinatorActions ShardCoordinator::tick(TimePoint now)
{
    CoordinatorActions actions;
    if (!isActive())
        return actions;
    const bool mustRead = phase_ == Phase::Reading && !isReading_ && now >= nextRead_;
    if (mustRead)
        actions = read(now);
    const bool hasWrittenFirst
        = placement_ && (phase_ == Phase::Ready || placement_->roleEpoch_ == *roleEpoch_);
    if (!hasWrittenFirst)
        return actions;
    if (phase_ == Phase::Ready) {
        planMoves(now, actions);
        writeMoves(now, actions);
    }
    sendGrants(now, actions);
    return actions;
}

bool ShardCoordinator::isAnswering(const Server &server, TimePoint now)
{
    return server.repliedAt_ + kAnswerWindow > now;
}

std::size_t ShardCoordinator::answeringBackends(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(),
                      [&](const auto &entry) { return isAnswering(entry.second, now); }));
}

// A server that is silent but may still hold its lease keeps what it owns and gains nothing.
std::vector<PlacementBackend> ShardCoordinator::placementBackends(TimePoint now) const
{
    std::vector<PlacementBackend> backends;
    for (const auto &[name, server] : servers_) {
        const bool isLost = !isAnswering(server, now) && now >= server.leaseUntil_;
        if (!server.isKnown_ || !server.facts_.takesNewWork_ || isLost)
            continue;
        backends.push_back({ name, server.facts_.capacity_, isAnswering(server, now) });
    }
    return backends;
}

MoveReason ShardCoordinator::reasonToLeave(const BackendName &owner) const
{
    if (owner.isEmpty())
        return MoveReason::Unowned;
    const auto found = servers_.find(owner);
    const bool isWithdrawn
        = found == servers_.end() || !found->second.isKnown_ || !found->second.facts_.takesNewWork_;
    if (isWithdrawn)
        return MoveReason::OwnerWithdrawn;
    const bool stays = std::any_of(plannedFor_.begin(), plannedFor_.end(),
                                   [&](const auto &backend) { return backend.name_ == owner; });
    return stays ? MoveReason::Balance : MoveReason::OwnerLost;
}

void ShardCoordinator::planMoves(TimePoint now, CoordinatorActions &actions)
{
    const std::vector<PlacementBackend> backends = placementBackends(now);
    const bool isNews = backends != plannedFor_ || plannedPlacement_ != placement_;
    plannedFor_ = backends;
    if (isNews)
        planShards(now, actions);
    plannedPlacement_ = placement_;
    planHotKeys(now, actions);
}

void ShardCoordinator::planShards(TimePoint, CoordinatorActions &actions)
{
    std::vector<BackendName> owners;
    owners.reserve(placement_->shards_.size());
    for (const ShardOwner &owner : placement_->shards_)
        owners.push_back(owner.backend_);
    const std::vector<BackendName> wanted = PlacementPlanner::plan(owners, plannedFor_);
    const std::size_t mostBalanceMoves = 1 + owners.size() / kBalanceMovesDivisor;
    std::size_t balanceMoves = 0;
    for (std::size_t shard = 0; shard < owners.size(); ++shard) {
        const UnitName unit = shardUnit(ShardId { shard });
        const auto moving = moves_.find(unit);
        if (moving != moves_.end()) {
            // The target may have been lost since; it owns nothing yet.
            const bool isHotChange = moving->second.reason_ == MoveReason::HotKey;
            if (!isHotChange && !wanted[shard].isEmpty())
                moving->second.to_ = wanted[shard];
            continue;
        }
        if (wanted[shard] == owners[shard] || wanted[shard].isEmpty())
            continue;
        const MoveReason reason = reasonToLeave(owners[shard]);
        if (reason == MoveReason::Balance && ++balanceMoves > mostBalanceMoves)
            continue;
        startMove(unit, owners[shard], wanted[shard], reason, actions);
    }
}

BackendName ShardCoordinator::leastBurdened(TimePoint now) const
{
    std::map<BackendName, std::size_t> burden;
    for (const auto &[name, server] : servers_) {
        if (server.isKnown_ && server.facts_.takesNewWork_ && isAnswering(server, now))
            burden[name] = 0;
    }
    const auto count = [&](const BackendName &owner) {
        const auto found = burden.find(owner);
        if (found != burden.end())
            ++found->second;
    };
    for (const HotKey &hotKey : placement_->hotKeys_)
        count(hotKey.owner_.backend_);
    for (const auto &[key, change] : hotChanges_)
        count(change.to_);
    const auto least
        = std::min_element(burden.begin(), burden.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    return least == burden.end() ? BackendName() : least->first;
}

void ShardCoordinator::planHotKeys(TimePoint now, CoordinatorActions &actions)
{
    const auto isWanted = [&](const std::string &key) {
        return std::find(hotKeys_.begin(), hotKeys_.end(), key) != hotKeys_.end();
    };
    for (const std::string &key : hotKeys_) {
        if (isHot(key) || hotChanges_.contains(key))
            continue;
        const BackendName to = leastBurdened(now);
        if (!to.isEmpty())
            startHotChange(key, to, actions);
    }
    for (const HotKey &hotKey : placement_->hotKeys_) {
        if (hotChanges_.contains(hotKey.key_))
            continue;
        if (!isWanted(hotKey.key_)) {
            startHotChange(hotKey.key_, BackendName(), actions);
            continue;
        }
        const UnitName unit = hotKeyUnit(hotKey.key_);
        const MoveReason reason = reasonToLeave(hotKey.owner_.backend_);
        const BackendName to = leastBurdened(now);
        const bool mustLeave = reason != MoveReason::Balance && !to.isEmpty();
        if (mustLeave && !moves_.contains(unit))
            startMove(unit, hotKey.owner_.backend_, to, reason, actions);
    }
}

void ShardCoordinator::startHotChange(const std::string &key, const BackendName &to,
                                      CoordinatorActions &actions)
{
    const ShardId shard = shardOf(key, placement_->shards_.size());
    const UnitName unit = shardUnit(shard);
    if (moves_.contains(unit) || moves_.contains(hotKeyUnit(key)))
        return;
    const BackendName owner = placement_->shards_[shard.value_].backend_;
    if (owner.isEmpty())
        return;
    hotChanges_[key] = HotChange { to };
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

bool ShardCoordinator::isReleased(const UnitName &unit, const Move &move, TimePoint now) const
{
    if (move.from_.isEmpty())
        return true;
    const auto found = servers_.find(move.from_);
    if (found == servers_.end())
        return now >= begunAt_ + kClockDrift.stretched(kServerLease);
    const Server &server = found->second;
    if (now >= server.leaseUntil_)
        return true;
    const bool isTaken
        = server.unitsSequence_ > 0 && server.ackedSequence_ >= server.unitsSequence_;
    return isTaken && !server.sentUnits_.contains(unit) && !server.draining_.contains(unit);
}

std::set<UnitName> ShardCoordinator::releasedUnits(TimePoint now) const
{
    std::set<UnitName> released;
    for (const auto &[unit, move] : moves_) {
        if (isReleased(unit, move, now))
            released.insert(unit);
    }
    return released;
}

bool ShardCoordinator::isHotChangeReady(const std::string &key, const HotChange &change,
                                        const std::set<UnitName> &released) const
{
    const bool joins = !change.to_.isEmpty();
    const ShardId shard = shardOf(key, placement_->shards_.size());
    return released.contains(shardUnit(shard)) && (joins || released.contains(hotKeyUnit(key)));
}

void ShardCoordinator::writeMoves(TimePoint now, CoordinatorActions &actions)
{
    std::set<UnitName> released = releasedUnits(now);
    // A shard whose move is part of a change of hot keys waits for all of that change.
    for (const auto &[key, change] : hotChanges_) {
        if (!isHotChangeReady(key, change, released)) {
            released.erase(shardUnit(shardOf(key, placement_->shards_.size())));
            released.erase(hotKeyUnit(key));
        }
    }
    if (released.empty())
        return;
    Placement next = *placement_;
    next.epoch_ = next.epoch_.next();
    applyMoves(next, released);
    writingUnits_ = std::move(released);
    for (CoordinatorAction &action : write(std::move(next)))
        actions.push_back(std::move(action));
}

void ShardCoordinator::applyMoves(Placement &next, const std::set<UnitName> &released) const
{
    for (const auto &[key, change] : hotChanges_) {
        if (!isHotChangeReady(key, change, released))
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

std::map<BackendName, GrantedUnits> ShardCoordinator::grantedUnits() const
{
    std::map<BackendName, GrantedUnits> units;
    for (std::size_t shard = 0; shard < placement_->shards_.size(); ++shard) {
        const UnitName unit = shardUnit(ShardId { shard });
        if (!moves_.contains(unit))
            units[placement_->shards_[shard].backend_][unit] = placement_->shards_[shard].epoch_;
    }
    for (const HotKey &hotKey : placement_->hotKeys_) {
        const UnitName unit = hotKeyUnit(hotKey.key_);
        if (!moves_.contains(unit))
            units[hotKey.owner_.backend_][unit] = hotKey.owner_.epoch_;
    }
    return units;
}

void ShardCoordinator::updateUnits()
{
    std::map<BackendName, GrantedUnits> granted = grantedUnits();
    for (auto &[name, server] : servers_) {
        GrantedUnits &units = granted[name];
        const bool isNews = server.unitsSequence_ == 0 || units != server.sentUnits_;
        if (!isNews)
            continue;
        server.sentUnits_ = std::move(units);
        server.sentDigest_ = digestOf(server.sentUnits_);
        server.unitsSequence_ = server.sequence_ + 1;
        server.nextGrant_ = TimePoint {};
    }
    unitsChanged_ = false;
}

void ShardCoordinator::sendGrants(TimePoint now, CoordinatorActions &actions)
{
    if (unitsChanged_)
        updateUnits();
    for (auto &[name, server] : servers_) {
        const bool isGone = !server.isKnown_ && now >= server.leaseUntil_;
        if (isGone || now < server.nextGrant_)
            continue;
        server.nextGrant_ = now + kGrantPeriod;
        if (server.stamp_) {
            const TimePoint until = server.stampAt_ + kClockDrift.stretched(kServerLease);
            server.leaseUntil_ = std::max(server.leaseUntil_, until);
        }
        actions.emplace_back(SendGrant { name, grantFor(server) });
    }
}

Grant ShardCoordinator::grantFor(Server &server) const
{
    Grant grant;
    grant.service_ = service_.name_;
    grant.roleEpoch_ = *roleEpoch_;
    grant.sequence_ = ++server.sequence_;
    grant.stamp_ = server.stamp_.value_or(ServerStamp {});
    grant.lease_ = kServerLease;
    grant.unitsDigest_ = server.sentDigest_;
    if (server.ackedSequence_ < server.unitsSequence_)
        grant.units_ = server.sentUnits_;
    return grant;
}

void ShardCoordinator::onGrantReply(const BackendName &backend, const GrantReply &reply,
                                    TimePoint now)
{
    const auto found = servers_.find(backend);
    if (!isActive() || found == servers_.end())
        return;
    Server &server = found->second;
    const bool isRestarted
        = server.stamp_ && server.stamp_->incarnation_ != reply.stamp_.incarnation_;
    const bool isOlder = server.stamp_ && !isRestarted && reply.stamp_.at_ < server.stamp_->at_;
    const bool isForeign = reply.roleEpoch_ > *roleEpoch_;
    if (isOlder || isForeign)
        return;
    const bool isFirst = !server.stamp_ || isRestarted;
    server.stamp_ = reply.stamp_;
    server.stampAt_ = now;
    server.repliedAt_ = now;
    const bool isOurs = reply.roleEpoch_ == *roleEpoch_;
    server.ackedSequence_ = isOurs ? reply.sequence_ : 0;
    server.draining_ = { reply.draining_.begin(), reply.draining_.end() };
    const bool mustResend = isFirst || reply.result_ == GrantResult::UnknownStamp
                            || reply.result_ == GrantResult::UnknownUnits;
    if (reply.result_ == GrantResult::UnknownUnits)
        server.ackedSequence_ = 0;
    if (mustResend)
        server.nextGrant_ = now;
    else if (!server.draining_.empty())
        server.nextGrant_ = std::min(server.nextGrant_, now + kDrainingPeriod);
}

} // namespace pimentostage
