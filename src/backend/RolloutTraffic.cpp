#include "pimentostage/backend/RolloutTraffic.h"

namespace pimentostage {

// The set of routes that are told apart never changes: a route that moved from one row to another
// would be counted twice by whoever compares cumulative reports.
void RolloutTraffic::record(const RouteName &route, bool isTarget, bool isFailed, Duration latency)
{
    const std::lock_guard lock(mutex_);
    const bool hasRow = routes_.contains(route) || routes_.size() + 1 < kMaxReportedRoutes;
    RouteOutcomes &outcomes = routes_[hasRow ? route : RouteName()];
    (isTarget ? outcomes.target_ : outcomes.current_).record(isFailed, latency);
}

std::vector<RouteOutcomes> RolloutTraffic::outcomes() const
{
    const std::lock_guard lock(mutex_);
    std::vector<RouteOutcomes> rows;
    for (const auto &[route, outcomes] : routes_) {
        rows.push_back(outcomes);
        rows.back().route_ = route;
    }
    return rows;
}

} // namespace pimentostage
