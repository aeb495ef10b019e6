#include "src/daemon/RangeControl.h"

#include "pimentostage/platform/CoordinationCodec.h"
#include "src/daemon/CoordinatorRole.h"
#include "src/daemon/PlacementReplies.h"

#include <cmath>

namespace pimentostage {

namespace {

// A back end's capacity is divided by its pace to the power of this exponent. 1 would utilise all
// back ends equally; 2 would leave slow ones nearly idle.
constexpr double kPaceExponent = 1.5;
constexpr Duration kCapacityPeriod = std::chrono::milliseconds(500);

ObjectRef refOf(const ServiceName &service)
{
    return ObjectRef { ObjectKind::RangePlacement, service.str() };
}

} // namespace

RangeControl::RangeControl(ObjectStore &store, RangeLink &backends,
                           const RangeCoordinatorOptions &options, Clock clock, Holds holds,
                           UsualPace usualPace, std::uint64_t seed, LogSink &log,
                           MetricRegistry &metrics, OnOwnWrite onOwnWrite)
    : store_(store)
    , backends_(backends)
    , options_(options)
    , clock_(std::move(clock))
    , holds_(std::move(holds))
    , usualPace_(std::move(usualPace))
    , seed_(seed)
    , log_(log)
    , onOwnWrite_(std::move(onOwnWrite))
    , orders_(metrics.counter("pimento_range_orders_total",
                              "Grants and releases of key ranges sent to back ends."))
    , failures_(metrics.counter("pimento_range_order_failures_total",
                                "Grants and releases of key ranges that were not accepted."))
    , moves_(metrics.counter("pimento_range_moves_total", "Moves of key ranges begun."))
{ }

void RangeControl::onConfig(const Configuration &configuration,
                            const std::set<std::string> &leavingHosts)
{
    const auto isOrdered = [&](const ServiceName &name) {
        const auto found = configuration.services_.find(name);
        return found != configuration.services_.end() && found->second.keyed_
               && found->second.division_ == KeyDivision::Ordered;
    };
    std::erase_if(services_, [&](const auto &entry) { return !isOrdered(entry.first); });
    latest_ = LatestProcesses(configuration);
    for (const auto &[name, service] : configuration.services_) {
        if (!isOrdered(name))
            continue;
        CoordinatedService &coordinated = services_[name];
        if (!coordinated.coordinator_) {
            coordinated.coordinator_
                = std::make_unique<RangeCoordinator>(name, options_, Random(seed_));
        }
        RangeCoordinator::Backends backends;
        for (const auto &[backendName, backend] : configuration.backends_) {
            if (backend.service_ != name)
                continue;
            const BackendProcess process { backendName, backend.incarnation_ };
            PlannedBackend &planned = backends[process];
            planned.capacity_ = backend.slots_;
            planned.takesNewWork_ = configuration.isZoneIn(backend.zone_)
                                    && backend.state_ == BackendState::Ready
                                    && !leavingHosts.contains(backendName.str())
                                    && !isOfOtherService(name, process, backend.address_);
            coordinated.addresses_[process] = backend.address_;
        }
        coordinated.backends_ = std::move(backends);
        updateCapacities(coordinated);
    }
}

// A back end with half the speed serves half the load, and completes fewer requests before their
// deadlines.
void RangeControl::updateCapacities(CoordinatedService &coordinated)
{
    RangeCoordinator::Backends backends = coordinated.backends_;
    for (auto &[process, planned] : backends)
        planned.capacity_ /= std::pow(usualPace_(process.name_), kPaceExponent);
    coordinated.coordinator_->setBackends(backends);
}

RangeCoordinator *RangeControl::activeCoordinator(const ServiceName &service, TimePoint now)
{
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.hasRole_)
        return nullptr;
    if (!holds_(coordinatorRoleOf(service), now))
        found->second.hasLapsed_ = true;
    return found->second.hasLapsed_ ? nullptr : found->second.coordinator_.get();
}

void RangeControl::recoverFromLapse(const ServiceName &service, TimePoint now)
{
    CoordinatedService &coordinated = services_.at(service);
    const bool isRestored
        = coordinated.hasRole_ && coordinated.hasLapsed_ && holds_(coordinatorRoleOf(service), now);
    if (!isRestored)
        return;
    coordinated.hasLapsed_ = false;
    perform(service, coordinated.coordinator_->begin(coordinated.roleEpoch_, now));
}

