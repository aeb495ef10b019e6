#include "pimentostage/base/Hash.h"
#include "pimentostage/caller/RequestRouter.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart { 1h };
constexpr Duration kChangeDeadline = 2s;
constexpr Duration kWithdrawalDeadline = 5s;
constexpr std::size_t kRoutes = 4; ///< the even ones are open
constexpr std::size_t kKeys = 2;

/// Routes and keys that one version of the configuration contains.
struct Content
{
    std::array<bool, kRoutes> routes_ {};
    std::array<bool, kKeys> keys_ {};
};

constexpr Content kEverything { { true, true, true, true }, { true, true } };

bool isOpen(std::size_t route)
{
    return route % 2 == 0;
}

std::string prefixOf(std::size_t route)
{
    return "/r" + std::to_string(route) + '/';
}

std::string keyOf(std::size_t key)
{
    return "secret-" + std::to_string(key);
}

std::shared_ptr<const Configuration> configurationOf(const Content &content)
{
    Catalogue catalogue;
    Service north;
    north.name_ = ServiceName("north");
    catalogue.services_ = { north };
    for (std::size_t i = 0; i < kRoutes; ++i) {
        if (!content.routes_[i])
            continue;
        Route route;
        route.name_ = RouteName("r" + std::to_string(i));
        route.host_ = "huts.example";
        route.prefix_ = prefixOf(i);
        route.access_ = isOpen(i) ? Access::Open : Access::Team;
        route.kind_ = route.name_.str();
        route.timeout_ = 2s;
        route.services_ = { { north.name_, 1 } };
        catalogue.routes_.push_back(route);
    }
    Contract contract;
    contract.team_ = TeamName("caxias");
    catalogue.contracts_ = { contract };
    for (std::size_t i = 0; i < kKeys; ++i) {
        if (content.keys_[i])
            catalogue.keys_.push_back({ "caxias", contract.team_, sha256Hex(keyOf(i)) });
    }
    ConfigState state;
    state.apply(
        { { ObjectKind::Catalogue, "main" }, Version { 1 }, false, formatCatalogue(catalogue) });
    return state.configuration();
}

/// @return the view of a host on which requests name a virtual host.
std::shared_ptr<TrafficView> viewOf(std::shared_ptr<const Configuration> configuration,
                                    TimePoint confirmedAt)
{
    auto view = std::make_shared<TrafficView>();
    RoutingTableBuilder builder;
    view->routing_ = builder.build(*configuration, FleetState {}, kStart);
    view->configuration_ = std::move(configuration);
    view->readiness_ = Readiness::Ready;
    view->addressing_ = Addressing::VirtualHost;
    const auto validity = std::make_shared<ConfigValidity>(kChangeDeadline);
    validity->setValidUntil(confirmedAt + kWithdrawalDeadline);
    validity->setConfirmedAt(confirmedAt);
    view->configValidity_ = validity;
    return view;
}

CallerRequest requestTo(const std::string &path, std::optional<std::string> teamKey = {})
{
    CallerRequest request;
    request.id_ = RequestId("r1");
    request.method_ = "GET";
    request.host_ = "huts.example";
    request.path_ = path;
    request.teamKey_ = std::move(teamKey);
    return request;
}

/// @return whether @p decision tells the caller not to retry.
bool isFinalRefusal(const RouteDecision &decision)
{
    const auto *refusal = std::get_if<Refusal>(&decision);
    return refusal && httpStatusOf(refusal->reason_) < 429;
}

void expectRefusedForNow(const RouteDecision &decision)
{
    const auto *refusal = std::get_if<Refusal>(&decision);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason_, RefusalReason::ConfigurationStale);
    EXPECT_EQ(httpStatusOf(refusal->reason_), 503);
    EXPECT_EQ(refusal->outcome_, Outcome::NotRun);
    EXPECT_TRUE(refusal->retryAfter_) << "the caller is told when to retry";
}

// Guards against a host that has no catalogue and is taken for one without virtual hosts: it
// searched the first segment of each path for a service and answered 404.
TEST(RefusalKnowledge, AHostWithoutACatalogueRefusesNothingForGood)
{
    const auto view = viewOf(std::make_shared<Configuration>(), kStart);
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/r0/x"), kStart));
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/r1/x", keyOf(0)), kStart));
}

