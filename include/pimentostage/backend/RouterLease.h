#pragma once

#include "pimentostage/backend/ServerLease.h"
#include "pimentostage/base/Attempt.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace pimentostage {

/// Maximum time from the start of a request to its first byte; a later request is not sent, as it
/// could arrive after kMaxTransitTime.
inline constexpr Duration kMaxSendDelay = std::chrono::milliseconds(50);
/// Maximum time from the choice of a back end to the request's arrival there, from which the back
/// end counts the deadline.
inline constexpr Duration kMaxTransitTime = std::chrono::milliseconds(150);

/// @return the latest time at which an attempt in @p state can end at its back end, if the back end
///         observes the request's @p deadline.
TimePoint latestEndTime(AttemptState state, TimePoint deadline, TimePoint now);

/// A router's lease to send requests of one service whose back ends do not check grants.
///
/// The control thread applies grants; traffic threads check the lease and count their requests. A
/// withdrawn unit is reported as draining until every request sent for it has certainly ended.
class RouterLease
{
public:
    explicit RouterLease(Incarnation router);

    /// Applies @p grant if it is newer than the last.
    /// @return the result, and the withdrawn units for which requests may still run.
    GrantReply apply(const Grant &grant, TimePoint now);

    /// Counts a request for @p unit as in flight if it may be sent at @p now.
    /// @param epoch epoch of the unit in the placement that routes the request.
    /// @return whether the request was counted.
    bool tryBegin(const UnitName &unit, Epoch epoch, TimePoint now);
    /// @return whether the first byte of a request started at @p startedAt may be sent at @p now.
    [[nodiscard]] bool maySend(const UnitName &unit, Epoch epoch, TimePoint startedAt,
                               TimePoint now) const;
    /// Counts a request as no longer in flight at this router.
    /// @param latestEnd latest time at which the request can end at the back end; not after @p now
    ///        if it is known to have ended.
    void end(const UnitName &unit, TimePoint latestEnd, TimePoint now);

    /// @return when the lease ends.
    [[nodiscard]] TimePoint expiresAt() const;

private:
    struct Traffic
    {
        std::uint32_t inFlight_ = 0;
        TimePoint latestEnd_ {}; ///< of abandoned requests that may still run
    };

    mutable std::mutex mutex_;
    ServerLease lease_;
    std::map<UnitName, Traffic> traffic_; ///< only units with requests that may run
};

} // namespace pimentostage
