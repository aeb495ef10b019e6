#include "src/daemon/Node.h"

#include <algorithm>
#include <condition_variable>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kHostPollPeriod = std::chrono::seconds(1);
constexpr Duration kDrainPoll = std::chrono::milliseconds(20);

BackendClientOptions backendOptions(const Settings &settings)
{
    BackendClientOptions options;
    options.threads_ = static_cast<std::size_t>(settings.backendThreads_);
    options.mostIdleAge_ = settings.backendIdleAge_;
    options.retryShare_ = settings.backendRetryShare_;
    options.hedgeShare_ = settings.backendHedgeShare_;
    options.hedging_ = settings.backendHedging_;
    return options;
}

StoreClientOptions storeOptions(const Settings &settings)
{
    StoreClientOptions options;
    options.baseUrl_ = settings.platformUrl_;
    options.timeout_ = settings.platformTimeout_;
    options.callsPerSecond_ = settings.platformCallsPerSecond_;
    options.callBurst_ = settings.platformCallsPerSecond_;
    return options;
}

HttpServerOptions callerOptions(const Settings &settings)
{
    HttpServerOptions options;
    options.address_ = settings.callerAddress_;
    options.threads_ = static_cast<int>(settings.callerThreads_);
    options.threadName_ = "caller";
    options.mostRequestBytes_ = static_cast<std::size_t>(settings.callerMostRequestBytes_);
    options.headerTimeout_ = settings.callerHeaderTimeout_;
    options.bodyTimeout_ = settings.callerBodyTimeout_;
    options.keepAliveTimeout_ = settings.callerKeepAlive_;
    return options;
}

std::string idPrefix(const Settings &settings)
{
    return settings.hostName_ + '-' + std::to_string(std::random_device {}()) + '-';
}

std::shared_ptr<const TrafficView> emptyView()
{
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = std::make_shared<Configuration>();
    view->routing_ = std::make_shared<RoutingTable>();
    return view;
}

} // namespace

Node::Node(const Settings &settings, LogSink &log)
    : settings_(settings)
    , log_(log)
    , routing_(std::make_shared<RoutingTable>())
    , views_(emptyView())
    , backends_(backendOptions(settings), routing_, log, counters_)
    , callers_(views_, backends_, *this, log, counters_)
    , callerServer_(callers_, idPrefix(settings))
    , operatorServer_(*this, counters_)
    , store_(
          storeOptions(settings),
          [this](std::function<void()> task) { control_.post(std::move(task)); }, counters_)
    , watcher_(
          store_, config_,
          [this](Duration delay, std::function<void()> task) {
              control_.after(delay, std::move(task));
          },
          Random(std::random_device {}()), log, [this] { onConfigChange(); })
{ }

Node::~Node()
{
    control_.stop();
}

leaf::result<void> Node::start()
{
    BOOST_LEAF_CHECK(operatorServer_.start(settings_.operatorAddress_));
    control_.run([this] { startControl(); });
    BOOST_LEAF_CHECK(callerServer_.start(callerOptions(settings_)));
    log_.write(LogLine(Severity::Info, "started")
                   .add("host", settings_.hostName_)
                   .add("zone", settings_.zone_)
                   .add("caller_address", settings_.callerAddress_.str()));
    return {};
}

void Node::startControl()
{
    watcher_.start();
    pollHosts();
    control_.every(kTick, [this] { tick(); });
}

void Node::pollHosts()
{
    store_.hosts([this](const Reply<std::vector<ListedHost>> &reply) {
        if (const auto *hosts = std::get_if<std::vector<ListedHost>>(&reply)) {
            if (*hosts != hosts_) {
                hosts_ = *hosts;
                onConfigChange();
            }
        }
        control_.after(kHostPollPeriod, [this] { pollHosts(); });
    });
}

void Node::tick()
{
    const TimePoint now = BootClock::now();
    for (const auto &[team, purse] : purses_.purses())
        purse->expireWaiters(now);
}

Readiness Node::readiness() const
{
    if (stopping_)
        return Readiness::Stopping;
    return config_.revision() == Version {} ? Readiness::Starting : Readiness::Ready;
}

