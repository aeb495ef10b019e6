// Instructions that one host's decision core takes for each second of simulated time, by what
// happens in its fleet. The core is the real one; its siblings, back ends and store are simulated
// and not counted. bin/count-instructions runs the cases under callgrind.

#include "pimentostage/backend/ServerLease.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "pimentostage/sibling/HostRanking.h"
#include "src/daemon/ControlCore.h"
#include "src/daemon/CoordinatorRole.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FleetStore.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/UnreachableRangeLink.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Without valgrind's headers the cases run, but nothing counts their instructions.
#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_START_INSTRUMENTATION
#define CALLGRIND_STOP_INSTRUMENTATION
#define CALLGRIND_TOGGLE_COLLECT
#endif

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

constexpr std::size_t kZones = 5;
constexpr std::size_t kTeams = 140;
constexpr std::size_t kKeyedBackends = 140;
constexpr std::size_t kBackends = 400;
constexpr std::uint32_t kShards = 280;
constexpr std::size_t kTeamsPerSibling = kTeams / 10;
constexpr Duration kNetworkDelay = 1ms;
// Each host sends two probes in 100 ms, so it also receives one in 50 ms.
constexpr Duration kProbePeriod = 50ms;
constexpr Duration kChangePeriod = 500ms;
constexpr Duration kStart = 10s; ///< until roles are held and updates on members were sent
constexpr std::int64_t kMeasuredSeconds = 10;
constexpr const char *kKeyedService = "permits";
constexpr const char *kPlainService = "plain";
constexpr const char *kAccountsRole = "accounts.0"; ///< the first group; the only one if there is 1

/// Switches callgrind's collection on, or off within a counted section, while it lives.
class ToggledCollection
{
public:
    ToggledCollection() { CALLGRIND_TOGGLE_COLLECT; }
    ~ToggledCollection() { CALLGRIND_TOGGLE_COLLECT; }
    ToggledCollection(const ToggledCollection &) = delete;
    ToggledCollection &operator=(const ToggledCollection &) = delete;
};

/// A store without a host list, as the users' platform: entry hosts register themselves.
class RegistrationPort : public FleetStore::Port
{
public:
    using FleetStore::Port::Port;
    [[nodiscard]] bool hasHostList() const override { return false; }
};

class ControlCostFleet;

/// What happens in the fleet during one case.
struct CostCase
{
    const char *name_;
    const char *ownRole_; ///< role that the measured host holds; empty for none
    std::uint64_t accountGroups_; ///< as in ControlOptions
    void (ControlCostFleet::*change_)(std::size_t number); ///< once per kChangePeriod; or nullptr
    bool usesAllowances_; ///< whether the siblings renew shares at this host
};

/// One decision core among simulated siblings and back ends.
class ControlCostFleet
    : public SiblingSender
    , public BackendLink
{
public:
    ControlCostFleet(const CostCase &costCase, std::size_t hosts);

    void run(Duration duration)
    {
        events_.runUntil(events_.now() + duration, [] {});
    }

    void send(const HostName &host, const SiblingMessage &message) override;
    void grant(const Address &address, const Grant &grant, OnGrantReply done) override;
    void probe(const Address &address, OnProbeReply done) override;

    /// Drains one back end, or lets it return with a new process.
    void restartBackend(std::size_t number);
    /// Changes the rate of one team.
    void changeContract(std::size_t number);

    [[nodiscard]] const ControlCore &core() const { return *core_; }
    [[nodiscard]] bool holds(const std::string &role) const
    {
        return core_->roles().holds(RoleName(role), now());
    }

private:
    /// A simulated sibling and its shares of the accounts that it uses.
    struct Sibling
    {
        MemberUpdate self_;
        std::map<AccountName, AllowanceRequest> requests_;
    };

    [[nodiscard]] TimePoint now() const { return TimePoint(1h) + events_.now(); }
    [[nodiscard]] ConfigSummary summary() const;
    [[nodiscard]] static std::string backendName(std::size_t index);
    [[nodiscard]] static std::string teamName(std::size_t index);
    [[nodiscard]] pimentostage::Backend backendAt(std::size_t index) const;

    void addMembers(std::size_t hosts);
    void writeObjects();
    void writeRole(const RoleName &role);
    void startCore();
    void enter(const std::function<void()> &task);
    void deliver(const Sibling &from, const SiblingMessage &message);
    void tick();
    void probeFrom(std::size_t sibling);
    void requestAllowances(std::size_t sibling);
    void change(std::size_t number);

    void answer(Sibling &sibling, const Probe &probe);
    void answer(Sibling &sibling, const PromiseRequest &request);
    void answer(Sibling &sibling, const ReleaseRequest &request);
    void answer(Sibling &sibling, const AllowanceReplies &replies);
    template <typename Message>
    void answer(Sibling &, const Message &)
    { }

    const CostCase &case_;
    EventQueue events_;
    NullLog log_;
    MetricRegistry metrics_;
    FleetStore store_;
    RegistrationPort port_;
    UnreachableRangeLink ranges_;
    MemberUpdate self_;
    std::vector<Sibling> siblings_;
    std::map<HostName, std::size_t> siblingByName_;
    std::map<Address, ServerLease> leases_;
    SnapshotPublisher<RoutingTable> routing_;
    SnapshotPublisher<TrafficView> views_;
    std::unique_ptr<ControlCore> core_;
};

