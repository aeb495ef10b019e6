#include "tests/fakes/RangeWorld.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr Duration kDelay = std::chrono::milliseconds(1); // one way
constexpr Duration kOrderTimeout = std::chrono::milliseconds(600);
constexpr Duration kReleaseTimeout = std::chrono::seconds(3);
constexpr Duration kEntryDelay = std::chrono::milliseconds(400); // until the store tells of it
constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr double kSlowClock = 1.02; // a server's clock may run this much too slowly
constexpr std::uint32_t kSampleStep = 1021; // keys looked at lie this far apart

bool overlaps(const KeyRange &a, const KeyRange &b)
{
    return a.from_ <= b.to_ && b.from_ <= a.to_;
}

} // namespace

RangeWorld::RangeWorld(std::size_t servers, std::uint64_t seed)
    : store_(events_)
    , random_(seed)
{
    store_.faults_.delay_ = std::chrono::milliseconds(2);
    for (std::size_t i = 0; i < servers; ++i) {
        Server server;
        server.process_
            = { BackendName("s" + std::to_string(i)), Incarnation { ++lastIncarnation_ } };
        servers_.push_back(server);
    }
    changeCoordinator(Duration::zero());
}

void RangeWorld::changeCoordinator(Duration gap)
{
    const std::uint64_t generation = ++generation_;
    coordinator_.reset();
    for (Server &server : servers_)
        server.connected_ = {};
    events_.after(gap, [this, generation] {
        if (generation != generation_)
            return;
        coordinator_ = std::make_unique<RangeCoordinator>(
            ServiceName("permits"), RangeCoordinatorOptions {}, Random(random_.engine()()));
        updateBackends();
        perform(coordinator_->begin(Epoch { generation }, coordinatorTime()));
        tickLater(generation);
    });
}

void RangeWorld::tickLater(std::uint64_t generation)
{
    events_.after(kTick, [this, generation] {
        if (generation != generation_)
            return;
        for (const auto &[bucket, requests] : load_)
            coordinator_->addLoad(bucket, requests * toSeconds(kTick));
        perform(coordinator_->tick(coordinatorTime()));
        tickLater(generation);
    });
}

void RangeWorld::run(Duration time)
{
    events_.runUntil(events_.now() + time, [] {});
}

void RangeWorld::updateBackends()
{
    if (!coordinator_)
        return;
    RangeCoordinator::Backends backends;
    for (const Server &server : servers_) {
        if (server.isUp_)
            backends[server.process_] = PlannedBackend { 6, server.takesNewWork_ };
    }
    coordinator_->setBackends(backends);
}

void RangeWorld::kill(std::size_t server)
{
    servers_[server].isUp_ = false;
    servers_[server].holds_.clear();
    servers_[server].seen_.clear();
    events_.after(kEntryDelay, [this] { updateBackends(); });
}

void RangeWorld::restart(std::size_t server)
{
    kill(server);
    servers_[server].isUp_ = true;
    servers_[server].process_.incarnation_ = Incarnation { ++lastIncarnation_ };
    // Until then the coordinator takes it for the process that was there before.
    events_.after(kEntryDelay, [this] { updateBackends(); });
}

void RangeWorld::setTakesNewWork(std::size_t server, bool takes)
{
    servers_[server].takesNewWork_ = takes;
    updateBackends();
}

RangeWorld::Server *RangeWorld::find(const BackendProcess &process)
{
    // Orders go to an address: a process that took another's place gets them too.
    const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const Server &server) {
        return server.process_.name_ == process.name_;
    });
    return found == servers_.end() ? nullptr : &*found;
}

void RangeWorld::perform(const RangeActions &actions)
{
    for (const RangeAction &action : actions)
        std::visit([this](const auto &step) { perform(step); }, action);
}

void RangeWorld::perform(const ReadRanges &)
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

void RangeWorld::perform(const WriteRanges &write)
{
    using Store = FakeRecordStore<RangePlacement>;
    store_.write(write.placement_, write.expected_,
                 [this, generation = generation_](Store::WriteOutcome answer, Version version,
                                                  const std::optional<RangePlacement> &) {
                     if (generation != generation_)
                         return;
                     if (answer == Store::WriteOutcome::Written)
                         perform(coordinator_->onWritten(version, coordinatorTime()));
                     else if (answer == Store::WriteOutcome::Conflict)
                         perform(coordinator_->onConflict(coordinatorTime()));
                     else
                         coordinator_->onWriteFailed(coordinatorTime());
                 });
}

