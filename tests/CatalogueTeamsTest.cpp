#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "platform/StoreWire.h"

#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

using namespace pimentostage;
namespace wire = pimentostage::platform;

namespace {

/// @param teams the members that state the teams, with a leading comma; empty for none.
/// @param access the member that states the route's access, with a leading comma; empty for none.
StoredObject ownCatalogue(std::uint64_t version, const std::string &teams,
                          const std::string &access)
{
    return { { ObjectKind::Catalogue, "main" },
             Version { version },
             false,
             R"({"services":[{"name":"huts"}],"routes":[{"name":"r1","host":"a.example",
                "services":[{"name":"huts"}])"
                 + access + "}]" + teams + "}" };
}

/// @param members of the platform's object and of its route, with a leading comma.
StoredObject platformCatalogue(const std::string &tenants, const std::string &access)
{
    const std::string spec = R"({"Version":7,"Services":[{"Name":"huts"}],"VirtualHosts":[{"Host":
        "a.example","Paths":[{"Name":"r1","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":1000,
        "Service":"huts")" + access
                             + "}]}]" + tenants + "}";
    const auto events = wire::parseEvents(
        "config", R"({"events":[{"Deleted":false,"Object":{"Metadata":{"Name":"main","Revision":9},
            "Spec":)" + spec
                      + R"(}}],"AsOf":20})");
    return events.value().objects_.at(0);
}

/// @return the access of the only route; nothing if @p object is rejected.
std::optional<Access> accessIn(const StoredObject &object)
{
    ConfigState state;
    if (state.apply(object) != ApplyResult::Applied)
        return std::nullopt;
    return state.configuration()->virtualHosts_->at("a.example").at(0).access_;
}

// Guards against hosts that are never ready: a catalogue without teams was rejected as a whole.
TEST(CatalogueTeams, WithoutThemARouteIsOpenUnlessItStatesThatItNeedsOne)
{
    for (const char *teams : { "", R"(,"teams":null)" }) {
        EXPECT_EQ(accessIn(ownCatalogue(5, teams, "")), Access::Open) << teams;
        EXPECT_EQ(accessIn(ownCatalogue(5, teams, R"(,"access":"open")")), Access::Open) << teams;
        EXPECT_EQ(accessIn(ownCatalogue(5, teams, R"(,"access":"team")")), std::nullopt) << teams;
    }
    for (const char *tenants : { "", R"(,"Tenants":null)" }) {
        for (const char *access :
             { "", R"(,"Public":null)", R"(,"Public":false)", R"(,"Public":true)" })
            EXPECT_EQ(accessIn(platformCatalogue(tenants, access)), Access::Open)
                << tenants << access;
        EXPECT_EQ(accessIn(platformCatalogue(tenants, R"(,"Public":"false")")), std::nullopt);
    }
}

// Guards against routes that are opened to everybody: a list of teams, even an empty one, means
// that a route needs a team's key unless it states otherwise.
TEST(CatalogueTeams, WithAListOfThemARouteNeedsATeamsKeyUnlessItIsOpen)
{
    for (const char *teams : { R"(,"teams":[])", R"(,"teams":[{"name":"caxias"}])" }) {
        EXPECT_EQ(accessIn(ownCatalogue(5, teams, "")), Access::Team) << teams;
        EXPECT_EQ(accessIn(ownCatalogue(5, teams, R"(,"access":"open")")), Access::Open) << teams;
    }
    for (const char *tenants : { R"(,"Tenants":[])", R"(,"Tenants":[{"Name":"caxias"}])" }) {
        for (const char *access : { "", R"(,"Public":null)", R"(,"Public":false)" })
            EXPECT_EQ(accessIn(platformCatalogue(tenants, access)), Access::Team)
                << tenants << access;
        EXPECT_EQ(accessIn(platformCatalogue(tenants, R"(,"Public":true)")), Access::Open);
    }
    for (const char *tenants : { R"(,"Tenants":{})", R"(,"Tenants":"caxias")", R"(,"Tenants":7)" })
        EXPECT_EQ(accessIn(platformCatalogue(tenants, "")), std::nullopt) << tenants;
}

// Guards against a list of teams that turns into none, or none that turns into a list, on the way
// through this project's own form.
TEST(CatalogueTeams, WhetherTheyAreListedIsKeptInTheOwnForm)
{
    for (const char *teams : { "", R"(,"teams":[])" }) {
        const StoredObject first = ownCatalogue(5, teams, "");
        const auto access = accessIn(first);
        StoredObject second = first;
        second.value_ = valueOr(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_AUTO(catalogue, parseCatalogue("main", first.value_));
                return formatCatalogue(catalogue);
            },
            [](const Error &error) { return error.describe(); });
        EXPECT_EQ(accessIn(second), access) << second.value_;
        EXPECT_EQ(second.value_.find("\"teams\"") == std::string::npos, *teams == '\0');
    }
}

// Guards against a host that has nothing to serve with after the last team was removed and its
// process was restarted (review/13), and against routes that are opened to everybody by a truncated
// catalogue: where withdrawn keys have a deadline, only routes that state so are open without
// teams.
TEST(CatalogueTeams, WithoutThemNoRouteIsOpenedWhereWithdrawnKeysHaveADeadline)
{
    const std::pair<const char *, Access> kAccesses[] = {
        { "", Access::Team },
        { R"(,"access":"open")", Access::Open },
        { R"(,"access":"team")", Access::Team },
    };
    const auto accessOf = [](ConfigState &state) {
        return state.configuration()->virtualHosts_->at("a.example").at(0).access_;
    };
    for (const auto &[access, expected] : kAccesses) {
        for (const char *teams : { "", R"(,"teams":null)", R"(,"teams":[])" }) {
            ConfigState first({}, MissingTeams::Closed);
            EXPECT_EQ(first.apply(ownCatalogue(5, teams, access)), ApplyResult::Applied);
            EXPECT_EQ(accessOf(first), expected) << teams << access;
            EXPECT_TRUE(first.configuration()->hasCatalogue_);
            ConfigState state({}, MissingTeams::Closed);
            const StoredObject good = ownCatalogue(5, R"(,"teams":[{"name":"caxias"}])", "");
            ASSERT_EQ(state.apply(good), ApplyResult::Applied);
            EXPECT_EQ(state.applyFromSibling(ownCatalogue(6, teams, access)), ApplyResult::Applied);
            EXPECT_EQ(accessOf(state), expected) << teams << access;
            EXPECT_TRUE(state.configuration()->contracts_.empty()) << teams << access;
        }
    }
}

// The same for the platform's configuration.
TEST(CatalogueTeams, WithoutTenantsOnlyPublicPathsAreOpenWhereWithdrawnKeysHaveADeadline)
{
    for (const char *tenants : { "", R"(,"Tenants":null)", R"(,"Tenants":[])" }) {
        for (const char *isPublic : { "", "false", "true" }) {
            const std::string access
                = *isPublic == '\0' ? "" : std::string(R"(,"Public":)") + isPublic;
            ConfigState state({}, MissingTeams::Closed);
            EXPECT_EQ(state.apply(platformCatalogue(tenants, access)), ApplyResult::Applied);
            const bool isOpen = isPublic == std::string("true");
            EXPECT_EQ(state.configuration()->virtualHosts_->at("a.example").at(0).access_,
                      isOpen ? Access::Open : Access::Team)
                << tenants << access;
        }
    }
}

} // namespace