// Guards against a 404 or 401 by a configuration so old that another one must be in force: the
// missing route and key were noticed before the configuration's age was looked at.
TEST(RefusalKnowledge, AnOutdatedHostRefusesNothingForGood)
{
    Content content = kEverything;
    content.routes_[2] = false;
    content.keys_[1] = false;
    const auto view = viewOf(configurationOf(content), kStart);
    const TimePoint outdated = kStart + kChangeDeadline;
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/r2/x"), outdated));
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/r1/x"), outdated));
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/r1/x", keyOf(1)), outdated));
    const TimePoint stale = kStart + kWithdrawalDeadline;
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/r2/x"), stale));
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/r1/x", keyOf(0)), stale));
}

// Guards against a 404 or 405 by a stale configuration where requests name the service.
TEST(RefusalKnowledge, AStaleHostWithoutVirtualHostsRefusesNothingForGood)
{
    auto configuration = std::make_shared<Configuration>();
    Service permits;
    permits.name_ = ServiceName("permits");
    Route route;
    route.name_ = RouteName("hours");
    route.method_ = "GET";
    route.prefix_ = "/hours";
    route.access_ = Access::Open;
    route.timeout_ = 2s;
    permits.routes_ = { route };
    configuration->services_[permits.name_] = permits;
    const auto view = viewOf(configuration, kStart);
    view->addressing_ = Addressing::Path;
    view->readiness_ = Readiness::Stale;
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/nothing/x"), kStart));
    expectRefusedForNow(RequestRouter::route(*view, requestTo("/permits/other"), kStart));
    CallerRequest other = requestTo("/permits/hours");
    other.method_ = "POST";
    expectRefusedForNow(RequestRouter::route(*view, other, kStart));
    EXPECT_TRUE(std::holds_alternative<RoutedRequest>(
        RequestRouter::route(*view, requestTo("/permits/hours"), kStart)));
}

// Guards against a host that refuses more than it must: open routes need no current configuration.
TEST(RefusalKnowledge, AnOutdatedHostServesWhatItsConfigurationAllows)
{
    const auto view = viewOf(configurationOf(kEverything), kStart);
    const TimePoint outdated = kStart + kChangeDeadline;
    EXPECT_TRUE(std::holds_alternative<RoutedRequest>(
        RequestRouter::route(*view, requestTo("/r0/x"), outdated)));
    EXPECT_TRUE(std::holds_alternative<RoutedRequest>(
        RequestRouter::route(*view, requestTo("/r1/x", keyOf(0)), outdated)));
}

// Guards against a host that tells callers to retry what it knows to be wrong.
TEST(RefusalKnowledge, ACurrentHostRefusesForGood)
{
    Content content = kEverything;
    content.routes_[2] = false;
    const auto view = viewOf(configurationOf(content), kStart);
    const TimePoint current = kStart + kChangeDeadline - 1ms;
    const auto reasonOf = [&](const CallerRequest &request) {
        return std::get<Refusal>(RequestRouter::route(*view, request, current)).reason_;
    };
    EXPECT_EQ(reasonOf(requestTo("/r2/x")), RefusalReason::UnknownRoute);
    EXPECT_EQ(reasonOf(requestTo("/r1/x")), RefusalReason::MissingTeamKey);
    EXPECT_EQ(reasonOf(requestTo("/r1/x", "wrong")), RefusalReason::InvalidTeamKey);
}

// Guards against a new final refusal that rests on knowledge which no check covers, such as
// routing.
TEST(RefusalKnowledge, AFinalRefusalRestsOnTheRequestOrTheConfiguration)
{
    for (const auto &row : EnumTable<RefusalReason>::kRows) {
        if (!isFinal(row.value_))
            continue;
        const RefusalBasis basis = basisOf(row.value_);
        const bool isChecked
            = basis == RefusalBasis::Request || basis == RefusalBasis::Configuration;
        EXPECT_TRUE(isChecked) << row.name_ << " rests on " << toString(basis);
        const Refusal refusal { row.value_, Outcome::NotRun, {}, {} };
        const Refusal outdated = withKnowledge(refusal, ConfigKnowledge::Outdated);
        EXPECT_EQ(outdated.reason_ == row.value_, basis == RefusalBasis::Request) << row.name_;
        EXPECT_EQ(withKnowledge(refusal, ConfigKnowledge::Current).reason_, row.value_);
    }
}

/// A version of the configuration and its way into force.
struct HistoryVersion
{
    Content content_;
    TimePoint sentAt_;
    TimePoint storedAt_;
    TimePoint acknowledgedAt_;
};