ControlCostFleet::ControlCostFleet(const CostCase &costCase, std::size_t hosts)
    : case_(costCase)
    , store_(events_)
    , port_(store_, [this](const std::function<void()> &task) { enter(task); })
    , routing_(std::make_shared<RoutingTable>())
    , views_(std::make_shared<TrafficView>())
{
    addMembers(hosts);
    writeObjects();
    startCore();
}

// The measured host is the one that its fleet prefers for the case's role.
void ControlCostFleet::addMembers(std::size_t hosts)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < hosts; ++i)
        members.push_back(Member { HostName("entry-" + std::to_string(i)),
                                   Incarnation { 1'765'000'000'000'000 + i } });
    const Member self = rankedFor(RoleName(case_.ownRole_), members).front();
    for (std::size_t i = 0; i < hosts; ++i) {
        MemberUpdate update;
        update.member_ = members[i];
        update.address_ = Address { "10.0.0.1", static_cast<std::uint16_t>(1 + i) };
        update.zone_ = ZoneName("zone-" + std::to_string(i % kZones));
        if (members[i] == self) {
            self_ = update;
            continue;
        }
        siblingByName_[update.member_.host_] = siblings_.size();
        siblings_.push_back(Sibling { update, {} });
    }
    for (std::size_t i = 0; i < siblings_.size(); ++i) {
        for (std::size_t j = 0; j < kTeamsPerSibling; ++j) {
            const AccountName account
                = LocalTokenBuckets::accountOf(TeamName(teamName((i + 10 * j) % kTeams)));
            siblings_[i].requests_[account].account_ = account;
            siblings_[i].requests_[account].demand_ = 1;
        }
    }
}

std::string ControlCostFleet::backendName(std::size_t index)
{
    return "worker-" + std::to_string(index);
}

std::string ControlCostFleet::teamName(std::size_t index)
{
    return "team-" + std::to_string(index);
}

pimentostage::Backend ControlCostFleet::backendAt(std::size_t index) const
{
    pimentostage::Backend backend;
    backend.name_ = BackendName(backendName(index));
    backend.service_ = ServiceName(index < kKeyedBackends ? kKeyedService : kPlainService);
    backend.zone_ = ZoneName("zone-" + std::to_string(index % kZones));
    backend.address_ = Address { "10.0.1.1", static_cast<std::uint16_t>(1 + index) };
    backend.slots_ = 6;
    backend.connections_ = 110;
    backend.incarnation_ = Incarnation { 1 };
    return backend;
}

void ControlCostFleet::writeObjects()
{
    for (std::size_t i = 0; i < kZones; ++i) {
        const ZoneName zone("zone-" + std::to_string(i));
        store_.set({ ObjectKind::Zone, zone.str() },
                   formatZone(Zone { zone, ZoneState::In, Duration::zero() }));
    }
    for (const std::string name : { kKeyedService, kPlainService }) {
        Service service;
        service.name_ = ServiceName(name);
        service.keyed_ = name == kKeyedService;
        service.keySegment_ = 1;
        service.shardCount_ = kShards;
        Route route;
        route.name_ = RouteName("read");
        route.method_ = "GET";
        route.prefix_ = "/items";
        route.kind_ = "read";
        route.timeout_ = 400ms;
        service.routes_.push_back(route);
        store_.set({ ObjectKind::Service, name }, formatService(service));
    }
    for (std::size_t i = 0; i < kBackends; ++i) {
        const pimentostage::Backend backend = backendAt(i);
        store_.set({ ObjectKind::Backend, backend.name_.str() }, formatBackend(backend));
        leases_.emplace(backend.address_, ServerLease(Incarnation { i + 1 }));
    }
    for (std::size_t i = 0; i < kTeams; ++i) {
        const std::string team = teamName(i);
        Contract contract;
        contract.team_ = TeamName(team);
        contract.rate_ = 40;
        contract.burst_ = 20;
        contract.connections_ = 10;
        store_.set({ ObjectKind::Contract, team }, formatContract(contract));
        // A key's hash has 64 hexadecimal digits.
        std::string hash = std::to_string(i);
        hash.insert(0, 64 - hash.size(), '0');
        store_.set({ ObjectKind::TeamKey, team },
                   formatTeamKey(TeamKey { team, contract.team_, hash }));
    }
    for (const Sibling &sibling : siblings_) {
        const MemberUpdate &self = sibling.self_;
        store_.set({ ObjectKind::EntryHost, self.member_.host_.str() },
                   formatEntryHost(EntryHost { self.member_.host_, self.member_.incarnation_,
                                               self.zone_, self.address_ }));
    }
    Placement placement;
    placement.service_ = ServiceName(kKeyedService);
    placement.epoch_ = Epoch { 1 };
    placement.roleEpoch_ = Epoch { 1 };
    placement.nonce_ = "first";
    for (std::size_t i = 0; i < kShards; ++i)
        placement.shards_.push_back(
            ShardOwner { BackendName(backendName(i % kKeyedBackends)), Epoch { 1 } });
    if (case_.ownRole_ != coordinatorRoleOf(placement.service_).str())
        store_.set({ ObjectKind::Placement, kKeyedService }, formatPlacement(placement));
    writeRole(coordinatorRoleOf(placement.service_));
    // AllowanceControl divides this many accounts into eight groups.
    const std::size_t groups = case_.accountGroups_ > 0 ? case_.accountGroups_ : 8;
    for (std::size_t i = 0; i < groups; ++i)
        writeRole(RoleName("accounts." + std::to_string(i)));
}

// Roles that the measured host doesn't hold are held by a sibling.
void ControlCostFleet::writeRole(const RoleName &role)
{
    if (role.str() == case_.ownRole_)
        return;
    RoleRecord record;
    record.role_ = role;
    record.epoch_ = Epoch { 1 };
    record.holder_ = siblings_.front().self_.member_;
    record.members_ = { record.holder_ };
    record.nonce_ = "first";
    store_.set({ ObjectKind::Role, role.str() }, formatRoleRecord(record));
}

void ControlCostFleet::startCore()
{
    ControlOptions options;
    options.accountGroups_ = case_.accountGroups_;
    const ControlPorts ports {
        port_,
        *this,
        *this,
        ranges_,
        [this](Duration delay, std::function<void()> task) {
            const ToggledCollection uncounted;
            events_.after(delay, [this, task = std::move(task)] { enter(task); });
        },
        [this] { return now(); },
        1,
    };
    core_ = std::make_unique<ControlCore>(self_, options, ports, routing_, views_, log_, metrics_);
    enter([this] { core_->start(); });
    tick();
    for (std::size_t i = 0; i < siblings_.size(); ++i) {
        const auto index = static_cast<std::int64_t>(i);
        const auto count = static_cast<std::int64_t>(siblings_.size());
        events_.after(kProbePeriod * index, [this, i] { probeFrom(i); });
        // All siblings are known at the start, as after a fleet has run for some time.
        deliver(siblings_[i], Probe { siblings_[i].self_.member_.host_,
                                      self_.member_.host_,
                                      0,
                                      { siblings_[i].self_ },
                                      {} });
        if (case_.usesAllowances_)
            events_.after(kShareRenewalPeriod * index / count, [this, i] { requestAllowances(i); });
    }
    if (case_.change_)
        change(0);
}

void ControlCostFleet::enter(const std::function<void()> &task)
{
    const ToggledCollection counted;
    task();
}

void ControlCostFleet::deliver(const Sibling &from, const SiblingMessage &message)
{
    events_.after(kNetworkDelay, [this, self = from.self_, message] {
        enter([&] { core_->onSiblingMessage(self, message); });
    });
}

void ControlCostFleet::tick()
{
    enter([this] { core_->tick(); });
    events_.after(ControlOptions {}.tick_, [this] { tick(); });
}

ConfigSummary ControlCostFleet::summary() const
{
    const ConfigState &config = core_->config();
    return ConfigSummary { config.revision(), config.digest(), config.confirmedDigest(), 100ms };
}

void ControlCostFleet::probeFrom(std::size_t index)
{
    const Sibling &sibling = siblings_[index];
    deliver(
        sibling,
        Probe {
            sibling.self_.member_.host_, self_.member_.host_, 0, { sibling.self_ }, summary() });
    events_.after(kProbePeriod * static_cast<std::int64_t>(siblings_.size()),
                  [this, index] { probeFrom(index); });
}

void ControlCostFleet::requestAllowances(std::size_t index)
{
    AllowanceRequests requests;
    requests.sentAt_ = now().time_since_epoch();
    for (const auto &[account, request] : siblings_[index].requests_)
        requests.requests_.push_back(request);
    deliver(siblings_[index], requests);
    events_.after(kShareRenewalPeriod, [this, index] { requestAllowances(index); });
}

void ControlCostFleet::change(std::size_t number)
{
    (this->*case_.change_)(number);
    events_.after(kChangePeriod, [this, number] { change(number + 1); });
}

void ControlCostFleet::restartBackend(std::size_t number)
{
    const std::size_t index = number / 2 % kBackends;
    pimentostage::Backend backend = backendAt(index);
    const bool isDraining = number % 2 == 0;
    backend.state_ = isDraining ? BackendState::Draining : BackendState::Ready;
    backend.incarnation_ = Incarnation { isDraining ? 1U : 2U };
    store_.set({ ObjectKind::Backend, backend.name_.str() }, formatBackend(backend));
}

void ControlCostFleet::changeContract(std::size_t number)
{
    Contract contract;
    contract.team_ = TeamName(teamName(number % kTeams));
    contract.rate_ = number / kTeams % 2 == 0 ? 50 : 40;
    contract.burst_ = 20;
    contract.connections_ = 10;
    store_.set({ ObjectKind::Contract, contract.team_.str() }, formatContract(contract));
}

void ControlCostFleet::send(const HostName &host, const SiblingMessage &message)
{
    const ToggledCollection uncounted;
    Sibling &sibling = siblings_[siblingByName_.at(host)];
    std::visit([&](const auto &content) { answer(sibling, content); }, message);
}

void ControlCostFleet::answer(Sibling &sibling, const Probe &probe)
{
    deliver(sibling, ProbeAck { probe.origin_,
                                sibling.self_.member_.host_,
                                probe.sequence_,
                                { sibling.self_ },
                                summary() });
}

void ControlCostFleet::answer(Sibling &sibling, const PromiseRequest &request)
{
    deliver(sibling, PromiseReply { request.role_, request.epoch_, request.sentAt_ });
}

void ControlCostFleet::answer(Sibling &sibling, const ReleaseRequest &request)
{
    deliver(sibling, ReleaseReply { request.role_, request.epoch_, Duration::zero() });
}

void ControlCostFleet::answer(Sibling &sibling, const AllowanceReplies &replies)
{
    for (const AllowanceLease &lease : replies.leases_) {
        AllowanceRequest &request = sibling.requests_[lease.account_];
        request.lastLeaseId_ = lease.id_;
        request.heldRate_ = lease.rate_;
        request.heldBurst_ = lease.burst_;
        request.heldValidity_ = lease.validity_ - kShareRenewalPeriod;
    }
}

void ControlCostFleet::grant(const Address &address, const Grant &grant, OnGrantReply done)
{
    const ToggledCollection uncounted;
    events_.after(2 * kNetworkDelay, [this, address, grant, done = std::move(done)] {
        const GrantReply reply = leases_.at(address).apply(grant, now());
        enter([&] { done(reply); });
    });
}

void ControlCostFleet::probe(const Address &, OnProbeReply done)
{
    const ToggledCollection uncounted;
    events_.after(2 * kNetworkDelay,
                  [this, done = std::move(done)] { enter([&] { done(true); }); });
}

constexpr std::array kCases {
    CostCase { "idle", "", 0, nullptr, false },
    CostCase { "view-change", "", 0, &ControlCostFleet::restartBackend, false },
    CostCase { "config-change", "", 0, &ControlCostFleet::changeContract, false },
    CostCase { "coordinator", "coordinator.permits", 0, nullptr, false },
    CostCase { "holder", kAccountsRole, 1, nullptr, true },
};

/// Runs one case, with callgrind counting once it has started.
/// @return whether the measured host is ready and holds its role.
bool runCase(const CostCase &costCase, std::size_t hosts)
{
    ControlCostFleet fleet(costCase, hosts);
    fleet.run(kStart);
    CALLGRIND_START_INSTRUMENTATION;
    fleet.run(std::chrono::seconds(kMeasuredSeconds));
    CALLGRIND_STOP_INSTRUMENTATION;
    const std::string role = costCase.ownRole_;
    const bool isValid = fleet.core().readiness() == Readiness::Ready
                         && fleet.core().config().revision() > Version {}
                         && (role.empty() || fleet.holds(role));
    std::printf("%s %zu hosts: %lld s simulated, %s\n", costCase.name_, hosts,
                static_cast<long long>(kMeasuredSeconds), isValid ? "valid" : "INVALID");
    return isValid;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: control_cost_bench CASE|all HOSTS\n");
        return EXIT_FAILURE;
    }
    const std::string wanted = argv[1];
    const std::size_t hosts = std::strtoul(argv[2], nullptr, 10);
    bool areValid = hosts > 1;
    std::size_t run = 0;
    for (const CostCase &costCase : kCases) {
        if (wanted != "all" && wanted != costCase.name_)
            continue;
        ++run;
        areValid = areValid && runCase(costCase, hosts);
    }
    return areValid && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
