#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <cstdint>

namespace pimentostage {

/// Identifies a waiting request; assigned by the queue's owner.
using QueueTicket = std::uint64_t;

/// A request that waits for capacity at a back end.
struct WaitingRequest
{
    QueueTicket ticket_ = 0;
    TeamName team_; ///< empty on open routes, which are treated as one team
    double share_ = 1; ///< the team's weight when capacity is scarce
    double cost_ = 1; ///< relative cost of the request's kind
    TimePoint deadline_;
    TimePoint since_; ///< when it arrived

    std::uint64_t id_ = 0; ///< hash of the request's id, which a repeat keeps; 0 if it has none
    RouteName route_;
    std::uint32_t priority_ = 0; ///< 0 is the most urgent
    Duration work_ {}; ///< expected processing time; zero if unknown
    TimePoint objective_ = TimePoint::max(); ///< an answer by then is in time
    TimePoint admitBy_ = TimePoint::max(); ///< after this time it no longer waits
    bool hasRun_ = false; ///< an attempt was sent; it is not evicted
};

} // namespace pimentostage
