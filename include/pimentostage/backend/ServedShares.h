#pragma once

#include "pimentostage/base/DecayingRate.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace pimentostage {

/// Fraction of the recent requests of each route that a queue let through, and which route is due
/// before the queue's order applies.
///
/// A route is due if its fraction is below the floor, so that it is not starved by others, or below
/// that of a less urgent route. Refused repeats raise the requests of their route, but the floor
/// gives a route at most kFloor of the throughput.
class ServedShares
{
public:
    /// Number of waiting requests of each route.
    using WaitingCounts = std::map<RouteName, std::size_t>;

    /// Fraction of the mean of all routes below which a route is due. Callers need a quarter; the
    /// rest is for the noise of the estimate.
    static constexpr double kFloor = 0.3;

    /// Counts a request that wants to wait.
    void onOffered(const RouteName &route, std::uint32_t priority, TimePoint now);
    /// Counts a request that left the queue to be sent.
    /// @param count 1, or -1 if a request that was counted is put back.
    void onServed(const RouteName &route, double count, TimePoint now);

    /// @return the route of @p waiting whose request is served next whatever the order says;
    ///         std::nullopt if the order decides.
    [[nodiscard]] std::optional<RouteName> due(const WaitingCounts &waiting, TimePoint now) const;

    /// @return whether @p route is served less than the floor, or less often than a less urgent
    /// one.
    [[nodiscard]] bool isBehind(const RouteName &route, TimePoint now) const;

private:
    struct Row
    {
        std::uint32_t priority_ = 0;
        DecayingRate offered_;
        DecayingRate served_;

        Row();
        [[nodiscard]] double fraction(TimePoint now) const;
        [[nodiscard]] bool isKnown(TimePoint now) const;
    };

    [[nodiscard]] double meanFraction(TimePoint now) const;
    [[nodiscard]] double highestLessUrgent(std::uint32_t priority, TimePoint now) const;

    std::map<RouteName, Row> rows_;
};

} // namespace pimentostage
