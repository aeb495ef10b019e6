#include "pimentostage/caller/RequestRouter.h"
#include "pimentostage/base/Hash.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const char *const kSecret = "caxias-secret-0123456789";

Route route(const char *name, const char *method, const char *prefix, Access access)
{
    Route route;
    route.name_ = RouteName(name);
    route.method_ = method;
    route.prefix_ = prefix;
    route.access_ = access;
    route.kind_ = name;
    route.timeout_ = 2s;
    return route;
}

std::shared_ptr<const TrafficView> makeView(Readiness readiness = Readiness::Ready)
{
    auto configuration = std::make_shared<Configuration>();
    Service permits;
    permits.name_ = ServiceName("permits");
    permits.keyed_ = true;
    permits.keySegment_ = 1;
    permits.routes_ = { route("inspect", "GET", "/permits", Access::Team),
                        route("hours", "GET", "/hours", Access::Open),
                        route("stamp", "POST", "/permits/stamps", Access::Team) };
    configuration->services_[permits.name_] = permits;
    Contract contract;
    contract.team_ = TeamName("caxias");
    contract.kinds_ = { "inspect" };
    configuration->contracts_[contract.team_] = contract;
    configuration->keysByHash_[sha256Hex(kSecret)]
        = TeamKey { "caxias-1", contract.team_, sha256Hex(kSecret) };
    auto view = std::make_shared<TrafficView>();
    RoutingTableBuilder builder;
    view->routing_ = builder.build(*configuration, FleetState {}, TimePoint(1h));
    view->configuration_ = configuration;
    view->readiness_ = readiness;
    return view;
}

CallerRequest request(const char *method, const char *path, const char *key = kSecret)
{
    CallerRequest request;
    request.id_ = RequestId("r1");
    request.method_ = method;
    request.path_ = path;
    if (key)
        request.teamKey_ = key;
    return request;
}

RefusalReason reasonOf(const TrafficView &view, const CallerRequest &request)
{
    return std::get<Refusal>(RequestRouter::route(view, request, TimePoint(1h))).reason_;
}

TEST(RequestRouter, FindsTheServiceRouteTeamAndKey)
{
    const auto view = makeView();
    const auto decision
        = RequestRouter::route(*view, request("GET", "/permits/permits/k7/photo"), TimePoint(1h));
    const auto &routed = std::get<RoutedRequest>(decision);
    EXPECT_EQ(routed.route_->name_, RouteName("inspect"));
    EXPECT_EQ(routed.contract_->team_, TeamName("caxias"));
    EXPECT_EQ(routed.key_, "k7");
    EXPECT_EQ(routed.backendPath_, "/permits/k7/photo");
    EXPECT_EQ(routed.deadline_, TimePoint(1h) + 2s);
}

TEST(RequestRouter, RefusesWithTheReasonOfTheFirstFailedCheck)
{
    const auto view = makeView();
    EXPECT_EQ(reasonOf(*view, request("GET", "/nothing/x")), RefusalReason::UnknownService);
    EXPECT_EQ(reasonOf(*view, request("GET", "/permits/other")), RefusalReason::UnknownRoute);
    EXPECT_EQ(reasonOf(*view, request("GET", "/permits/permitsx/k")), RefusalReason::UnknownRoute);
    EXPECT_EQ(reasonOf(*view, request("DELETE", "/permits/permits/k")),
              RefusalReason::MethodNotAllowed);
    EXPECT_EQ(reasonOf(*view, request("GET", "/permits/permits/k", nullptr)),
              RefusalReason::MissingTeamKey);
    EXPECT_EQ(reasonOf(*view, request("GET", "/permits/permits/k", "wrong")),
              RefusalReason::InvalidTeamKey);
    EXPECT_EQ(reasonOf(*view, request("GET", "/permits/permits")), RefusalReason::MissingKey);
}

TEST(RequestRouter, RefusesAKindThatTheContractDoesNotCover)
{
    const auto view = makeView();
    EXPECT_EQ(reasonOf(*view, request("POST", "/permits/permits/stamps/k")),
              RefusalReason::KindNotInContract);
}

TEST(RequestRouter, ServesOnlyOpenRoutesWhileItsConfigurationIsStale)
{
    const auto view = makeView(Readiness::Stale);
    EXPECT_EQ(reasonOf(*view, request("GET", "/permits/permits/k")),
              RefusalReason::ConfigurationStale);
    const auto open
        = RequestRouter::route(*view, request("GET", "/permits/hours/k", nullptr), TimePoint(1h));
    EXPECT_TRUE(std::holds_alternative<RoutedRequest>(open));
}

