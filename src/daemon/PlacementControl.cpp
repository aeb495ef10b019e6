#include "src/daemon/PlacementControl.h"

#include "pimentostage/backend/RouterFence.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "src/daemon/CoordinatorRole.h"
#include "src/daemon/PlacementReplies.h"
#include "src/daemon/RecoveryBudget.h"

namespace pimentostage {

namespace {

ObjectRef refOf(const ServiceName &service)
{
    return ObjectRef { ObjectKind::Placement, service.str() };
}

bool isHashed(const Service &service)
{
    return service.keyed_ && service.division_ == KeyDivision::Hashed;
}

} // namespace

PlacementControl::PlacementControl(ObjectStore &store, BackendLink &backends,
                                   SiblingSender &routers, Clock clock, Holds holds,
                                   std::uint64_t seed, LogSink &log, MetricRegistry &metrics,
                                   OnOwnWrite onOwnWrite)
    : store_(store)
    , backends_(backends)
    , routers_(routers)
    , clock_(std::move(clock))
    , holds_(std::move(holds))
    , seed_(seed)
    , log_(log)
    , onOwnWrite_(std::move(onOwnWrite))
    , grants_(metrics.counter("pimento_grants_sent_total", "Grants sent to back ends."))
    , grantFailures_(
          metrics.counter("pimento_grant_failures_total", "Grants that got no usable reply."))
    , moves_(metrics.counter("pimento_unit_moves_total", "Moves of shards and hot keys begun."))

{ }

void PlacementControl::onConfig(const Configuration &configuration,
                                const std::set<std::string> &leavingHosts, TimePoint now)
{
    std::erase_if(services_, [&](const auto &entry) {
        const auto found = configuration.services_.find(entry.first);
        return found == configuration.services_.end() || !isHashed(found->second);
    });
    for (const auto &[name, service] : configuration.services_) {
        if (!isHashed(service))
            continue;
        CoordinatedService &coordinated = services_[name];
        updateCoordinator(coordinated, service, now);

        std::map<BackendName, CoordinatedBackend> backends;
        for (const auto &[backendName, backend] : configuration.backends_) {
            if (backend.service_ != name)
                continue;
            CoordinatedBackend state;
            state.capacity_ = backend.slots_;
            state.takesNewWork_ = configuration.isZoneIn(backend.zone_)
                                  && !leavingHosts.contains(backendName.str());
            backends[backendName] = state;
            coordinated.addresses_[backendName] = backend.address_;
        }
        coordinated.coordinator_->setBackends(backends, now);
    }
}

// A longer request timeout extends the time that a router's lease remains binding, so the
// coordinator has to restart; a shorter one needs no change.
void PlacementControl::updateCoordinator(CoordinatedService &coordinated, const Service &service,
                                         TimePoint now)
{
    const bool isUsable
        = coordinated.coordinator_ && coordinated.service_.fencing_ == service.fencing_
          && maxRequestDuration(coordinated.service_) >= maxRequestDuration(service);
    if (isUsable)
        return;
    coordinated.service_ = service;
    coordinated.coordinator_ = std::make_unique<ShardCoordinator>(service, seed_);
    coordinated.coordinator_->setRouters(runningRouters_);
    if (coordinated.roleEpoch_)
        perform(service.name_, coordinated.coordinator_->begin(*coordinated.roleEpoch_, now));
}

void PlacementControl::setRouters(const std::set<Member> &routers)
{
    if (routers == runningRouters_)
        return;
    runningRouters_ = routers;
    for (auto &[name, coordinated] : services_)
        coordinated.coordinator_->setRouters(routers);
}

ShardCoordinator *PlacementControl::find(const ServiceName &service)
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second.coordinator_.get();
}

void PlacementControl::onRoleGained(const RoleName &role, Epoch epoch, TimePoint now)
{
    for (auto &[name, coordinated] : services_) {
        if (coordinatorRoleOf(name) != role)
            continue;
        coordinated.roleEpoch_ = epoch;
        perform(name, coordinated.coordinator_->begin(epoch, now));
    }
}

void PlacementControl::onRoleLost(const RoleName &role)
{
    for (auto &[name, coordinated] : services_) {
        if (coordinatorRoleOf(name) != role)
            continue;
        coordinated.roleEpoch_.reset();
        coordinated.coordinator_->end();
    }
}

void PlacementControl::tick(TimePoint now)
{
    for (auto &[name, coordinated] : services_) {
        if (holds_(coordinatorRoleOf(name), now))
            perform(name, coordinated.coordinator_->tick(now));
    }
}

