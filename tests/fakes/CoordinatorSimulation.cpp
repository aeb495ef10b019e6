#include "tests/fakes/CoordinatorSimulation.h"

#include "pimentostage/backend/RoutingTable.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr Duration kSlowNetworkDelay = std::chrono::milliseconds(1300);
constexpr int kKeyCount = 20;

} // namespace

CoordinatorSimulation::CoordinatorSimulation(Service service)
    : store_(events_)
    , service_(std::move(service))
{
    for (int i = 0; i < kKeyCount; ++i)
        keys_.push_back("key-" + std::to_string(i));
}

void CoordinatorSimulation::begin()
{
    changeCoordinator();
    scheduleTick();
}

void CoordinatorSimulation::run(Duration duration)
{
    events_.runUntil(events_.now() + duration, [this] { check(); });
}

void CoordinatorSimulation::changeCoordinator()
{
    if (coordinator_)
        coordinator_->end();
    retired_.push_back(std::move(coordinator_));
    roleEpoch_ = roleEpoch_.next();
    const std::int64_t kDrift = roleEpoch_.value_ % 2 == 0 ? 400 : -400;
    clock_ = DriftingClock(std::chrono::seconds(500 * roleEpoch_.value_), kDrift);
    coordinator_ = std::make_unique<ShardCoordinator>(service_, roleEpoch_.value_);
    coordinator_->setBackends(backends_, now());
    coordinator_->setRouters(routers_);
    coordinator_->setHotKeys(hotKeys_);
    performAll(coordinator_->begin(roleEpoch_, now()));
}

void CoordinatorSimulation::setBackend(const BackendName &backend,
                                       const CoordinatedBackend &backendState)
{
    backends_[backend] = backendState;
    if (coordinator_)
        coordinator_->setBackends(backends_, now());
}

void CoordinatorSimulation::setRouters(const std::set<Member> &routers)
{
    routers_ = routers;
    if (coordinator_)
        coordinator_->setRouters(routers_);
}

void CoordinatorSimulation::setTakesNewWork(const BackendName &backend, bool takes)
{
    CoordinatedBackend backendState = backends_[backend];
    backendState.takesNewWork_ = takes;
    setBackend(backend, backendState);
}

void CoordinatorSimulation::setHotKeys(std::vector<std::string> keys)
{
    hotKeys_ = std::move(keys);
    coordinator_->setHotKeys(hotKeys_);
}

bool CoordinatorSimulation::areAllServed()
{
    return std::all_of(keys_.begin(), keys_.end(),
                       [this](const std::string &key) { return isServed(key); });
}

BackendName CoordinatorSimulation::ownerOfKey(const std::string &key) const
{
    return ownerOf(history_.back(), key).backend_;
}

void CoordinatorSimulation::send(std::function<void()> deliver)
{
    ++messages_;
    const bool isLost = losesMessages_ && messages_ % 5 == 0;
    const bool isSlow = losesMessages_ && messages_ % 7 == 0;
    if (!isLost)
        events_.after(isSlow ? kSlowNetworkDelay : kNetworkDelay, std::move(deliver));
}

void CoordinatorSimulation::reply(ShardCoordinator *coordinator,
                                  std::function<void(ShardCoordinator &)> report)
{
    send([this, coordinator, report = std::move(report)] {
        if (coordinator == coordinator_.get())
            report(*coordinator);
    });
}

const std::set<CoordinatorSimulation::Assignment> &CoordinatorSimulation::assignments(
    const std::string &key)
{
    return assignments_[key];
}

CoordinatorSimulation::Assignment CoordinatorSimulation::assignmentOf(const Placement &placement,
                                                                      const std::string &key)
{
    const ShardOwner &owner = ownerOf(placement, key);
    return Assignment { owner.backend_, unitOf(placement, key), owner.epoch_ };
}

void CoordinatorSimulation::scheduleTick()
{
    events_.after(kTickPeriod, [this] {
        performAll(coordinator_->tick(now()));
        tick();
        scheduleTick();
    });
}

void CoordinatorSimulation::performAll(const CoordinatorActions &actions)
{
    for (const CoordinatorAction &action : actions)
        std::visit([this](const auto &step) { perform(step); }, action);
}

void CoordinatorSimulation::perform(const ReadPlacement &)
{
    ShardCoordinator *coordinator = coordinator_.get();
    store_.read([this, coordinator](const auto &result) {
        if (coordinator != coordinator_.get())
            return;
        if (result)
            performAll(coordinator->onRead(result->first, result->second, now()));
        else
            coordinator->onReadFailed(now());
    });
}

void CoordinatorSimulation::perform(const WritePlacement &write)
{
    ShardCoordinator *coordinator = coordinator_.get();
    store_.write(write.placement_, write.expected_,
                 [this, coordinator](PlacementStore::WriteOutcome answer, Version version,
                                     const std::optional<Placement> &) {
                     recordHistory();
                     if (coordinator != coordinator_.get())
                         return;
                     if (answer == PlacementStore::WriteOutcome::Written)
                         performAll(coordinator->onWritten(version, now()));
                     else if (answer == PlacementStore::WriteOutcome::Conflict)
                         performAll(coordinator->onConflict(now()));
                     else
                         coordinator->onWriteFailed(now());
                 });
}

void CoordinatorSimulation::recordHistory()
{
    const bool isKnown
        = !history_.empty() && store_.record_ && history_.back().nonce_ == store_.record_->nonce_;
    if (!store_.record_ || isKnown)
        return;
    history_.push_back(*store_.record_);
    for (const std::string &key : keys_)
        assignments_[key].insert(assignmentOf(history_.back(), key));
}

} // namespace pimentostage
