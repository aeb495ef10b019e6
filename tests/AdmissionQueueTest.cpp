#include "src/backend/AdmissionQueue.h"
#include "pimentostage/backend/RefusalMemory.h"
#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/backend/WorkEstimate.h"
#include "platform/BackendWire.h"
#include "src/backend/BackendClient.h"
#include "src/caller/CallerService.h"
#include "tests/fakes/AnswerProof.h"
#include "tests/fakes/RawServer.h"

#include <future>
#include <thread>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

WaitingRequest request(std::uint32_t priority)
{
    WaitingRequest request;
    request.route_ = RouteName("read");
    request.priority_ = priority;
    request.since_ = kStart;
    request.deadline_ = kStart + 2s;
    request.admitBy_ = kStart + 1s;
    return request;
}

void ignore(Admission, const WaitingRequest &) { }

// Guards against an operator who cannot see which urgency waits or is refused: the metrics knew
// only how many requests had waited.
TEST(AdmissionQueueMetrics, CountLengthAndRefusalsByPriority)
{
    MetricRegistry registry;
    AdmissionMetrics metrics(registry);
    FairQueueOptions options;
    options.maxWaiting_ = 2;
    AdmissionQueue queue(options, { "orders", AdmissionRule::ValuePerWork }, &metrics);
    const auto waiting = [&](const char *priority) {
        return registry.gauge("pimento_queue_requests", "", { { "priority", priority } }).value();
    };
    const auto refused = [&](const char *priority) {
        return registry.counter("pimento_queue_refused_total", "", { { "priority", priority } })
            .value();
    };
    EXPECT_TRUE(queue.push(request(2), ignore, kStart));
    EXPECT_TRUE(queue.push(request(7), ignore, kStart));
    EXPECT_EQ(waiting("2"), 1);
    EXPECT_EQ(waiting("3+"), 1);
    EXPECT_TRUE(queue.push(request(0), ignore, kStart)) << "the least urgent one is evicted";
    EXPECT_EQ(waiting("3+"), 0);
    EXPECT_EQ(refused("3+"), 1U);
    EXPECT_FALSE(queue.push(request(2), ignore, kStart));
    EXPECT_EQ(refused("2"), 1U);
    queue.admitNext(kStart);
    EXPECT_EQ(waiting("0"), 0) << "admitted";
    queue.expire(kStart + 1s);
    EXPECT_EQ(waiting("2"), 0);
    EXPECT_EQ(refused("2"), 2U);
    EXPECT_EQ(refused("0"), 0U);
}

// Guards against a changed Retry-After for teams, whose queue does not predict when there is room.
TEST(AdmissionQueueRefusal, TellsTheRuleAndTheTimeUntilThereIsRoom)
{
    AdmissionQueue ordered({}, { "orders", AdmissionRule::UrgencyThenSlack });
    const AdmissionRefusal refusal = ordered.refusal(request(1), 0, kStart);
    EXPECT_EQ(refusal.rule_, AdmissionRule::UrgencyThenSlack);
    EXPECT_EQ(refusal.queue_, "orders");
    EXPECT_FALSE(refusal.expectedWait_) << "nothing was sent yet";
    ASSERT_TRUE(refusal.retryAfter_);
    EXPECT_EQ(toMilliseconds(*refusal.retryAfter_), 666) << "a third of the time that is left";

    AdmissionQueue shared({}, { "orders", AdmissionRule::TeamShares });
    EXPECT_FALSE(shared.refusal(request(1), 0, kStart).retryAfter_);
}

// Guards against a deployment with teams whose requests wait in another order than before.
TEST(AdmissionRuleChoice, ChangesOnlyWithoutTeamsOrByTheSetting)
{
    EXPECT_EQ(admissionRuleFor({}, true), AdmissionRule::TeamShares);
    EXPECT_EQ(admissionRuleFor({}, false), kRuleWithoutTeams);
    EXPECT_EQ(admissionRuleFor(AdmissionRule::FirstCome, true), AdmissionRule::FirstCome);
    EXPECT_EQ(admissionRuleFor(AdmissionRule::TeamShares, false), AdmissionRule::TeamShares);
    RoutingTableBuilder builder;
    Configuration configuration;
    EXPECT_TRUE(builder.build(configuration, {}, kStart)->hasTeams_) << "services as own objects";
    configuration.hasCatalogue_ = true;
    EXPECT_FALSE(builder.build(configuration, {}, kStart)->hasTeams_);
    configuration.contracts_[TeamName("torres")] = {};
    EXPECT_TRUE(builder.build(configuration, {}, kStart)->hasTeams_);
}

