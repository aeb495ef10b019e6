#include "src/daemon/ControlPlane.h"

#include "src/daemon/DescriptorPlan.h"

#include <cmath>
#include <future>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

/// @return the rejected versions that stand, by object, each with what is in force instead.
nlohmann::json rejectedJson(const ConfigState &config)
{
    nlohmann::json rows = nlohmann::json::object();
    for (const auto &[ref, rejected] : config.rejected()) {
        const StoredObject *inForce = config.find(ref);
        const bool isInForce = inForce && !inForce->deleted_;
        rows[ref.str()] = { { "version", rejected.version_.value_ },
                            { "reason", rejected.reason_ },
                            { "in_force", isInForce ? inForce->version_.value_ : 0 } };
    }
    return rows;
}

constexpr Duration kLeavePollPeriod = std::chrono::milliseconds(10);
constexpr Duration kRegistrationEndTimeout = std::chrono::milliseconds(300);
constexpr Duration kLeaveTimeout = std::chrono::seconds(1);

ControlOptions controlOptions(const Settings &settings)
{
    ControlOptions options;
    options.tick_ = settings.controlTick_;
    options.accountGroups_ = static_cast<std::uint64_t>(settings.controlAccountGroups_);
    options.maxConfigAge_ = maxConfigAgeOf(settings);
    options.changeDeadline_ = settings.controlChangeDeadline_;
    options.missingTeams_ = missingTeamsOf(settings);
    options.isFirstStart_ = settings.hostFirstStart_;
    options.readers_ = static_cast<std::size_t>(settings.controlReaders_);
    options.readerSilence_ = readerSilenceOf(settings);
    options.maxBackendsAge_ = maxBackendsAgeOf(settings);
    options.maxZonesAge_ = maxZonesAgeOf(settings);
    options.backendReportPeriod_ = settings.controlBackendReportPeriod_;
    options.sharesRoom_ = settings.siblingShareRoom_;
    options.boundsTerms_ = settings.siblingBoundedTerms_;
    options.majorityConfirms_ = settings.controlMajorityConfirms_;
    options.membership_.probePeriod_ = settings.siblingProbePeriod_;
    options.membership_.directTimeout_ = settings.siblingProbeTimeout_;
    options.membership_.indirectTimeout_ = settings.siblingProbeTimeout_;
    options.membership_.suspicionTimeout_ = settings.siblingSuspicionTimeout_;
    options.rollout_.maxShare_ = settings.rolloutMaxShare_;
    options.rollout_.maxExtra_ = static_cast<std::uint64_t>(settings.rolloutMaxExtra_);
    options.rollout_.rollback_ = settings.rolloutRollback_;
    for (const Address &seed : settings.siblingSeeds_)
        options.seeds_.push_back({ seed.ip_, settings.siblingAddress_.port_ });
    return options;
}

// Incarnations order the successive processes of one host, so they come from the wall clock.
// Otherwise the wall clock is used only for the times in log lines.
Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation { static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count()) };
}

MemberUpdate makeSelf(const Settings &settings)
{
    MemberUpdate self;
    self.member_ = Member { HostName(settings.hostName_), newIncarnation() };
    self.address_ = settings.siblingAddress_;
    self.zone_ = ZoneName(settings.zone_);
    self.capacity_
        = static_cast<std::uint32_t>(std::lround(settings.hostCores_ * kMillicoresPerCore));
    return self;
}

} // namespace