rc::Gen<Duration> genDuration(int maxMilliseconds)
{
    return rc::gen::map(rc::gen::inRange(0, maxMilliseconds + 1), [](int milliseconds) -> Duration {
        return std::chrono::milliseconds(milliseconds);
    });
}

/// @return versions that the operator writes one after the other, the first before all requests.
std::vector<HistoryVersion> drawHistory()
{
    constexpr int kMaxPauseMs = 3000;
    constexpr int kMaxStoreDelayMs = 3000;
    constexpr int kMaxAnswerDelayMs = 500;
    std::vector<HistoryVersion> history(*rc::gen::inRange<std::size_t>(1, 7));
    TimePoint at = kStart;
    for (HistoryVersion &version : history) {
        version.content_.routes_ = *rc::gen::arbitrary<std::array<bool, kRoutes>>();
        version.content_.keys_ = *rc::gen::arbitrary<std::array<bool, kKeys>>();
        const bool isFirst = &version == &history.front();
        version.sentAt_ = at;
        version.storedAt_ = version.sentAt_ + (isFirst ? 0ms : *genDuration(kMaxStoreDelayMs));
        version.acknowledgedAt_
            = version.storedAt_ + (isFirst ? 0ms : *genDuration(kMaxAnswerDelayMs));
        at = version.acknowledgedAt_ + *genDuration(kMaxPauseMs);
    }
    return history;
}

/// @return the index of the version that the store has at @p now.
std::size_t storedVersion(const std::vector<HistoryVersion> &history, TimePoint now)
{
    const auto next = std::find_if(history.begin() + 1, history.end(),
                                   [&](const auto &version) { return version.storedAt_ > now; });
    return static_cast<std::size_t>(next - history.begin()) - 1;
}

/// @return whether each version that may be in force at @p now allows the request.
bool isAllowedByAll(const std::vector<HistoryVersion> &history, std::size_t route,
                    std::optional<std::size_t> key, TimePoint now)
{
    for (std::size_t i = 0; i < history.size(); ++i) {
        const bool isSent = history[i].sentAt_ <= now;
        const bool isReplaced = std::any_of(
            history.begin() + static_cast<std::ptrdiff_t>(i) + 1, history.end(),
            [&](const auto &later) { return later.acknowledgedAt_ + kChangeDeadline <= now; });
        if (!isSent || isReplaced)
            continue;
        const Content &content = history[i].content_;
        if (!content.routes_[route] || !(isOpen(route) || (key && content.keys_[*key])))
            return false;
    }
    return true;
}

// Guards against a 404 or 401 for what every configuration that may be in force allows, at a host
// that has none yet, an older one, or a newer one that a sibling sent before the store confirmed
// it.
RC_GTEST_PROP(RefusalKnowledgeProperty, WhatAllConfigurationsAllowIsNotRefusedForGood, ())
{
    constexpr int kMaxTimeMs = 20'000;
    constexpr int kMaxUnconfirmedMs = 6000;
    const std::vector<HistoryVersion> history = drawHistory();
    const TimePoint confirmedAt = kStart + *genDuration(kMaxTimeMs);
    const TimePoint now = confirmedAt + *genDuration(kMaxUnconfirmedMs);
    const std::size_t oldest = storedVersion(history, confirmedAt);
    const std::size_t newest = storedVersion(history, now);
    const std::size_t atHost = *rc::gen::inRange(oldest, newest + 1);
    const bool hasCatalogue = *rc::gen::weightedElement<bool>({ { 5, true }, { 1, false } });
    const auto configuration = hasCatalogue ? configurationOf(history[atHost].content_)
                                            : std::make_shared<const Configuration>();
    const auto view = viewOf(configuration, confirmedAt);
    std::vector<std::optional<std::size_t>> keys { std::nullopt };
    for (std::size_t key = 0; key < kKeys; ++key)
        keys.emplace_back(key);
    for (std::size_t route = 0; route < kRoutes; ++route) {
        for (const auto &key : keys) {
            if (!isAllowedByAll(history, route, key, now))
                continue;
            const auto teamKey = key ? std::optional(keyOf(*key)) : std::nullopt;
            const RouteDecision decision
                = RequestRouter::route(*view, requestTo(prefixOf(route) + 'x', teamKey), now);
            RC_ASSERT(!isFinalRefusal(decision));
        }
    }
}

} // namespace