TEST(AdmissionRefusalReason, AGivenUpRequestKeepsWhatTheQueueKnew)
{
    GiveUp giveUp { GiveUpReason::Overloaded, Outcome::NotRun };
    EXPECT_EQ(refusalFor(giveUp).retryAfter_, Duration(1s)) << "the queue tells nothing";
    giveUp.admission_ = AdmissionRefusal { AdmissionRule::ValuePerWork, "orders", 200ms, 250ms };
    const Refusal refusal = refusalFor(giveUp);
    EXPECT_EQ(refusal.retryAfter_, Duration(250ms));
    EXPECT_EQ(refusal.admission_->queue_, "orders");
}

// Load: more refused requests than are remembered. Guards against memory that grows with the load.
TEST(AdmissionRefusalMemory, IsBounded)
{
    RefusalMemory memory;
    for (std::uint64_t id = 1; id <= 2 * RefusalMemory::kMaxRequests; ++id)
        memory.onRefused(id, kStart + 1s, kStart);
    EXPECT_FALSE(memory.notBefore(1, kStart));
    EXPECT_EQ(memory.notBefore(2 * RefusalMemory::kMaxRequests, kStart), kStart + 1s);
    EXPECT_FALSE(memory.notBefore(2 * RefusalMemory::kMaxRequests, kStart + 1s));
}

// Load: answers of a back end whose slots are all in use. Guards against time in its queue that
// counts as work, which would make short requests look long in an overload.
TEST(AdmissionWorkEstimate, DoesNotCountTheTimeInTheBackEndsQueue)
{
    WorkEstimate estimate;
    EXPECT_EQ(estimate.value(), Duration::zero());
    for (std::uint64_t i = 0; i < WorkEstimate::kMinSamples; ++i)
        estimate.record(300ms, LoadReport { 4, 8, 1 }, 4);
    EXPECT_EQ(toMilliseconds(estimate.value() + 1us), 100);
    estimate.record(900ms, std::nullopt, 4);
    EXPECT_GT(estimate.value(), 200ms);
}

/// Keeps the lines that were written.
class LinesInMemory : public LogSink
{
public:
    void write(const LogLine &line) override
    {
        const std::lock_guard lock(mutex_);
        lines_.push_back(nlohmann::json::parse(line.json()));
    }

    /// @return the line of @p event, or null.
    nlohmann::json find(const std::string &event)
    {
        const std::lock_guard lock(mutex_);
        for (const nlohmann::json &line : lines_) {
            if (line["event"] == event)
                return line;
        }
        return {};
    }

private:
    std::mutex mutex_;
    std::vector<nlohmann::json> lines_;
};

class IgnoringListener
    : public TrafficListener
    , public TokenDemandListener
{
public:
    void onBackendCold(const BackendName &) override { }
    void onBackendWarm(const BackendName &) override { }
    void onKeyLoad(const KeyLoad &) override { }
    void onTokensNeeded(const AccountName &) override { }
};

/// An entry host before one back end with one slot, which answers after kServiceTime.
class AdmissionAtAFullBackEnd : public testing::Test
{
protected:
    static constexpr Duration kServiceTime = 1s;
    static constexpr Duration kObjective = 400ms;

    AdmissionAtAFullBackEnd()
        : server_([](const std::string &, int) {
            std::this_thread::sleep_for(kServiceTime);
            return RawServer::Reply { std::string("HTTP/1.1 200 OK\r\n") + kProofLine
                                      + "Content-Length: 0\r\n\r\n" };
        })
        , routing_(std::make_shared<RoutingTable>())
    { }

