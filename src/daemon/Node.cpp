#include "src/daemon/Node.h"

#include "src/daemon/StopSchedule.h"

#include <random>
#include <thread>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr Duration kDrainPollPeriod = std::chrono::milliseconds(20);

std::unique_ptr<EventLoop> makeTrafficLoop(const Settings &settings)
{
    return settings.callerSharedThread_ ? std::make_unique<EventLoop>("traffic") : nullptr;
}

BackendClientOptions backendOptions(const Settings &settings, const PeerAdapters &adapters,
                                    EventLoop *loop)
{
    BackendClientOptions options;
    options.protocol_ = adapters.backendProtocol_;
    options.loop_ = loop;
    options.threads_ = static_cast<std::size_t>(settings.backendThreads_);
    options.maxIdleAge_ = settings.backendMaxIdleAge_;
    options.maxRejections_ = static_cast<std::uint32_t>(settings.backendMaxRejections_);
    options.budgetReserve_ = settings.backendBudgetReserve_;
    options.retryShare_ = settings.backendRetryShare_;
    options.hedgeShare_ = settings.backendHedgeShare_;
    options.hedging_ = settings.backendHedging_;
    options.queue_.maxWaiting_ = static_cast<std::size_t>(settings.backendQueueLength_);
    options.queue_.maxWait_ = settings.backendMaxQueueTime_;
    options.admissionRule_ = settings.backendAdmissionRule_;
    return options;
}

HttpServerOptions callerOptions(const Settings &settings)
{
    HttpServerOptions options;
    options.address_ = settings.callerAddress_;
    options.threads_ = static_cast<int>(settings.callerThreads_);
    options.threadName_ = "caller";
    options.maxRequestBytes_ = static_cast<std::size_t>(settings.callerMaxRequestBytes_);
    options.headerTimeout_ = settings.callerHeaderTimeout_;
    options.bodyTimeout_ = settings.callerBodyTimeout_;
    options.keepAliveTimeout_ = settings.callerKeepAlive_;
    return options;
}

std::unique_ptr<BeastServer> makeCallerServer(const Settings &settings, EventLoop *loop)
{
    auto server = loop ? std::make_unique<BeastServer>(*loop) : std::make_unique<BeastServer>();
    if (settings.callerAbandonOnHalfClose_)
        server->setHalfClosePolicy(BeastServer::HalfClosePolicy::Abandon);
    return server;
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

Node::Node(const Settings &settings, const PeerAdapters &adapters, LogSink &log)
    : settings_(settings)
    , log_(log)
    , routing_(std::make_shared<RoutingTable>())
    , views_(emptyView())
    , trafficLoop_(makeTrafficLoop(settings))
    , control_(settings, adapters, routing_, views_, log, metrics_)
    , backends_(backendOptions(settings, adapters, trafficLoop_.get()), routing_, *this, log,
                metrics_)
    , callers_(views_, backends_, *this, log, metrics_)
    , callerServer_(makeCallerServer(settings, trafficLoop_.get()), callers_,
                    *adapters.callerProtocol_, idPrefix(settings),
                    static_cast<std::size_t>(settings.callerMaxConnections_))
    , operatorServer_(adapters.makeOperatorServer_(control_.loop()), *this, metrics_)
    , readyServer_(
          settings.operatorReadyAddress_.port_ == 0
              ? nullptr
              : std::make_unique<OperatorServer>(adapters.makeOperatorServer_(control_.loop()),
                                                 static_cast<HostStatus &>(*this), metrics_))
{ }

Node::~Node()
{
    stopThreads();
}

void Node::stopThreads()
{
    callerServer_.stop();
    if (readyServer_)
        readyServer_->stop();
    operatorServer_.stop();
    control_.stop();
    if (trafficLoop_)
        trafficLoop_->stop();
}

leaf::result<void> Node::start()
{
    BOOST_LEAF_CHECK(
        operatorServer_.start(settings_.operatorAddress_, settings_.operatorReadyPath_));
    if (readyServer_) {
        BOOST_LEAF_CHECK(
            readyServer_->start(settings_.operatorReadyAddress_, settings_.operatorReadyPath_));
    }
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
    const TimePoint signalledAt = BootClock::now();
    const StopSchedule schedule(signalledAt, settings_.callerDrainNotice_,
                                drainTimeoutOf(settings_));
    log_.write(LogLine(Severity::Info, "stopping").add("host", settings_.hostName_));
    callerServer_.drain();
    control_.leave();
    std::this_thread::sleep_for(schedule.drainsFrom() - BootClock::now());
    // The load balancer has had time to remove this host; a request accepted from here on could be
    // cut off by the end of the process.
    callers_.stopAccepting();
    logStop("draining", signalledAt);
    finishRequests(schedule);
    logStop("drained", signalledAt);
    control_.endRegistration();
    stopThreads();
    log_.write(LogLine(Severity::Info, "stopped").add("host", settings_.hostName_));
}

void Node::finishRequests(const StopSchedule &schedule)
{
    StopPhase phase = StopPhase::Draining;
    while (phase != StopPhase::Finished) {
        // Answers that wait behind a running request of the same connection are sent once that
        // request is given up.
        if (phase == StopPhase::GivingUp)
            callers_.giveUpAll();
        // A caller that was just asked to close its connection may still reuse it, so idle
        // connections are closed in every round.
        callerServer_.closeIdle();
        std::this_thread::sleep_for(kDrainPollPeriod);
        const bool isDrained = callers_.inFlight() == 0 && callerServer_.activeConnections() == 0;
        phase = schedule.phase(isDrained, BootClock::now());
    }
}

void Node::logStop(const char *event, TimePoint signalledAt)
{
    log_.write(
        LogLine(Severity::Info, event)
            .add("host", settings_.hostName_)
            .add("ms", toMilliseconds(BootClock::now() - signalledAt))
            .add("running", static_cast<std::uint64_t>(callers_.inFlight()))
            .add("connections", static_cast<std::uint64_t>(callerServer_.activeConnections())));
}

void Node::onTokensNeeded(const AccountName &account)
{
    control_.reportTokensNeeded(account);
}

void Node::onBackendCold(const BackendName &backend)
{
    control_.reportBackendColdState(BackendColdState { backend, true });
}

void Node::onBackendWarm(const BackendName &backend)
{
    control_.reportBackendColdState(BackendColdState { backend, false });
}

void Node::onKeyLoad(const KeyLoad &load)
{
    control_.reportKeyLoad(load);
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
