#pragma once

#include "pimentostage/backend/ExposureBudget.h"
#include "pimentostage/backend/RolloutOutcomes.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pimentostage {

/// Routes of one service that a report tells apart; the others are summed up, so that a report has
/// a fixed size.
inline constexpr std::size_t kMaxReportedRoutes = 16;

/// One host's part in the roll-out of one service: what its traffic threads may send to each
/// version, and what became of it. Thread-safe.
class RolloutTraffic
{
public:
    /// @param target version that is rolled out.
    /// @param incarnation of this host's process.
    RolloutTraffic(std::string target, Incarnation incarnation)
        : target_(std::move(target))
        , budget_(incarnation)
    { }

    [[nodiscard]] const std::string &target() const { return target_; }
    [[nodiscard]] ExposureBudget &budget() { return budget_; }

    /// Records an attempt that ended.
    /// @param isTarget whether it was sent to the target.
    void record(const RouteName &route, bool isTarget, bool isFailed, Duration latency);

    /// @return the outcomes by route; at most kMaxReportedRoutes rows. A row without a name sums up
    ///         the routes that came last.
    [[nodiscard]] std::vector<RouteOutcomes> outcomes() const;

private:
    const std::string target_;
    ExposureBudget budget_;
    mutable std::mutex mutex_;
    std::map<RouteName, RouteOutcomes> routes_;
};

} // namespace pimentostage
