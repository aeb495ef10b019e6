#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "platform/StoreWire.h"

#include <optional>
#include <string>

#include <gtest/gtest.h>

using namespace pimentostage;
namespace wire = pimentostage::platform;

namespace {

/// @return the kind of the only route of @p catalogue; nothing if it is rejected.
std::optional<RouteKind> kindIn(const StoredObject &catalogue)
{
    ConfigState state;
    if (state.apply(catalogue) != ApplyResult::Applied)
        return std::nullopt;
    return state.configuration()->virtualHosts_->at("a.example").at(0).routeKind_;
}

/// @param members of the route, with a leading comma.
std::optional<RouteKind> ownKind(const std::string &members)
{
    return kindIn({ { ObjectKind::Catalogue, "main" },
                    Version { 5 },
                    false,
                    R"({"services":[],"routes":[{"name":"r1","host":"a.example",
                        "services":[{"name":"huts"}])"
                        + members + "}]}" });
}

/// @param members of the route, with a leading comma.
std::optional<RouteKind> platformKind(const std::string &members)
{
    const auto events = wire::parseEvents(
        "config", R"({"events":[{"Deleted":false,"Object":{"Metadata":{"Name":"main","Revision":9},
            "Spec":{"Services":[],"VirtualHosts":[{"Host":"a.example","Paths":[{"Name":"r1",
            "PathPrefix":"/","TimeoutMs":900,"Service":"huts")"
                      + members + R"(}]}]}}}],"AsOf":20})");
    return kindIn(events.value().objects_.at(0));
}

// Guards against a request that runs twice although that does harm, and against a download that
// fails although it may be repeated.
TEST(RouteKind, OnlySafeRequestsAndDownloadsMayBeRepeated)
{
    EXPECT_TRUE(isIdempotent(RouteKind::Safe));
    EXPECT_TRUE(isIdempotent(RouteKind::Download));
    EXPECT_FALSE(isIdempotent(RouteKind::Unsafe));
    EXPECT_FALSE(isIdempotent(RouteKind::Upload));
}

// Guards against a kind that only one of the interfaces knows.
TEST(RouteKind, EachIsReadOnBothInterfaces)
{
    for (const auto &row : EnumTable<RouteKind>::kRows) {
        const std::string value = ":\"" + std::string(row.name_) + '"';
        EXPECT_EQ(ownKind(",\"route_kind\"" + value), row.value_) << value;
        EXPECT_EQ(platformKind(",\"RouteType\"" + value), row.value_) << value;
    }
}

// Guards against a request that is repeated because its kind is not stated or not known.
TEST(RouteKind, IsUnsafeIfItIsNotStatedOrThePlatformsIsNotKnown)
{
    EXPECT_EQ(ownKind(""), RouteKind::Unsafe);
    for (const char *members : { "", R"(,"RouteType":null)", R"(,"RouteType":"")",
                                 R"(,"RouteType":"Safe")", R"(,"RouteType":"stream")" })
        EXPECT_EQ(platformKind(members), RouteKind::Unsafe) << members;
    EXPECT_EQ(platformKind(R"(,"RouteType":7)"), std::nullopt);
    for (const char *members : { R"(,"route_kind":null)", R"(,"route_kind":"")",
                                 R"(,"route_kind":"stream")", R"(,"route_kind":true)" })
        EXPECT_EQ(ownKind(members), std::nullopt) << members;
}

// Guards against objects of earlier versions that are rejected, and against two fields that
// contradict each other.
TEST(RouteKind, IsReadFromTheFieldOfEarlierVersions)
{
    EXPECT_EQ(ownKind(R"(,"idempotent":true)"), RouteKind::Safe);
    EXPECT_EQ(ownKind(R"(,"idempotent":false)"), RouteKind::Unsafe);
    for (const char *members :
         { R"(,"idempotent":null)", R"(,"idempotent":"true")",
           R"(,"idempotent":true,"route_kind":"safe")", R"(,"idempotent":true,"route_kind":null)" })
        EXPECT_EQ(ownKind(members), std::nullopt) << members;
}

// Guards against a kind that is lost when an object is written.
TEST(RouteKind, IsWrittenAsItIsRead)
{
    for (const auto &row : EnumTable<RouteKind>::kRows) {
        Catalogue catalogue;
        Route route;
        route.name_ = RouteName("r1");
        route.host_ = "a.example";
        route.prefix_ = "/";
        route.timeout_ = std::chrono::seconds(1);
        route.services_.push_back({ ServiceName("huts"), 1 });
        route.routeKind_ = row.value_;
        catalogue.routes_.push_back(route);
        EXPECT_EQ(kindIn({ { ObjectKind::Catalogue, "main" },
                           Version { 5 },
                           false,
                           formatCatalogue(catalogue) }),
                  row.value_);
    }
}

} // namespace
