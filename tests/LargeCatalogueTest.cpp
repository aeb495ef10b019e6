#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "platform/StoreWire.h"

#include <string>

#include <gtest/gtest.h>

using namespace pimentostage;
namespace wire = pimentostage::platform;

namespace {

constexpr std::size_t kMaxStoredBytes = std::size_t { 1 } << 20U; ///< of one value of the store

std::string routeText(std::size_t number)
{
    const std::string name = std::to_string(number);
    return R"({"Name":"r)" + name + R"(","PathPrefix":"/p)" + name
           + R"(/","RouteType":"safe","TimeoutMs":1500,"TargetLatencyMs":800,"Priority":2,)"
             R"("Service":"huts","MaxAttempts":2,"Public":true})";
}

/// The largest configuration that the store accepts.
struct LargestConfig
{
    LargestConfig()
    {
        const std::string begin = R"({"Version":7,"Services":[{"Name":"huts"}],)"
                                  R"("VirtualHosts":[{"Host":"a.example","Paths":[)"
                                  + routeText(0);
        const std::string end = "]}]}";
        spec_ = begin;
        for (std::string route = routeText(1);
             spec_.size() + 1 + route.size() + end.size() <= kMaxStoredBytes;
             route = routeText(routes_)) {
            spec_ += ',' + route;
            ++routes_;
        }
        spec_ += end;
    }

    std::string spec_;
    std::size_t routes_ = 1;
};

} // namespace

// Guards against a configuration that the store accepted and that every host rejects because its
// converted form exceeds a limit: requests on its new routes got 404 (incident DENIED).
TEST(LargeCatalogue, TheLargestConfigurationThatTheStoreAcceptsTakesEffect)
{
    const LargestConfig config;
    const auto page
        = wire::parsePage("config", R"({"items":[{"Metadata":{"Name":"main","Revision":9},)"
                                    R"("Spec":)"
                                        + config.spec_ + R"(}],"HasMore":false,"AsOf":9})");
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    ConfigState state;
    std::string error;
    EXPECT_EQ(state.apply(page->listing_.objects_.front(), &error), ApplyResult::Applied) << error;
    const auto configuration = state.configuration();
    ASSERT_TRUE(configuration->virtualHosts_->contains("a.example"));
    EXPECT_EQ(configuration->virtualHosts_->at("a.example").size(), config.routes_);
}

// Guards against hosts that copy the routes of a catalogue for each change of any object.
TEST(LargeCatalogue, AChangeOfAnotherObjectSharesTheRoutes)
{
    Catalogue catalogue;
    catalogue.services_.emplace_back().name_ = ServiceName("huts");
    Route &route = catalogue.routes_.emplace_back();
    route.name_ = RouteName("r");
    route.host_ = "a.example";
    route.prefix_ = "/p/";
    route.timeout_ = std::chrono::seconds(1);
    route.services_ = { { ServiceName("huts"), 1 } };
    ConfigState state;
    state.apply(
        { { ObjectKind::Catalogue, "main" }, Version { 1 }, false, formatCatalogue(catalogue) });
    const auto before = state.configuration();
    ASSERT_EQ(before->virtualHosts_->size(), 1U);
    state.apply({ { ObjectKind::Zone, "north" }, Version { 2 }, false, formatZone(Zone {}) });
    EXPECT_TRUE(state.configuration()->zones_.contains(ZoneName("north")));
    EXPECT_EQ(state.configuration()->virtualHosts_, before->virtualHosts_);
    catalogue.routes_.clear();
    state.apply(
        { { ObjectKind::Catalogue, "main" }, Version { 3 }, false, formatCatalogue(catalogue) });
    EXPECT_TRUE(state.configuration()->virtualHosts_->empty());
    EXPECT_EQ(before->virtualHosts_->size(), 1U) << "a published configuration must not change";
}

// Guards against a configuration that the store accepted and that every host rejects because one
// route has a value beyond a limit of this project's own form.
TEST(LargeCatalogue, ARouteWithALargeValueDoesNotHoldUpTheOthers)
{
    const auto page = wire::parsePage(
        "config",
        R"({"items":[{"Metadata":{"Name":"main","Revision":9},"Spec":{"Version":7,)"
        R"("Services":[{"Name":"huts"}],"Tenants":[],"VirtualHosts":[{"Host":"a.example",)"
        R"("Paths":[{"Name":"a","PathPrefix":"/a/","TimeoutMs":1500,"Service":"huts","MaxAttempts":2},)"
        R"({"Name":"b","PathPrefix":"/b/","TimeoutMs":700000,"Service":"huts","MaxAttempts":101})"
        R"(]}]}}],"HasMore":false,"AsOf":9})");
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    ConfigState state;
    std::string error;
    EXPECT_EQ(state.apply(page->listing_.objects_.front(), &error), ApplyResult::Applied) << error;
}
