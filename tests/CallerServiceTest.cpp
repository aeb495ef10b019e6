#include "src/caller/CallerService.h"
#include "pimentostage/base/Hash.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/platform/Generation.h"
#include "src/backend/BackendClient.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Keeps the lines that were written.
class LinesInMemory : public LogSink
{
public:
    void write(const LogLine &line) override
    {
        lines_.push_back(nlohmann::json::parse(line.json()));
    }

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

BackendClientOptions withOneThread()
{
    BackendClientOptions options;
    options.threads_ = 1;
    return options;
}

/// A service whose requests all end before they reach a back end.
class CallerServiceTest : public testing::Test
{
protected:
    CallerServiceTest()
        : routing_(std::make_shared<RoutingTable>())
        , backends_(withOneThread(), routing_, listener_, log_, metrics_)
    { }

    static constexpr Duration kChangeDeadline = 2s;

    /// @return a view without routes that was confirmed @p age ago.
    static std::shared_ptr<TrafficView> viewOfAge(Duration age)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->hasCatalogue_ = true;
        configuration->revision_ = makeVersion(Generation { 2 }, 417);
        configuration->catalogueVersion_ = makeVersion(Generation { 2 }, 400);
        auto view = std::make_shared<TrafficView>();
        view->configuration_ = configuration;
        view->routing_ = std::make_shared<RoutingTable>();
        view->readiness_ = Readiness::Ready;
        view->addressing_ = Addressing::VirtualHost;
        const auto validity = std::make_shared<ConfigValidity>(kChangeDeadline);
        validity->setConfirmedAt(BootClock::now() - age);
        view->configValidity_ = validity;
        return view;
    }

    /// @return the refusal of a request to a host with @p view.
    Refusal refusalAt(const std::shared_ptr<const TrafficView> &view, CallerRequest request = {})
    {
        SnapshotPublisher<TrafficView> views(view);
        CallerService service(views, backends_, listener_, log_, metrics_);
        CallerService::RequestHandler handler(service);
        request.id_ = RequestId("r1");
        std::optional<Refusal> refusal;
        handler.handle(request, std::make_shared<Abandonment>(),
                       [&](const CallerAnswer &answer) { refusal = std::get<Refusal>(answer); });
        return refusal.value();
    }

    IgnoringListener listener_;
    LinesInMemory log_;
    MetricRegistry metrics_;
    SnapshotPublisher<RoutingTable> routing_;
    BackendClient backends_;
};

// Guards against a refusal whose log line does not tell whether the host had no configuration, an
// older one than others, or the same without a match.
TEST_F(CallerServiceTest, ARefusalsLineTellsTheConfigurationThatDecided)
{
    EXPECT_EQ(refusalAt(viewOfAge(100ms)).reason_, RefusalReason::UnknownRoute);
    ASSERT_EQ(log_.lines_.size(), 1U);
    nlohmann::json noMatch = log_.lines_[0];
    EXPECT_EQ(noMatch["reason"], "unknown-route");
    EXPECT_EQ(noMatch["config"], "current");
    EXPECT_EQ(noMatch["config_generation"], 2);
    EXPECT_EQ(noMatch["config_revision"], 417);
    EXPECT_EQ(noMatch["catalogue_revision"], 400);
    EXPECT_GE(noMatch["config_age_ms"], 100);

    EXPECT_EQ(refusalAt(viewOfAge(kChangeDeadline)).reason_, RefusalReason::ConfigurationStale);
    ASSERT_EQ(log_.lines_.size(), 2U);
    nlohmann::json outdated = log_.lines_[1];
    EXPECT_EQ(outdated["reason"], "configuration-stale");
    EXPECT_EQ(outdated["replaces"], "unknown-route");
    EXPECT_EQ(outdated["config"], "outdated");
    EXPECT_GE(outdated["config_age_ms"], 2000);

    const auto empty = viewOfAge(0ms);
    empty->configuration_ = std::make_shared<Configuration>();
    EXPECT_EQ(refusalAt(empty).reason_, RefusalReason::ConfigurationStale);
    ASSERT_EQ(log_.lines_.size(), 3U);
    EXPECT_EQ(log_.lines_[2]["config"], "missing");
}

/// @return a view with one limited route, but without the team's token bucket.
std::shared_ptr<TrafficView> withoutBucket(const std::shared_ptr<TrafficView> &view)
{
    auto configuration = std::make_shared<Configuration>(*view->configuration_);
    const TeamName team("caxias");
    Contract contract;
    contract.team_ = team;
    contract.isLimited_ = true;
    configuration->contracts_[team] = contract;
    configuration->keysByHash_[sha256Hex("secret")] = { "caxias", team, sha256Hex("secret") };
    Service north;
    north.name_ = ServiceName("north");
    configuration->services_[north.name_] = north;
    Route route;
    route.name_ = RouteName("limited");
    route.prefix_ = "/a/";
    route.access_ = Access::Team;
    route.timeout_ = 2s;
    route.services_ = { { north.name_, 1 } };
    configuration->virtualHosts_
        = std::make_shared<const RoutesByHost>(RoutesByHost { { "huts.example", { route } } });
    RoutingTableBuilder builder;
    view->routing_ = builder.build(*configuration, FleetState {}, BootClock::now());
    view->configuration_ = configuration;
    return view;
}

// Guards against a 403 for a team whose contract is in force: a host that has just started
// published its configuration before it had made the team's token bucket.
TEST_F(CallerServiceTest, AHostWithoutTheTeamsTokenBucketRefusesAsNotRun)
{
    CallerRequest request;
    request.method_ = "GET";
    request.host_ = "huts.example";
    request.path_ = "/a/x";
    request.teamKey_ = "secret";
    const Refusal refusal = refusalAt(withoutBucket(viewOfAge(0ms)), request);
    EXPECT_EQ(refusal.reason_, RefusalReason::AllowanceUnavailable);
    EXPECT_EQ(refusal.outcome_, Outcome::NotRun);
    EXPECT_TRUE(refusal.retryAfter_);
}

} // namespace