    std::shared_ptr<Configuration> configuration() const
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->hasCatalogue_ = true;
        Service service;
        service.name_ = ServiceName("orders");
        configuration->services_[service.name_] = service;
        Backend backend;
        backend.name_ = BackendName("orders-1");
        backend.service_ = service.name_;
        const std::string url = server_.url();
        backend.address_
            = { "127.0.0.1",
                static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))) };
        backend.slots_ = 1;
        backend.connections_ = 1;
        configuration->backends_[backend.name_] = backend;
        Route route;
        route.name_ = RouteName("certify");
        route.prefix_ = "/";
        route.access_ = Access::Open;
        route.timeout_ = 5s;
        route.target_ = kObjective;
        route.priority_ = 1;
        route.services_ = { { service.name_, 1 } };
        configuration->virtualHosts_
            = std::make_shared<const RoutesByHost>(RoutesByHost { { "huts.example", { route } } });
        return configuration;
    }

    /// Sends two requests at once.
    /// @return the refusal of the one that finds no room.
    Refusal refusalWith(const std::shared_ptr<Configuration> &configuration)
    {
        auto view = std::make_shared<TrafficView>();
        view->configuration_ = configuration;
        view->routing_ = builder_.build(*configuration, {}, BootClock::now());
        view->readiness_ = Readiness::Ready;
        view->addressing_ = Addressing::VirtualHost;
        const auto validity = std::make_shared<ConfigValidity>(10s);
        validity->setConfirmedAt(BootClock::now());
        view->configValidity_ = validity;
        routing_.publish(view->routing_);
        SnapshotPublisher<TrafficView> views(view);
        BackendClientOptions options;
        options.protocol_ = &platform::backendProtocol();
        options.threads_ = 1;
        BackendClient backends(options, routing_, listener_, log_, metrics_);
        CallerService service(views, backends, listener_, log_, metrics_);
        CallerService::RequestHandler handler(service);
        std::promise<void> firstDone;
        std::promise<CallerAnswer> second;
        handler.handle(callerRequest("first"), std::make_shared<Abandonment>(),
                       [&](const CallerAnswer &) { firstDone.set_value(); });
        handler.handle(callerRequest("second"), std::make_shared<Abandonment>(),
                       [&](const CallerAnswer &answer) { second.set_value(answer); });
        const CallerAnswer answer = second.get_future().get();
        firstDone.get_future().wait();
        return std::get<Refusal>(answer);
    }

    static CallerRequest callerRequest(const std::string &id)
    {
        CallerRequest request;
        request.id_ = RequestId(id);
        request.method_ = "POST";
        request.host_ = "huts.example";
        request.path_ = "/certify";
        request.budget_ = 6s;
        return request;
    }

    RawServer server_;
    SnapshotPublisher<RoutingTable> routing_;
    RoutingTableBuilder builder_;
    IgnoringListener listener_;
    LinesInMemory log_;
    MetricRegistry metrics_;
};

// Guards against a refusal in a catalogue without teams of which neither the caller nor the
// operator learns why and for how long.
TEST_F(AdmissionAtAFullBackEnd, WithoutTeamsTheRefusalTellsRuleQueueAndTime)
{
    const Refusal refusal = refusalWith(configuration());
    EXPECT_EQ(refusal.reason_, RefusalReason::Overloaded);
    EXPECT_EQ(refusal.outcome_, Outcome::NotRun);
    ASSERT_TRUE(refusal.admission_);
    EXPECT_EQ(refusal.admission_->rule_, kRuleWithoutTeams);
    ASSERT_TRUE(refusal.retryAfter_);
    EXPECT_GE(*refusal.retryAfter_, 50ms);
    EXPECT_LT(*refusal.retryAfter_, 1s) << "the wait of a quarter of the objective, and a half";
    const nlohmann::json line = log_.find("refuse");
    EXPECT_EQ(line["request"], "second");
    EXPECT_EQ(line["rule"], toString(kRuleWithoutTeams));
    EXPECT_EQ(line["queue"], "orders");
}

// Guards against a deployment with teams that no longer behaves as before.
TEST_F(AdmissionAtAFullBackEnd, WithTeamsTheRuleAndRetryAfterAreAsBefore)
{
    const std::shared_ptr<Configuration> withTeams = configuration();
    withTeams->contracts_[TeamName("torres")].team_ = TeamName("torres");
    const Refusal refusal = refusalWith(withTeams);
    ASSERT_TRUE(refusal.admission_);
    EXPECT_EQ(refusal.admission_->rule_, AdmissionRule::TeamShares);
    EXPECT_EQ(refusal.retryAfter_, Duration(1s));
}

} // namespace
