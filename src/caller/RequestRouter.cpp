#include "pimentostage/caller/RequestRouter.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace pimentostage {

namespace {

struct SplitPath
{
    std::string_view service_;
    std::string_view rest_; ///< starts with '/'
};

SplitPath splitPath(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return {};
    const std::size_t end = path.find('/', 1);
    if (end == std::string_view::npos)
        return { path.substr(1), "/" };
    return { path.substr(1, end - 1), path.substr(end) };
}

/// @return segment @p index of @p path, counted from 0, or an empty view if there is none.
std::string_view segment(std::string_view path, std::size_t index)
{
    for (std::size_t i = 0; !path.empty(); ++i) {
        path.remove_prefix(1);
        const std::size_t end = std::min(path.find('/'), path.size());
        if (i == index)
            return path.substr(0, end);
        path.remove_prefix(end);
    }
    return {};
}

/// @return whether @p path starts with @p prefix. A prefix matches only whole path segments.
bool hasPrefix(std::string_view path, std::string_view prefix)
{
    if (path.substr(0, prefix.size()) != prefix)
        return false;
    return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

struct RouteMatch
{
    const Route *route_ = nullptr;
    bool hasOtherMethod_ = false; ///< the path matches a route with another method
};

RouteMatch matchRoute(const Service &service, std::string_view method, std::string_view path)
{
    RouteMatch best;
    for (const Route &route : service.routes_) {
        if (!hasPrefix(path, route.prefix_))
            continue;
        if (route.method_ != method) {
            best.hasOtherMethod_ = true;
            continue;
        }
        const bool isLongerMatch
            = !best.route_ || route.prefix_.size() > best.route_->prefix_.size();
        if (isLongerMatch)
            best.route_ = &route;
    }
    return best;
}

bool allowsKind(const Contract &contract, const std::string &kind)
{
    const auto &kinds = contract.kinds_;
    return kinds.empty() || std::find(kinds.begin(), kinds.end(), kind) != kinds.end();
}

Refusal refuse(RefusalReason reason, std::string detail = {})
{
    return Refusal { reason, Outcome::NotRun, std::nullopt, std::move(detail) };
}

using Authentication = std::variant<const Contract *, Refusal>;

Authentication authenticate(const Configuration &configuration, const CallerRequest &request,
                            const Route &route)
{
    if (route.access_ == Access::Open)
        return nullptr;
    if (!request.teamKey_)
        return refuse(RefusalReason::MissingTeamKey);
    const auto key = configuration.keysByHash_.find(sha256Hex(*request.teamKey_));
    if (key == configuration.keysByHash_.end())
        return refuse(RefusalReason::InvalidTeamKey);
    const auto contract = configuration.contracts_.find(key->second.team_);
    if (contract == configuration.contracts_.end())
        return refuse(RefusalReason::NoContract);
    if (!allowsKind(contract->second, route.kind_))
        return refuse(RefusalReason::KindNotInContract, route.kind_);
    return &contract->second;
}

/// @return the first route of the request's virtual host that matches @p request, or nullptr. The
///         routes of a virtual host are sorted, longest prefix first.
const Route *matchVirtualHost(const Configuration &configuration, const CallerRequest &request)
{
    const auto host = configuration.virtualHosts_->find(request.host_);
    if (host == configuration.virtualHosts_->end())
        return nullptr;
    const auto matches = [&](const Route &route) {
        return (route.method_.empty() || route.method_ == request.method_)
               && request.path_.compare(0, route.prefix_.size(), route.prefix_) == 0;
    };
    const auto route = std::find_if(host->second.begin(), host->second.end(), matches);
    return route == host->second.end() ? nullptr : &*route;
}

/// @return the service of @p route for the request id @p request. Requests are distributed in
///         proportion to the weights, and the same id always gets the same service.
const ServiceName &chooseService(const Route &route, const RequestId &request)
{
    double total = 0;
    for (const ServiceShare &share : route.services_)
        total += share.weight_;
    const double fraction = std::ldexp(static_cast<double>(hash64(request.str())), -64);
    double remaining = fraction * total;
    for (const ServiceShare &share : route.services_) {
        remaining -= share.weight_;
        if (remaining < 0)
            return share.service_;
    }
    return route.services_.back().service_;
}

std::optional<std::uint32_t> parseOrderedKey(const CallerRequest &request)
{
    if (!request.key_)
        return std::nullopt;
    std::uint32_t key = 0;
    const char *end = request.key_->data() + request.key_->size();
    const auto [last, error] = std::from_chars(request.key_->data(), end, key);
    const bool isKey = error == std::errc() && last == end && key <= kLastOrderedKey;
    return isKey ? std::optional(key) : std::nullopt;
}

} // namespace

RouteDecision RequestRouter::routeVirtualHost(const TrafficView &view, const CallerRequest &request,
                                              TimePoint now)
{
    const Route *route = matchVirtualHost(*view.configuration_, request);
    if (!route)
        return refuse(RefusalReason::UnknownRoute);
    if (route->access_ == Access::Team && view.isStale(now))
        return configurationStale();
    const Authentication authentication = authenticate(*view.configuration_, request, *route);
    if (const auto *refusal = std::get_if<Refusal>(&authentication))
        return *refusal;
    const ServiceName &service = chooseService(*route, request.id_);
    const auto routes = view.routing_->services_.find(service.str());
    if (routes == view.routing_->services_.end())
        return refuse(RefusalReason::NoBackend, service.str());
    RoutedRequest routed;
    routed.routes_ = &routes->second;
    routed.route_ = route;
    routed.contract_ = std::get<const Contract *>(authentication);
    routed.backendPath_ = request.path_ + request.query_;
    if (routes->second.service_.division_ == KeyDivision::Ordered) {
        routed.orderedKey_ = parseOrderedKey(request);
        if (!routed.orderedKey_)
            return refuse(RefusalReason::MissingKey);
        routed.key_ = *request.key_;
    }
    const Duration budget = std::min(request.budget_.value_or(route->timeout_), route->timeout_);
    if (budget <= Duration::zero())
        return refuse(RefusalReason::DeadlinePassed);
    routed.deadline_ = now + budget;
    return routed;
}

RouteDecision RequestRouter::routePath(const TrafficView &view, const CallerRequest &request,
                                       TimePoint now)
{
    const SplitPath path = splitPath(request.path_);
    const auto found = view.routing_->services_.find(std::string(path.service_));
    if (found == view.routing_->services_.end())
        return refuse(RefusalReason::UnknownService, std::string(path.service_));
    const ServiceRoutes &routes = found->second;
    const RouteMatch matched = matchRoute(routes.service_, request.method_, path.rest_);
    if (!matched.route_) {
        return refuse(matched.hasOtherMethod_ ? RefusalReason::MethodNotAllowed
                                              : RefusalReason::UnknownRoute);
    }
    const Route &route = *matched.route_;
    const bool requiresTeam = route.access_ == Access::Team;
    if (requiresTeam && view.isStale(now))
        return configurationStale();
    const Authentication authentication = authenticate(*view.configuration_, request, route);
    if (const auto *refusal = std::get_if<Refusal>(&authentication))
        return *refusal;

    RoutedRequest routed;
    routed.routes_ = &routes;
    routed.route_ = &route;
    routed.contract_ = std::get<const Contract *>(authentication);
    routed.backendPath_ = std::string(path.rest_) + request.query_;
    if (routes.service_.keyed_) {
        routed.key_ = std::string(segment(path.rest_, routes.service_.keySegment_));
        if (routed.key_.empty())
            return refuse(RefusalReason::MissingKey);
    }
    const Duration budget = std::min(request.budget_.value_or(route.timeout_), route.timeout_);
    if (budget <= Duration::zero())
        return refuse(RefusalReason::DeadlinePassed);
    routed.deadline_ = now + budget;
    return routed;
}

RouteDecision RequestRouter::route(const TrafficView &view, const CallerRequest &request,
                                   TimePoint now)
{
    if (view.readiness_ == Readiness::Starting)
        return configurationStale();
    const bool namesVirtualHost
        = view.addressing_ == Addressing::VirtualHost || view.configuration_->hasCatalogue_;
    RouteDecision decision
        = namesVirtualHost ? routeVirtualHost(view, request, now) : routePath(view, request, now);
    if (const auto *refusal = std::get_if<Refusal>(&decision))
        return withKnowledge(*refusal, view.configKnowledge(now));
    return decision;
}

} // namespace pimentostage