void PlacementControl::onKeyLoad(const HostName &host, const KeyLoad &load, TimePoint now)
{
    const auto found = services_.find(load.service_);
    if (found == services_.end())
        return;
    CoordinatedService &coordinated = found->second;
    coordinated.hotKeys_.report(host, load, now);
    coordinated.coordinator_->setHotKeys(
        coordinated.hotKeys_.hotKeys(coordinated.addresses_.size(), now));
}

std::size_t PlacementControl::movingUnits() const
{
    std::size_t moving = 0;
    for (const auto &[name, coordinated] : services_)
        moving += coordinated.coordinator_->movingUnits();
    return moving;
}

void PlacementControl::perform(const ServiceName &service, const CoordinatorActions &actions)
{
    for (const CoordinatorAction &action : actions)
        std::visit([&](const auto &step) { perform(service, step); }, action);
}

void PlacementControl::perform(const ServiceName &service, const ReadPlacement &)
{
    store_.get(refOf(service), [this, service](const Reply<StoredObject> &reply) {
        ShardCoordinator *coordinator = find(service);
        const TimePoint now = clock_();
        if (!coordinator || !holds_(coordinatorRoleOf(service), now))
            return;
        handleReadReply(
            *coordinator, reply, &parsePlacement,
            [&](const CoordinatorActions &actions) { perform(service, actions); }, log_, now);
    });
}

void PlacementControl::perform(const ServiceName &service, const WritePlacement &write)
{
    store_.put(refOf(service), formatPlacement(write.placement_), write.expected_,
               [this, service, placement = write.placement_](const Reply<WriteResult> &reply) {
                   onWriteReply(service, placement, reply);
               });
}

void PlacementControl::onWriteReply(const ServiceName &service, const Placement &placement,
                                    const Reply<WriteResult> &reply)
{
    const TimePoint now = clock_();
    const auto *result = std::get_if<WriteResult>(&reply);
    if (result && result->written_)
        onOwnWrite_(
            StoredObject { refOf(service), result->version_, false, formatPlacement(placement) });
    ShardCoordinator *coordinator = find(service);
    if (!coordinator || !holds_(coordinatorRoleOf(service), now))
        return;
    handleWriteReply(
        *coordinator, reply, [&](const CoordinatorActions &actions) { perform(service, actions); },
        now);
    perform(service, coordinator->tick(now));
}

void PlacementControl::perform(const ServiceName &service, const SendGrant &send)
{
    const auto &addresses = services_.at(service).addresses_;
    const auto address = addresses.find(send.backend_);
    if (address == addresses.end())
        return;
    grants_.add();
    backends_.grant(address->second, send.grant_,
                    [this, service, backend = send.backend_](const auto &reply) {
                        onGrantReply(service, backend, reply);
                    });
}

void PlacementControl::onGrantReply(const ServiceName &service, const BackendName &backend,
                                    const std::optional<GrantReply> &reply)
{
    ShardCoordinator *coordinator = find(service);
    const TimePoint now = clock_();
    if (!coordinator || !holds_(coordinatorRoleOf(service), now))
        return;

    if (!reply) {
        grantFailures_.add();
        return;
    }
    coordinator->onGrantReply(backend, *reply, now);
    perform(service, coordinator->tick(now));
}

void PlacementControl::perform(const ServiceName &, const SendRouterGrant &send)
{
    grants_.add();
    routers_.send(send.router_.host_, RouterGrant { send.grant_ });
}

void PlacementControl::onMessage(const Member &router, const RouterGrantReply &message,
                                 TimePoint now)
{
    ShardCoordinator *coordinator = find(message.service_);
    if (!coordinator || !holds_(coordinatorRoleOf(message.service_), now))
        return;
    coordinator->onRouterReply(router, message.reply_, now);
    perform(message.service_, coordinator->tick(now));
}

void PlacementControl::perform(const ServiceName &service, const ProbeBackend &probe)
{
    const auto &addresses = services_.at(service).addresses_;
    const auto address = addresses.find(probe.backend_);
    if (address == addresses.end())
        return;
    backends_.probe(address->second, [this, service, backend = probe.backend_](bool isAnswered) {
        if (isAnswered)
            onProbeReply(service, backend);
    });
}

void PlacementControl::onProbeReply(const ServiceName &service, const BackendName &backend)
{
    ShardCoordinator *coordinator = find(service);
    const TimePoint now = clock_();
    if (!coordinator || !holds_(coordinatorRoleOf(service), now))
        return;
    coordinator->onProbeReply(backend, now);
}

void PlacementControl::perform(const ServiceName &service, const MoveDecided &move)
{
    moves_.add();
    log_.write(LogLine(Severity::Info, "placement")
                   .add("service", service.str())
                   .add("unit", move.unit_)
                   .add("from", move.from_.str())
                   .add("to", move.to_.str())
                   .add("reason", toString(move.reason_)));
}

} // namespace pimentostage
