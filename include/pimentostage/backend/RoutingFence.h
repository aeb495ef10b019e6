#pragma once

#include "pimentostage/backend/ServerLease.h"
#include "pimentostage/base/Attempt.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace pimentostage {

/// A request whose first byte is not sent within this time is not sent under its deadline.
inline constexpr Duration kMostSendDelay = std::chrono::milliseconds(50);
/// Time from choosing a back end to the request's arrival there; its deadline counts from then.
inline constexpr Duration kMostTransit = std::chrono::milliseconds(150);

/// @return when an attempt in @p state has ended at its back end at the latest, if the back end
///         honours the request's @p deadline.
TimePoint mayRunUntil(AttemptState state, TimePoint deadline, TimePoint now);

/// A router's lease to send requests of one service whose back ends check no fence.
///
/// Grants are taken on the control thread; traffic threads ask and count. A unit withdrawn is
/// reported as draining until every request sent for it has surely ended.
class RoutingFence
{
public:
    explicit RoutingFence(Incarnation router);

    /// Takes @p grant if it is the newest.
    /// @return what became of it, and the withdrawn units of which requests may still run.
    GrantReply apply(const Grant &grant, TimePoint now);

    /// Counts a request for @p unit if it may be sent now.
    /// @param epoch of the unit in the placement by which the request is routed.
    bool tryBegin(const UnitName &unit, Epoch epoch, TimePoint now);
    /// @return whether the first byte of a request that began at @p begunAt may be sent now.
    [[nodiscard]] bool maySend(const UnitName &unit, Epoch epoch, TimePoint begunAt,
                               TimePoint now) const;
    /// Counts a request that began as ended.
    /// @param runsUntil when it ends at the back end at the latest; not after @p now if it is
    ///        known to have ended.
    void end(const UnitName &unit, TimePoint runsUntil, TimePoint now);

    /// @return when the lease ends.
    [[nodiscard]] TimePoint until() const;

private:
    struct Traffic
    {
        std::uint32_t running_ = 0;
        TimePoint runsUntil_ {}; ///< of requests given up whose end is not known
    };

    mutable std::mutex mutex_;
    ServerLease lease_;
    std::map<UnitName, Traffic> traffic_; ///< units with requests that may run
};

} // namespace pimentostage