const Address *RangeControl::addressOf(const ServiceName &service,
                                       const BackendProcess &process) const
{
    const CoordinatedService &coordinated = services_.at(service);
    const auto found = coordinated.addresses_.find(process);
    return found == coordinated.addresses_.end() ? nullptr : &found->second;
}

bool RangeControl::isOfOtherService(const ServiceName &service, const BackendProcess &process,
                                    const Address &address) const
{
    const LatestProcesses::Registration *replacement = latest_.replacementOf(process, address);
    return replacement && replacement->service_ != service;
}

const Address *RangeControl::destinationOf(const ServiceName &service,
                                           const BackendProcess &process) const
{
    const Address *address = addressOf(service, process);
    return address && !isOfOtherService(service, process, *address) ? address : nullptr;
}

void RangeControl::setStoreGeneration(Generation generation)
{
    for (auto &[name, coordinated] : services_)
        coordinated.coordinator_->setStoreGeneration(generation);
}

void RangeControl::onRoleGained(const RoleName &role, Epoch epoch, TimePoint now)
{
    for (auto &[name, coordinated] : services_) {
        if (coordinatorRoleOf(name) != role)
            continue;
        coordinated.hasRole_ = true;
        coordinated.hasLapsed_ = false;
        coordinated.roleEpoch_ = epoch;
        perform(name, coordinated.coordinator_->begin(epoch, now));
    }
}

void RangeControl::onRoleLost(const RoleName &role)
{
    for (auto &[name, coordinated] : services_) {
        if (coordinatorRoleOf(name) != role)
            continue;
        coordinated.hasRole_ = false;
        coordinated.coordinator_->end();
    }
}

void RangeControl::tick(TimePoint now)
{
    const bool isCapacityUpdateDue = now >= nextCapacityUpdateAt_;
    if (isCapacityUpdateDue)
        nextCapacityUpdateAt_ = now + kCapacityPeriod;
    for (auto &[name, coordinated] : services_) {
        recoverFromLapse(name, now);
        RangeCoordinator *coordinator = activeCoordinator(name, now);
        if (!coordinator)
            continue;
        if (isCapacityUpdateDue)
            updateCapacities(coordinated);
        perform(name, coordinator->tick(now));
    }
}

void RangeControl::onKeyLoad(const KeyLoad &load)
{
    const auto found = services_.find(load.service_);
    if (found == services_.end())
        return;
    for (const KeyRate &bucket : load.keys_) {
        found->second.coordinator_->addLoad(
            static_cast<std::uint32_t>(std::strtoul(bucket.key_.c_str(), nullptr, 10)),
            bucket.rate_ * toSeconds(kKeyLoadPeriod));
    }
}

std::size_t RangeControl::movingRanges() const
{
    std::size_t moving = 0;
    for (const auto &[name, coordinated] : services_)
        moving += coordinated.coordinator_->movingRanges();
    return moving;
}

void RangeControl::perform(const ServiceName &service, const RangeActions &actions)
{
    for (const RangeAction &action : actions)
        std::visit([&](const auto &step) { perform(service, step); }, action);
}

void RangeControl::perform(const ServiceName &service, const ReadRanges &)
{
    store_.get(refOf(service),
               [this, service](const Reply<StoredObject> &reply) { onReadReply(service, reply); });
}

void RangeControl::onReadReply(const ServiceName &service, const Reply<StoredObject> &reply)
{
    const TimePoint now = clock_();
    RangeCoordinator *coordinator = activeCoordinator(service, now);
    if (!coordinator)
        return;
    handleReadReply(
        *coordinator, reply, &parseRangePlacement,
        [&](const RangeActions &actions) { perform(service, actions); }, log_, now);
}

void RangeControl::perform(const ServiceName &service, const WriteRanges &write)
{
    store_.put(refOf(service), formatRangePlacement(write.placement_), write.expected_,
               [this, service, placement = write.placement_](const Reply<WriteResult> &reply) {
                   onWriteReply(service, placement, reply);
               });
}

void RangeControl::onWriteReply(const ServiceName &service, const RangePlacement &placement,
                                const Reply<WriteResult> &reply)
{
    const TimePoint now = clock_();
    const auto *result = std::get_if<WriteResult>(&reply);
    if (result && result->written_) {
        onOwnWrite_(StoredObject { refOf(service), result->version_, false,
                                   formatRangePlacement(placement) });
    }
    RangeCoordinator *coordinator = activeCoordinator(service, now);
    // The reply may be to a write from before this host lost the role and gained it again.
    if (!coordinator || !coordinator->isWritePending(placement))
        return;
    handleWriteReply(
        *coordinator, reply, [&](const RangeActions &actions) { perform(service, actions); }, now);
}

