#include "tests/fakes/RangeSimulation.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr Duration kDelay = std::chrono::milliseconds(1); // one way
constexpr Duration kOrderTimeout = std::chrono::milliseconds(600);
constexpr Duration kReleaseTimeout = std::chrono::seconds(3);
// Time until the store reports that a process has ended or was replaced.
constexpr Duration kRegistrationDelay = std::chrono::milliseconds(400);
// Time until the store removes the entry of a process that ended without notice.
constexpr Duration kEntryLifetime = std::chrono::milliseconds(2600);
constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr double kClockSlowdown = 1.02; // factor by which a server's clock is slow
constexpr std::uint32_t kSampleStep = 1021; // distance between sampled keys

bool overlaps(const KeyRange &a, const KeyRange &b)
{
    return a.from_ <= b.to_ && b.from_ <= a.to_;
}

} // namespace

RangeSimulation::RangeSimulation(std::size_t servers, std::uint64_t seed)
    : store_(events_)
    , random_(seed)
{
    store_.faults_.delay_ = std::chrono::milliseconds(2);
    for (std::size_t i = 0; i < servers; ++i) {
        Server server;
        server.process_
            = { BackendName("s" + std::to_string(i)), Incarnation { ++lastIncarnation_ } };
        addresses_[server.process_.name_] = servers_.size();
        servers_.push_back(server);
    }
    changeCoordinator(Duration::zero());
}

void RangeSimulation::changeCoordinator(Duration gap)
{
    const std::uint64_t generation = ++generation_;
    coordinator_.reset();
    for (Server &server : servers_)
        disconnect(server);
    events_.after(gap, [this, generation] {
        if (generation != generation_)
            return;
        coordinator_ = std::make_unique<RangeCoordinator>(
            ServiceName("permits"), RangeCoordinatorOptions {}, Random(random_.engine()()));
        updateBackends();
        perform(coordinator_->begin(Epoch { generation }, coordinatorTime()));
        scheduleTick(generation);
    });
}

void RangeSimulation::scheduleTick(std::uint64_t generation)
{
    events_.after(kTickPeriod, [this, generation] {
        if (generation != generation_)
            return;
        for (const auto &[bucket, requests] : load_)
            coordinator_->addLoad(bucket, requests * toSeconds(kTickPeriod));
        perform(coordinator_->tick(coordinatorTime()));
        scheduleTick(generation);
    });
}

void RangeSimulation::run(Duration time)
{
    events_.runUntil(events_.now() + time, [] {});
}

void RangeSimulation::updateBackends()
{
    if (!coordinator_)
        return;
    RangeCoordinator::Backends backends;
    for (const Server &server : servers_) {
        if (server.isUp_)
            backends[server.process_] = PlannedBackend { 6, server.takesNewWork_ };
        for (const BackendProcess &process : server.formerProcesses_)
            backends[process] = PlannedBackend { 6, true };
    }
    coordinator_->setBackends(backends);
}

void RangeSimulation::kill(std::size_t server)
{
    closeIdleConnection(server);
    servers_[server].isUp_ = false;
    servers_[server].holds_.clear();
    servers_[server].acceptedEpochs_.clear();
    events_.after(kRegistrationDelay, [this] { updateBackends(); });
}

// An order that is sent before the coordinator sees the close finds the connection broken.
void RangeSimulation::closeIdleConnection(std::size_t server)
{
    const ConnectionId connection = servers_[server].connection_;
    if (connection == 0 || servers_[server].isPartitioned_)
        return;
    events_.after(kDelay, [this, server, connection] {
        if (servers_[server].connection_ == connection)
            disconnect(servers_[server]);
    });
}

void RangeSimulation::disconnect(Server &server) const
{
    server.connection_ = 0;
    server.connectedProcess_ = {};
}

void RangeSimulation::restart(std::size_t server)
{
    kill(server);
    servers_[server].isUp_ = true;
    servers_[server].process_.incarnation_ = Incarnation { ++lastIncarnation_ };
    // Until then the coordinator assumes that the previous process still runs.
    events_.after(kRegistrationDelay, [this] { updateBackends(); });
}

void RangeSimulation::replace(std::size_t index)
{
    kill(index);
    Server &server = servers_[index];
    const BackendProcess former = server.process_;
    server.isUp_ = true;
    const Incarnation incarnation { ++lastIncarnation_ };
    server.process_ = { BackendName("r" + std::to_string(incarnation.value_)), incarnation };
    addresses_[server.process_.name_] = index;
    server.formerProcesses_.push_back(former);
    events_.after(kRegistrationDelay, [this] { updateBackends(); });
    events_.after(kEntryLifetime, [this, index, former] {
        std::erase(servers_[index].formerProcesses_, former);
        updateBackends();
    });
}