void RangeWorld::perform(const SendRangeGrant &grant)
{
    const std::uint64_t generation = generation_;
    events_.after(kDelay, [this, generation, grant] {
        Server *server = find(grant.to_);
        const bool hasBroken
            = !server->connected_.isNobody() && server->connected_ != server->process_;
        if (!server->isCut_ && (hasBroken || !server->isUp_)) {
            server->connected_ = {};
            answerGrant(generation, grant,
                        hasBroken ? RangeOutcome::Broken : RangeOutcome::ProcessGone);
            return;
        }
        server->connected_ = server->process_;
        const auto unanswered = [this, generation, grant, server] {
            events_.after(kOrderTimeout, [this, generation, grant, server] {
                if (generation == generation_)
                    server->connected_ = {};
                answerGrant(generation, grant, RangeOutcome::Unanswered);
            });
        };
        if (server->isCut_) {
            unanswered();
            return;
        }
        const Duration arrivedAt = events_.now();
        if (server->late_ > Duration::zero()) {
            unanswered();
            const BackendProcess process = server->process_;
            events_.after(server->late_, [this, grant, arrivedAt, process] {
                Server *later = find(grant.to_);
                if (later->process_ == process && later->isUp_)
                    apply(*later, grant.order_, arrivedAt);
            });
            return;
        }
        answerGrant(generation, grant, apply(*server, grant.order_, arrivedAt));
    });
}

void RangeWorld::answerGrant(std::uint64_t generation, const SendRangeGrant &grant,
                             RangeOutcome outcome)
{
    events_.after(kDelay, [this, generation, grant, outcome] {
        if (generation == generation_ && coordinator_)
            perform(coordinator_->onGranted(grant, outcome, coordinatorTime()));
    });
}

RangeOutcome RangeWorld::apply(Server &server, const RangeGrantOrder &order, Duration arrivedAt)
{
    std::erase_if(server.holds_, [&](const Hold &hold) { return hold.until_ <= events_.now(); });
    for (const Hold &seen : server.seen_) {
        if (overlaps(seen.range_, order.range_) && order.epoch_ < seen.epoch_)
            return RangeOutcome::StaleEpoch;
    }
    for (std::uint32_t key = 0; key <= kLastOrderedKey; key += kSampleStep) {
        if (!order.range_.contains(key))
            continue;
        auto &[epoch, process] = lastTaken_[key];
        const bool isOther = process != server.process_ && !process.isNobody();
        hasEpochFallen_ = hasEpochFallen_ || (isOther && order.epoch_ <= epoch);
        if (order.epoch_ >= epoch) {
            epoch = order.epoch_;
            process = server.process_;
        }
    }
    handovers_ += order.handover_.empty() ? 0 : 1;
    dropHolds(server, order.range_);
    // An epoch that a later one covers is of no use any more.
    std::erase_if(server.seen_, [&](const Hold &seen) {
        return order.range_.from_ <= seen.range_.from_ && seen.range_.to_ <= order.range_.to_;
    });
    const auto hold = fromSeconds(toSeconds(order.hold_) * kSlowClock);
    server.holds_.push_back(Hold { order.range_, order.epoch_, arrivedAt + hold });
    server.seen_.push_back(Hold { order.range_, order.epoch_, {} });
    // Only a new hold can be a second one.
    check();
    return RangeOutcome::Accepted;
}

void RangeWorld::dropHolds(Server &server, const KeyRange &range)
{
    std::vector<Hold> rest;
    for (const Hold &hold : server.holds_) {
        if (!overlaps(hold.range_, range)) {
            rest.push_back(hold);
            continue;
        }
        if (hold.range_.from_ < range.from_)
            rest.push_back(
                Hold { { hold.range_.from_, range.from_ - 1 }, hold.epoch_, hold.until_ });
        if (range.to_ < hold.range_.to_)
            rest.push_back(Hold { { range.to_ + 1, hold.range_.to_ }, hold.epoch_, hold.until_ });
    }
    server.holds_ = std::move(rest);
}

void RangeWorld::perform(const SendRangeRelease &release)
{
    const std::uint64_t generation = generation_;
    const auto answer = [this, generation, release](RangeOutcome outcome, const char *handover) {
        if (generation == generation_ && coordinator_)
            perform(coordinator_->onReleased(release, outcome, handover, coordinatorTime()));
    };
    events_.after(kDelay, [this, release, answer] {
        Server *server = find(release.to_);
        if (server->isCut_) {
            events_.after(kReleaseTimeout, [answer] { answer(RangeOutcome::Unanswered, ""); });
            return;
        }
        if (!server->isUp_) {
            events_.after(kDelay, [answer] { answer(RangeOutcome::ProcessGone, ""); });
            return;
        }
        dropHolds(*server, release.order_.range_);
        server->seen_.push_back(Hold { release.order_.range_, release.order_.epoch_, {} });
        events_.after(workTime_ + kDelay, [answer] { answer(RangeOutcome::Accepted, "token"); });
    });
}

std::vector<std::size_t> RangeWorld::holdersOf(std::uint32_t key) const
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

void RangeWorld::check()
{
    for (std::uint32_t key = 0; key <= kLastOrderedKey; key += kSampleStep)
        mostHolders_ = std::max(mostHolders_, holdersOf(key).size());
}

bool RangeWorld::areAllServed() const
{
    if (!store_.record_)
        return false;
    for (std::uint32_t key = 0; key <= kLastOrderedKey; key += kSampleStep) {
        const std::vector<std::size_t> holders = holdersOf(key);
        const RangeOwner *row = store_.record_->find(key);
        const bool isServed = holders.size() == 1 && row
                              && servers_[holders.front()].process_ == row->owner_
                              && row->previous_.isNobody();
        if (!isServed)
            return false;
    }
    return true;
}

} // namespace pimentostage
