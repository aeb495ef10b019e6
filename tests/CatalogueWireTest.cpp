#include "pimentostage/caller/RequestRouter.h"
#include "pimentostage/platform/ConfigState.h"
#include "platform/CallerWire.h"
#include "platform/StoreWire.h"

#include <string>

#include <gtest/gtest.h>

using namespace pimentostage;
namespace wire = pimentostage::platform;

namespace {

constexpr TimePoint kNow { std::chrono::hours(1) };

/// @return the members of an object of the store that hold a catalogue with one route.
std::string catalogueOn(const std::string &host)
{
    return R"(,"Spec":{"Version":7,"Services":[{"Name":"huts"}],"VirtualHosts":[{"Host":")" + host
           + R"(","Paths":[{"Name":"r1","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":1000,
           "Service":"huts","Public":true}]}]})";
}

/// @return the catalogue as a change that the store reports.
StoredObject eventOf(const std::string &members, int revision)
{
    const auto events = wire::parseEvents(
        "config", R"({"events":[{"Deleted":false,"Object":{"Metadata":{"Name":"main","Revision":)"
                      + std::to_string(revision) + "}" + members + R"(}}],"AsOf":20})");
    return events.value().objects_.at(0);
}

// Guards against a 404 for every request: a catalogue of which the routes could not be read
// replaced the one in force, or counted as its deletion.
TEST(CatalogueWire, ACatalogueThatCannotBeReadDoesNotReplaceTheOneInForce)
{
    for (const char *members :
         { "", R"(,"Spec":null)", R"(,"Spec":"text")", R"(,"Spec":[])", R"(,"Spec":{"a":1e999})",
           R"(,"Spec":{"Version":8})", R"(,"Spec":{"Version":8,"VirtualHosts":{}})",
           R"(,"Spec":{"Version":8,"VirtualHosts":null})" }) {
        ConfigState state;
        ASSERT_EQ(state.apply(eventOf(catalogueOn("a.example"), 9)), ApplyResult::Applied);
        EXPECT_EQ(state.apply(eventOf(members, 10)), ApplyResult::Rejected) << members;
        EXPECT_TRUE(state.configuration()->hasCatalogue_) << members;
        EXPECT_TRUE(state.configuration()->virtualHosts_->contains("a.example")) << members;
    }
}

CallerRequest requestOn(const std::string &host)
{
    ServerRequest request;
    request.method_ = "GET";
    request.target_ = "/x/y";
    request.headers_ = { { "Host", host } };
    return std::get<CallerRequest>(
        wire::callerProtocol().decode_(std::move(request), RequestId("r1")));
}

// Guards against a 404 for all requests of a host that the operator and the caller write
// differently.
TEST(CatalogueWire, HostsMatchWithoutRegardToCasePortAndFinalDot)
{
    for (const char *written : { "a.example", "A.Example", "a.example.", "a.example:8080" }) {
        ConfigState state;
        ASSERT_EQ(state.apply(eventOf(catalogueOn(written), 9)), ApplyResult::Applied);
        TrafficView view;
        view.configuration_ = state.configuration();
        RoutingTableBuilder builder;
        view.routing_ = builder.build(*view.configuration_, FleetState {}, kNow);
        view.readiness_ = Readiness::Ready;
        for (const char *asked : { "a.example", "A.EXAMPLE:80", "a.example.", "a.example.:80" }) {
            const RouteDecision decision = RequestRouter::route(view, requestOn(asked), kNow);
            EXPECT_TRUE(std::holds_alternative<RoutedRequest>(decision))
                << "written " << written << ", asked " << asked;
        }
    }
}

} // namespace