void RangeSimulation::setTakesNewWork(std::size_t server, bool takes)
{
    servers_[server].takesNewWork_ = takes;
    updateBackends();
}

RangeSimulation::Server &RangeSimulation::serverAt(const BackendProcess &process)
{
    return servers_[addresses_.at(process.name_)];
}

void RangeSimulation::perform(const RangeActions &actions)
{
    for (const RangeAction &action : actions)
        std::visit([this](const auto &step) { perform(step); }, action);
}

void RangeSimulation::perform(const ReadRanges &)
{
    store_.read([this, generation = generation_](auto result) {
        if (generation != generation_)
            return;
        if (result)
            perform(coordinator_->onRead(result->first, result->second, coordinatorTime()));
        else
            coordinator_->onReadFailed(coordinatorTime());
    });
}

void RangeSimulation::perform(const WriteRanges &write)
{
    using Store = FakeRecordStore<RangePlacement>;
    store_.write(write.placement_, write.expected_,
                 [this, generation = generation_](Store::WriteOutcome outcome, Version version,
                                                  const std::optional<RangePlacement> &) {
                     if (generation != generation_)
                         return;
                     if (outcome == Store::WriteOutcome::Written)
                         perform(coordinator_->onWritten(version, coordinatorTime()));
                     else if (outcome == Store::WriteOutcome::Conflict)
                         perform(coordinator_->onConflict(coordinatorTime()));
                     else
                         coordinator_->onWriteFailed(coordinatorTime());
                 });
}

void RangeSimulation::perform(const SendRangeGrant &grant)
{
    const ConnectionId connection = serverAt(grant.to_).connection_;
    if (grant.connection_ != 0 && grant.connection_ != connection) {
        replyToGrant(generation_, grant, RangeOutcome::ConnectionLost, 0);
        return;
    }
    events_.after(kDelay, [this, generation = generation_, grant, connection] {
        Server &server = serverAt(grant.to_);
        const bool isNewConnection = connection == 0;
        const bool isBroken = !isNewConnection
                              && (server.connection_ != connection || !server.isUp_
                                  || server.connectedProcess_ != server.process_);
        const bool isRefused = isNewConnection && !server.isUp_;
        if (!server.isPartitioned_ && (isBroken || isRefused)) {
            disconnect(server);
            replyToGrant(generation, grant,
                         isBroken ? RangeOutcome::Broken : RangeOutcome::ProcessGone, connection);
            return;
        }
        if (isNewConnection) {
            server.connection_ = ++lastConnection_;
            server.connectedProcess_ = server.process_;
        }
        deliver(server, grant, generation);
    });
}

void RangeSimulation::deliver(Server &server, const SendRangeGrant &grant, std::uint64_t generation)
{
    const auto replyUnanswered = [this, generation, &grant, &server] {
        events_.after(kOrderTimeout, [this, generation, grant, &server] {
            if (generation == generation_)
                disconnect(server);
            replyToGrant(generation, grant, RangeOutcome::Unanswered, 0);
        });
    };
    if (server.isPartitioned_) {
        replyUnanswered();
        return;
    }
    const Duration arrivedAt = events_.now();
    if (server.applyDelay_ > Duration::zero()) {
        replyUnanswered();
        const BackendProcess process = server.process_;
        events_.after(server.applyDelay_, [this, grant, arrivedAt, process, &server] {
            if (server.process_ == process && server.isUp_)
                apply(server, grant.order_, arrivedAt);
        });
        return;
    }
    replyToGrant(generation, grant, apply(server, grant.order_, arrivedAt), server.connection_);
}

void RangeSimulation::replyToGrant(std::uint64_t generation, const SendRangeGrant &grant,
                                   RangeOutcome outcome, ConnectionId connection)
{
    const RangeReply reply { outcome, connection };
    events_.after(kDelay, [this, generation, grant, reply] {
        if (generation == generation_ && coordinator_)
            perform(coordinator_->onGranted(grant, reply, coordinatorTime()));
    });
}

