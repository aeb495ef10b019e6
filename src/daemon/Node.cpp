#include "src/daemon/Node.h"

#include <random>
#include <thread>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr Duration kDrainPoll = std::chrono::milliseconds(20);

BackendClientOptions backendOptions(const Settings &settings)
{
    BackendClientOptions options;
    options.threads_ = static_cast<std::size_t>(settings.backendThreads_);
    options.mostIdleAge_ = settings.backendIdleAge_;
    options.retryShare_ = settings.backendRetryShare_;
    options.hedgeShare_ = settings.backendHedgeShare_;
    options.hedging_ = settings.backendHedging_;
    options.queue_.mostWaiting_ = static_cast<std::size_t>(settings.backendQueueLength_);
    options.queue_.mostWait_ = settings.backendQueueTime_;
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
    , control_(settings, routing_, views_, log, counters_)
    , backends_(backendOptions(settings), routing_, *this, log, counters_)
    , callers_(views_, backends_, *this, log, counters_)
    , callerServer_(callers_, idPrefix(settings),
                    static_cast<std::size_t>(settings.callerMostConnections_))
    , operatorServer_(*this, counters_)
{ }

Node::~Node()
{
    callerServer_.stop();
    operatorServer_.stop();
    control_.stop();
}

leaf::result<void> Node::start()
{
    BOOST_LEAF_CHECK(operatorServer_.start(settings_.operatorAddress_));
    BOOST_LEAF_CHECK(control_.start());
    BOOST_LEAF_CHECK(callerServer_.start(callerOptions(settings_)));
    log_.write(LogLine(Severity::Info, "started")
                   .add("host", settings_.hostName_)
                   .add("zone", settings_.zone_)
                   .add("caller_address", settings_.callerAddress_.str()));
    return {};
}

void Node::stop()
{
    log_.write(LogLine(Severity::Info, "stopping").add("host", settings_.hostName_));
    callerServer_.drain();
    control_.leave();
    std::this_thread::sleep_for(settings_.callerDrainNotice_);
    const TimePoint limit = BootClock::now() + settings_.callerDrainLimit_;
    while (callers_.inFlight() > 0 && BootClock::now() < limit)
        std::this_thread::sleep_for(kDrainPoll);
    callerServer_.stop();
    operatorServer_.stop();
    control_.stop();
    log_.write(LogLine(Severity::Info, "stopped").add("host", settings_.hostName_));
}

void Node::tokensWanted(const AccountName &account)
{
    control_.tokensWanted(account);
}

void Node::onBackendCold(const BackendName &backend)
{
    control_.backendWarmth(BackendWarmth { backend, true });
}

void Node::onBackendWarm(const BackendName &backend)
{
    control_.backendWarmth(BackendWarmth { backend, false });
}

void Node::onKeyLoad(const KeyLoad &load)
{
    control_.keyLoad(load);
}

bool Node::isReady() const
{
    return control_.readiness() == Readiness::Ready;
}

std::string Node::statusJson()
{
    return control_.statusJson();
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
