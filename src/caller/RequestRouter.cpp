#include "pimentostage/caller/RequestRouter.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <string_view>

namespace pimentostage {

namespace {

struct SplitPath
{
    std::string_view service_;
    std::string_view rest_; ///< starts with '/'
};

SplitPath split(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return {};
    const std::size_t end = path.find('/', 1);
    if (end == std::string_view::npos)
        return { path.substr(1), "/" };
    return { path.substr(1, end - 1), path.substr(end) };
}

/// @return segment number @p index of @p path, or an empty view.
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

/// A prefix matches whole segments only.
bool hasPrefix(std::string_view path, std::string_view prefix)
{
    if (path.substr(0, prefix.size()) != prefix)
        return false;
    return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

struct RouteMatch
{
    const Route *route_ = nullptr;
    bool hasOtherMethod_ = false;
};

RouteMatch match(const Service &service, std::string_view method, std::string_view path)
{
    RouteMatch best;
    for (const Route &route : service.routes_) {
        if (!hasPrefix(path, route.prefix_))
            continue;
        if (route.method_ != method) {
            best.hasOtherMethod_ = true;
            continue;
        }
        const bool isLonger = !best.route_ || route.prefix_.size() > best.route_->prefix_.size();
        if (isLonger)
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

} // namespace

RouteDecision RequestRouter::route(const TrafficView &view, const CallerRequest &request,
                                   TimePoint now)
{
    if (view.readiness_ == Readiness::Starting)
        return refuse(RefusalReason::ConfigurationStale, "starting");
    const SplitPath path = split(request.path_);
    const auto found = view.routing_->services_.find(std::string(path.service_));
    if (found == view.routing_->services_.end())
        return refuse(RefusalReason::UnknownService, std::string(path.service_));
    const ServiceRoutes &routes = found->second;
    const RouteMatch matched = match(routes.service_, request.method_, path.rest_);
    if (!matched.route_) {
        return refuse(matched.hasOtherMethod_ ? RefusalReason::MethodNotAllowed
                                              : RefusalReason::UnknownRoute);
    }
    const Route &route = *matched.route_;
    const bool needsTeam = route.access_ == Access::Team;
    if (needsTeam && view.readiness_ == Readiness::Stale)
        return refuse(RefusalReason::ConfigurationStale);
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

} // namespace pimentostage