RangeOutcome RangeSimulation::apply(Server &server, const RangeGrantOrder &order,
                                    Duration arrivedAt)
{
    std::erase_if(server.holds_, [&](const Hold &hold) { return hold.until_ <= events_.now(); });
    for (const Hold &accepted : server.acceptedEpochs_) {
        if (overlaps(accepted.range_, order.range_) && order.epoch_ < accepted.epoch_)
            return RangeOutcome::StaleEpoch;
    }
    const Duration until = arrivedAt + fromSeconds(toSeconds(order.holdDuration_) * kClockSlowdown);
    const bool takesKeys = events_.now() < until;
    endedGrants_ += takesKeys ? 0 : 1;
    checkEpochs(server.process_, order, takesKeys);
    handovers_ += order.handover_.empty() ? 0 : 1;
    dropHolds(server, order.range_);
    // An earlier epoch whose range is covered by the new grant is no longer needed.
    std::erase_if(server.acceptedEpochs_, [&](const Hold &accepted) {
        return order.range_.from_ <= accepted.range_.from_
               && accepted.range_.to_ <= order.range_.to_;
    });
    server.holds_.push_back(Hold { order.range_, order.epoch_, until });
    server.acceptedEpochs_.push_back(Hold { order.range_, order.epoch_, {} });
    // The number of holders of a key can only increase here.
    updateMaxHolders();
    return RangeOutcome::Accepted;
}

// The epochs of processes that have ended count as well: another life of a back end is another
// process.
void RangeSimulation::checkEpochs(const BackendProcess &process, const RangeGrantOrder &order,
                                  bool takesKeys)
{
    for (std::uint32_t key = 0; key <= kLastOrderedKey; key += kSampleStep) {
        if (!order.range_.contains(key))
            continue;
        auto &accepted = acceptedByKey_[key];
        for (const auto &[other, epoch] : accepted) {
            const bool isViolation = takesKeys && other != process && order.epoch_ <= epoch;
            hasEpochViolation_ = hasEpochViolation_ || isViolation;
        }
        Epoch &highest = accepted[process];
        highest = std::max(highest, order.epoch_);
    }
}

void RangeSimulation::dropHolds(Server &server, const KeyRange &range)
{
    std::vector<Hold> remaining;
    for (const Hold &hold : server.holds_) {
        if (!overlaps(hold.range_, range)) {
            remaining.push_back(hold);
            continue;
        }
        if (hold.range_.from_ < range.from_)
            remaining.push_back(
                Hold { { hold.range_.from_, range.from_ - 1 }, hold.epoch_, hold.until_ });
        if (range.to_ < hold.range_.to_)
            remaining.push_back(
                Hold { { range.to_ + 1, hold.range_.to_ }, hold.epoch_, hold.until_ });
    }
    server.holds_ = std::move(remaining);
}

void RangeSimulation::perform(const SendRangeRelease &release)
{
    const std::uint64_t generation = generation_;
    const auto reply = [this, generation, release](RangeOutcome outcome, const char *handover) {
        if (generation == generation_ && coordinator_)
            perform(coordinator_->onReleased(release, RangeReply { outcome, 0, handover },
                                             coordinatorTime()));
    };
    events_.after(kDelay, [this, release, reply] {
        Server &server = serverAt(release.to_);
        if (server.isPartitioned_) {
            events_.after(kReleaseTimeout, [reply] { reply(RangeOutcome::Unanswered, ""); });
            return;
        }
        if (!server.isUp_) {
            events_.after(kDelay, [reply] { reply(RangeOutcome::ProcessGone, ""); });
            return;
        }
        dropHolds(server, release.order_.range_);
        server.acceptedEpochs_.push_back(Hold { release.order_.range_, release.order_.epoch_, {} });
        events_.after(drainTime_ + kDelay, [reply] { reply(RangeOutcome::Accepted, "token"); });
    });
}

std::vector<std::size_t> RangeSimulation::holdersOf(std::uint32_t key) const
{
    std::vector<std::size_t> holders;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const auto &holds = servers_[i].holds_;
        const bool isHeld = std::any_of(holds.begin(), holds.end(), [&](const Hold &hold) {
            return hold.range_.contains(key) && events_.now() < hold.until_;
        });
        if (isHeld)
            holders.push_back(i);
    }
    return holders;
}

void RangeSimulation::updateMaxHolders()
{
    for (std::uint32_t key = 0; key <= kLastOrderedKey; key += kSampleStep)
        maxHolders_ = std::max(maxHolders_, holdersOf(key).size());
}

bool RangeSimulation::areAllServed() const
{
    if (!store_.record_)
        return false;
    for (std::uint32_t key = 0; key <= kLastOrderedKey; key += kSampleStep) {
        const std::vector<std::size_t> holders = holdersOf(key);
        const RangeOwner *row = store_.record_->find(key);
        const bool isServed = holders.size() == 1 && row
                              && servers_[holders.front()].process_ == row->owner_
                              && row->previous_.isNone();
        if (!isServed)
            return false;
    }
    return true;
}

} // namespace pimentostage