template <typename Order>
RangeControl::SentOrder RangeControl::describe(const ServiceName &service, RangeOrderKind kind,
                                               const Order &order) const
{
    const RangeCoordinator &coordinator = *services_.at(service).coordinator_;
    SentOrder sent;
    sent.kind_ = kind;
    sent.to_ = order.to_;
    sent.range_ = order.order_.range_;
    sent.epoch_ = order.order_.epoch_;
    sent.roleEpoch_ = coordinator.roleEpoch();
    sent.placement_ = coordinator.version();
    sent.sentAt_ = clock_();
    return sent;
}

// The authority to act was checked by the call that decided to send the order.
void RangeControl::perform(const ServiceName &service, const SendRangeGrant &grant)
{
    SentOrder sent = describe(service, RangeOrderKind::Grant, grant);
    sent.holdDuration_ = grant.order_.holdDuration_;
    sent.requiredConnection_ = grant.connection_;
    const auto done = [this, service, grant, sent](const RangeReply &reply) {
        const TimePoint now = clock_();
        recordOutcome(service, sent, reply, now);
        if (RangeCoordinator *coordinator = activeCoordinator(service, now))
            perform(service, coordinator->onGranted(grant, reply, now));
    };
    const Address *address = destinationOf(service, sent.to_);
    if (!address) {
        done(RangeReply {});
        return;
    }
    orders_.add();
    backends_.grant(*address, grant.order_, grant.connection_, done);
}

void RangeControl::perform(const ServiceName &service, const SendRangeRelease &release)
{
    const SentOrder sent = describe(service, RangeOrderKind::Release, release);
    const auto done = [this, service, release, sent](const RangeReply &reply) {
        const TimePoint now = clock_();
        recordOutcome(service, sent, reply, now);
        if (RangeCoordinator *coordinator = activeCoordinator(service, now))
            perform(service, coordinator->onReleased(release, reply, now));
    };
    const Address *address = destinationOf(service, sent.to_);
    if (!address) {
        done(RangeReply {});
        return;
    }
    orders_.add();
    backends_.release(*address, release.order_, done);
}

void RangeControl::perform(const ServiceName &service, const RangeMoveDecided &move)
{
    moves_.add();
    log_.write(LogLine(Severity::Info, "placement")
                   .add("service", service.str())
                   .add("from_key", static_cast<std::uint64_t>(move.range_.from_))
                   .add("to_key", static_cast<std::uint64_t>(move.range_.to_))
                   .add("from", move.from_.name_.str())
                   .add("to", move.to_.name_.str())
                   .add("epoch", move.epoch_.value_));
}

void RangeControl::recordOutcome(const ServiceName &service, const SentOrder &sent,
                                 const RangeReply &reply, TimePoint now)
{
    const bool isAccepted = reply.outcome_ == RangeOutcome::Accepted;
    // A renewal on the connection of the grant before it changes nothing.
    const bool isRenewal = isAccepted && sent.requiredConnection_ != 0;
    Severity severity = isRenewal ? Severity::Debug : Severity::Info;
    if (!isAccepted) {
        severity = Severity::Warning;
        failures_.add();
    }
    const auto coordinated = services_.find(service);
    const Address *address
        = coordinated == services_.end() ? nullptr : addressOf(service, sent.to_);
    log_.write(LogLine(severity, "range-order")
                   .add("service", service.str())
                   .add("order", toString(sent.kind_))
                   .add("backend", sent.to_.name_.str())
                   .add("incarnation", sent.to_.incarnation_.value_)
                   .add("address", address ? address->str() : "")
                   .add("required_connection", sent.requiredConnection_)
                   .add("connection", reply.connection_)
                   .add("from_key", static_cast<std::uint64_t>(sent.range_.from_))
                   .add("to_key", static_cast<std::uint64_t>(sent.range_.to_))
                   .add("epoch", sent.epoch_.value_)
                   .add("hold_ms", toMilliseconds(sent.holdDuration_))
                   .add("role_epoch", sent.roleEpoch_.value_)
                   .add("placement_version", sent.placement_.value_)
                   .add("elapsed_ms", toMilliseconds(now - sent.sentAt_))
                   .add("outcome", toString(reply.outcome_)));
}

} // namespace pimentostage