void Node::onConfigChange()
{
    trackZones(*config_.configuration());
    publish();
}

void Node::trackZones(const Configuration &configuration)
{
    const TimePoint now = BootClock::now();
    for (const auto &[name, zone] : configuration.zones_) {
        const auto known = zoneStates_.find(name);
        const bool hasReturned = known != zoneStates_.end() && known->second == ZoneState::Out
                                 && zone.state_ == ZoneState::In;
        if (hasReturned)
            facts_.zoneReturnedAt_[name] = now;
        zoneStates_[name] = zone.state_;
    }
}

void Node::publish()
{
    facts_.leavingHosts_.clear();
    std::size_t entryHosts = 0;
    for (const ListedHost &host : hosts_) {
        if (host.state_ == HostState::Leaving)
            facts_.leavingHosts_.insert(host.name_);
        entryHosts += host.kind_ == HostKind::Entry ? 1 : 0;
    }
    facts_.entryHosts_ = std::max<std::size_t>(1, entryHosts);
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = config_.configuration();
    view->routing_ = tableBuilder_.build(*view->configuration_, facts_);
    purses_.update(*view->configuration_);
    view->purses_ = purses_.purses();
    view->readiness_ = readiness();
    readiness_ = view->readiness_;
    routing_.publish(view->routing_);
    views_.publish(std::move(view));
}

void Node::tokensWanted(const AccountName &account)
{
    control_.post([this, account] { lendLocally(account); });
}

void Node::lendLocally(const AccountName &account)
{
    const TimePoint now = BootClock::now();
    TokenPurse *purse = purses_.find(account);
    if (!purse)
        return;
    const auto configuration = config_.configuration();
    for (const auto &[team, contract] : configuration->contracts_) {
        if (PurseBook::accountOf(team) != account)
            continue;
        const double hosts = static_cast<double>(facts_.entryHosts_);
        const AllowanceTerms terms { contract.rate_ / hosts, contract.burst_ / hosts };
        auto [lender, isNew]
            = lenders_.try_emplace(account, terms, Epoch { 1 }, now, terms.burst_, now);
        if (lender->second.terms() != terms)
            lender->second.setTerms(terms, now);
        purse->applyLoan(
            lender->second.lend(HostName(settings_.hostName_), purse->request(now), now), now, now);
    }
}

void Node::stop()
{
    stopping_ = true;
    log_.write(LogLine(Severity::Info, "stopping").add("host", settings_.hostName_));
    callerServer_.drain();
    control_.run([this] { publish(); });
    std::this_thread::sleep_for(settings_.callerDrainNotice_);
    const TimePoint limit = BootClock::now() + settings_.callerDrainLimit_;
    while (callers_.inFlight() > 0 && BootClock::now() < limit)
        std::this_thread::sleep_for(kDrainPoll);
    callerServer_.stop();
    operatorServer_.stop();
    control_.stop();
    log_.write(LogLine(Severity::Info, "stopped").add("host", settings_.hostName_));
}

bool Node::isReady() const
{
    return readiness_ == Readiness::Ready;
}

std::string Node::statusJson()
{
    nlohmann::json status;
    control_.run([&] {
        const auto age = config_.age(BootClock::now());
        status = { { "host", settings_.hostName_ },
                   { "zone", settings_.zone_ },
                   { "readiness", toString(readiness_.load()) },
                   { "config_revision", config_.revision().value_ },
                   { "config_digest", std::to_string(config_.digest()) },
                   { "store_connected", watcher_.isConnected() } };
        if (age)
            status["config_age_ms"] = toMilliseconds(*age);
    });
    return status.dump();
}

std::string Node::ownerJson(const std::string &service, const std::string &key)
{
    const std::shared_ptr<const RoutingTable> table = routing_.load();
    const auto routes = table->services_.find(service);
    if (routes == table->services_.end() || !routes->second.placement_)
        return "";
    const ShardOwner &owner = ownerOf(*routes->second.placement_, key);
    return nlohmann::json({ { "service", service },
                            { "key", key },
                            { "backend", owner.backend_.str() },
                            { "epoch", owner.epoch_.value_ } })
        .dump();
}

} // namespace pimentostage