TEST(RequestRouter, UsesTheShorterOfTheCallersAndTheRoutesTimeout)
{
    const auto view = makeView();
    CallerRequest shortDeadline = request("GET", "/permits/permits/k");
    shortDeadline.budget_ = 100ms;
    auto decision = RequestRouter::route(*view, shortDeadline, TimePoint(1h));
    EXPECT_EQ(std::get<RoutedRequest>(decision).deadline_, TimePoint(1h) + 100ms);
    shortDeadline.budget_ = 0ms;
    EXPECT_EQ(reasonOf(*view, shortDeadline), RefusalReason::DeadlinePassed);
}

TEST(Refusal, EveryReasonHasAStatusAndATitle)
{
    for (const auto &row : EnumTable<RefusalReason>::kRows) {
        EXPECT_GE(httpStatusOf(row.value_), 400);
        EXPECT_FALSE(titleOf(row.value_).empty());
    }
}

/// A catalogue with one virtual host that has three routes: one split between two services, one
/// with a longer prefix, and one with ordered keys.
std::shared_ptr<const TrafficView> makeCatalogueView(Readiness readiness = Readiness::Ready)
{
    Catalogue catalogue;
    for (const char *name : { "north", "south", "ledger" }) {
        Service service;
        service.name_ = ServiceName(name);
        catalogue.services_.push_back(service);
    }
    catalogue.services_[2].keyed_ = true;
    catalogue.services_[2].division_ = KeyDivision::Ordered;
    Route split = route("split", "", "/a/", Access::Open);
    split.host_ = "huts.example";
    split.services_ = { { ServiceName("north"), 90 }, { ServiceName("south"), 10 } };
    Route longer = route("longer", "", "/a/b/", Access::Open);
    longer.host_ = split.host_;
    longer.services_ = { { ServiceName("south"), 1 } };
    Route keyed = route("keyed", "", "/k/", Access::Team);
    keyed.host_ = split.host_;
    keyed.services_ = { { ServiceName("ledger"), 1 } };
    catalogue.routes_ = { split, longer, keyed };
    Contract contract;
    contract.team_ = TeamName("caxias");
    catalogue.contracts_ = { contract };
    catalogue.keys_ = { TeamKey { "caxias", contract.team_, sha256Hex(kSecret) } };
    ConfigState state;
    state.apply(
        { { ObjectKind::Catalogue, "main" }, Version { 3 }, false, formatCatalogue(catalogue) });
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = state.configuration();
    RoutingTableBuilder builder;
    view->routing_ = builder.build(*view->configuration_, FleetState {}, TimePoint(1h));
    view->readiness_ = readiness;
    return view;
}

CallerRequest hostRequest(const std::string &path, const std::string &id = "r1")
{
    CallerRequest request;
    request.id_ = RequestId(id);
    request.method_ = "GET";
    request.host_ = "huts.example";
    request.path_ = path;
    return request;
}

TEST(RequestRouter, PrefersTheLongestPrefixOfAVirtualHost)
{
    const auto view = makeCatalogueView();
    const auto decision = RequestRouter::route(*view, hostRequest("/a/b/c"), TimePoint(1h));
    EXPECT_EQ(std::get<RoutedRequest>(decision).route_->name_, RouteName("longer"));
    EXPECT_EQ(std::get<RoutedRequest>(decision).backendPath_, "/a/b/c") << "the whole path";
    EXPECT_EQ(reasonOf(*view, hostRequest("/b")), RefusalReason::UnknownRoute);
    CallerRequest otherHost = hostRequest("/a/b");
    otherHost.host_ = "other.example";
    EXPECT_EQ(reasonOf(*view, otherHost), RefusalReason::UnknownRoute);
}

/// @return the object of a catalogue with one route, which is for requests without a host.
StoredObject catalogueOfOneRoute(const std::vector<ServiceShare> &services)
{
    Catalogue catalogue;
    Service north;
    north.name_ = ServiceName("north");
    catalogue.services_ = { north };
    Route hostless = route("hostless", "", "/", Access::Open);
    hostless.services_ = services;
    catalogue.routes_ = { hostless };
    return { { ObjectKind::Catalogue, "main" }, Version { 1 }, false, formatCatalogue(catalogue) };
}