ControlPlane::ControlPlane(const Settings &settings, const PeerAdapters &adapters,
                           SnapshotPublisher<RoutingTable> &routing,
                           SnapshotPublisher<TrafficView> &views, LogSink &log,
                           MetricRegistry &metrics, std::shared_ptr<MemoryBudget> memory)
    : settings_(settings)
    , self_(makeSelf(settings))
    , store_(adapters.makeStore_(loop_, metrics, memory))
    , backends_(adapters.makeBackendLink_(loop_))
    , ranges_(adapters.makeRangeLink_(loop_))
    , links_(
          loop_.context(), self_,
          [this](const HostName &host) -> std::optional<Address> {
              const auto member = core_.membership().find(host);
              return member ? std::optional(member->address_) : std::nullopt;
          },
          [this](const MemberUpdate &from, const SiblingMessage &message) {
              if (std::holds_alternative<ProbeAck>(message))
                  links_.onAnswer(from.member_.host_);
              core_.onSiblingMessage(from, message);
          },
          log, metrics, SiblingResources { std::move(memory), descriptorPlan().siblings_ })
    , core_(self_, controlOptions(settings), ports(), routing, views, log, metrics)
{ }

ControlPlane::~ControlPlane()
{
    stop();
}

ControlPorts ControlPlane::ports()
{
    return ControlPorts { *store_,
                          links_,
                          *backends_,
                          *ranges_,
                          [this](Duration delay, std::function<void()> task) {
                              loop_.after(delay, std::move(task));
                          },
                          [] { return BootClock::now(); },
                          std::random_device {}() };
}

leaf::result<void> ControlPlane::start()
{
    BOOST_LEAF_CHECK(links_.listen(settings_.siblingAddress_));
    loop_.run([this] {
        core_.start();
        loop_.every(settings_.controlTick_, [this] { core_.tick(); });
    });
    return {};
}

void ControlPlane::stop()
{
    loop_.stop();
}

void ControlPlane::leave()
{
    loop_.run([this] { core_.leave(); });
    const TimePoint limit = BootClock::now() + kLeaveTimeout;
    std::size_t pending = 1;
    while (pending > 0 && BootClock::now() < limit) {
        std::this_thread::sleep_for(kLeavePollPeriod);
        loop_.run([&] { pending = core_.pendingWrites(); });
    }
}

void ControlPlane::reportTokensNeeded(const AccountName &account)
{
    loop_.post([this, account] { core_.onTokensNeeded(account); });
}

void ControlPlane::reportBackendColdState(const BackendColdState &coldState)
{
    loop_.post(
        [this, coldState] { core_.applyBackendColdState(coldState, true, BootClock::now()); });
}

void ControlPlane::reportKeyLoad(const KeyLoad &load)
{
    loop_.post([this, load] { core_.addKeyLoad(load); });
}

void ControlPlane::endRegistration()
{
    const auto done = std::make_shared<std::promise<void>>();
    std::future<void> ended = done->get_future();
    loop_.post([this, done] { core_.endRegistration([done] { done->set_value(); }); });
    ended.wait_for(kRegistrationEndTimeout);
}

std::string ControlPlane::statusJson()
{
    nlohmann::json status;
    loop_.run([&] {
        const TimePoint now = BootClock::now();
        status = { { "host", settings_.hostName_ },
                   { "zone", settings_.zone_ },
                   { "incarnation", self_.member_.incarnation_.value_ },
                   { "readiness", toString(core_.readiness()) },
                   { "config_revision", core_.config().revision().value_ },
                   { "config_digest", std::to_string(core_.config().digest()) },
                   { "store_connected", core_.isStoreConnected() } };
        if (const auto age = core_.config().age(now))
            status["config_age_ms"] = toMilliseconds(*age);
        status["config_confirmable"] = core_.config().isConfirmable();
        status["rejected"] = rejectedJson(core_.config());
        for (const MemberUpdate &member : core_.membership().all()) {
            status["members"][member.member_.host_.str()]
                = { { "incarnation", member.member_.incarnation_.value_ },
                    { "liveness", toString(member.liveness_) } };
        }
        for (const auto &[role, elector] : core_.roles().electors()) {
            status["roles"][role.str()]
                = { { "phase", toString(elector->phase()) },
                    { "holds", elector->holds(now) },
                    { "epoch", elector->record() ? elector->record()->epoch_.value_ : 0 },
                    { "holder", elector->record() ? elector->record()->holder_.host_.str() : "" } };
        }
    });
    return status.dump();
}

} // namespace pimentostage