// Guards against the end of the process by a request without a host: the stored form of a catalogue
// lacked the services of the routes for such requests.
TEST(RequestRouter, RoutesARequestWithoutAHostToTheServiceOfItsRoute)
{
    ConfigState state;
    state.apply(catalogueOfOneRoute({ { ServiceName("north"), 1 } }));
    TrafficView view;
    view.configuration_ = state.configuration();
    RoutingTableBuilder builder;
    view.routing_ = builder.build(*view.configuration_, FleetState {}, TimePoint(1h));
    view.readiness_ = Readiness::Ready;
    CallerRequest hostless = hostRequest("/a");
    hostless.host_.clear();
    const auto decision = RequestRouter::route(view, hostless, TimePoint(1h));
    ASSERT_TRUE(std::holds_alternative<RoutedRequest>(decision));
    EXPECT_EQ(std::get<RoutedRequest>(decision).routes_->service_.name_, ServiceName("north"));
}

// Guards against the end of the process by a request on a route that names no service.
TEST(RequestRouter, ACatalogueWithARouteWithoutAServiceIsRejected)
{
    ConfigState state;
    EXPECT_EQ(state.apply(catalogueOfOneRoute({})), ApplyResult::Rejected);
}

TEST(RequestRouter, DistributesASplitRouteByWeight)
{
    const auto view = makeCatalogueView();
    int south = 0;
    const int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        const auto decision = RequestRouter::route(
            *view, hostRequest("/a/x", "request-" + std::to_string(i)), TimePoint(1h));
        south += std::get<RoutedRequest>(decision).routes_->service_.name_ == ServiceName("south");
    }
    const double expected = 0.1 * requests;
    const double tolerance = 0.025 * requests;
    EXPECT_NEAR(south, expected, tolerance);
}

TEST(RequestRouter, ReadsTheKeyOfAnOrderedServiceFromTheRequest)
{
    const auto view = makeCatalogueView();
    CallerRequest keyed = hostRequest("/k/x");
    EXPECT_EQ(reasonOf(*view, keyed), RefusalReason::MissingTeamKey);
    keyed.teamKey_ = kSecret;
    EXPECT_EQ(reasonOf(*view, keyed), RefusalReason::MissingKey);
    for (const char *bad : { "", "65536", "-1", "12x" }) {
        keyed.key_ = bad;
        EXPECT_EQ(reasonOf(*view, keyed), RefusalReason::MissingKey) << bad;
    }
    keyed.key_ = "65535";
    const auto decision = RequestRouter::route(*view, keyed, TimePoint(1h));
    EXPECT_EQ(std::get<RoutedRequest>(decision).orderedKey_, 65535U);
}

TEST(RequestRouter, AStaleHostServesOnlyOpenRoutesOfAVirtualHost)
{
    const auto view = makeCatalogueView(Readiness::Stale);
    EXPECT_TRUE(std::holds_alternative<RoutedRequest>(
        RequestRouter::route(*view, hostRequest("/a/x"), TimePoint(1h))));
    CallerRequest keyed = hostRequest("/k/x");
    keyed.teamKey_ = kSecret;
    keyed.key_ = "1";
    EXPECT_EQ(reasonOf(*view, keyed), RefusalReason::ConfigurationStale);
}

// Guards against a fault that CoreFuzz found with seed 309: a process was frozen while a team key
// was withdrawn. After the freeze its traffic thread accepted requests with the key before the
// control thread had run and could mark the configuration as stale.
TEST(RequestRouter, ChecksTheConfigurationsValidityInTheCallThatDecides)
{
    const auto view = std::make_shared<TrafficView>(*makeView());
    const auto validity = std::make_shared<ConfigValidity>();
    validity->setValidUntil(TimePoint(1h) + 1ms);
    view->configValidity_ = validity;
    const CallerRequest keyed = request("GET", "/permits/permits/k7/photo");
    EXPECT_TRUE(
        std::holds_alternative<RoutedRequest>(RequestRouter::route(*view, keyed, TimePoint(1h))));
    const RouteDecision late = RequestRouter::route(*view, keyed, TimePoint(1h) + 1ms);
    ASSERT_TRUE(std::holds_alternative<Refusal>(late));
    EXPECT_EQ(std::get<Refusal>(late).reason_, RefusalReason::ConfigurationStale);
    const CallerRequest open = request("GET", "/permits/hours/k", nullptr);
    EXPECT_TRUE(std::holds_alternative<RoutedRequest>(
        RequestRouter::route(*view, open, TimePoint(1h) + 1ms)));
}

} // namespace
