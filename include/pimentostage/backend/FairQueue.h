#pragma once

#include "pimentostage/backend/SharingPolicy.h"
#include "pimentostage/base/DecayingRate.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

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
};

struct FairQueueOptions
{
    std::size_t maxWaiting_ = 2000;
    Duration maxWait_ = std::chrono::milliseconds(500);
    Sharing sharing_ = Sharing::WeightedFair;
};

/// Requests that wait for capacity at a service's back ends; a SharingPolicy orders the teams.
///
/// Bounded in length and waiting time. A request that is expected to wait beyond its deadline or
/// the maximum wait is refused immediately. When the queue is full, the newest request of the team
/// with the largest backlog relative to its share is evicted; a new request of that team is
/// refused.
class FairQueue
{
public:
    /// Result of push().
    struct PushResult
    {
        bool isAccepted_ = false;
        std::optional<QueueTicket> evicted_; ///< request removed to make room
    };

    explicit FairQueue(const FairQueueOptions &options);

    PushResult push(const WaitingRequest &request, TimePoint now);
    /// Removes the next request, which the caller sends or puts back.
    /// @return std::nullopt if no request waits.
    std::optional<WaitingRequest> take(TimePoint now);
    /// Puts back a taken request for which there was no capacity, ahead of its team's others.
    void putBack(const WaitingRequest &request, TimePoint now);
    /// Removes requests that have waited too long.
    /// @return their tickets.
    std::vector<QueueTicket> takeExpired(TimePoint now);

    [[nodiscard]] std::size_t size() const { return size_; }

    /// @return how long a request would wait; std::nullopt if that cannot be estimated yet.
    [[nodiscard]] std::optional<Duration> expectedWait(const WaitingRequest &request,
                                                       TimePoint now) const;

private:
    struct Team
    {
        double share_ = 1;
        double virtualTime_ = 0; ///< cost served divided by share_; see currentVirtualTime_
        double backlog_ = 0; ///< cost of the waiting requests
        DecayingRate requestedRate_;
        DecayingRate servedRate_;
        std::deque<WaitingRequest> requests_;

        Team();
        [[nodiscard]] double progress(TimePoint now) const;
    };

    void beginBusyPeriodIfEmpty(TimePoint now);
    std::optional<QueueTicket> evictFor(const WaitingRequest &request);
    [[nodiscard]] bool isExpired(const WaitingRequest &request, TimePoint now) const;
    [[nodiscard]] double drainRate(TimePoint now) const;

    const FairQueueOptions options_;
    const SharingPolicy &policy_;
    std::map<TeamName, Team> teams_;
    std::size_t size_ = 0;
    double currentVirtualTime_ = 0; ///< highest virtualTime_ at which a team was served
    std::optional<TimePoint> busyPeriodStart_; ///< when the queue last became non-empty
    DecayingRate dequeuedRate_;
};

} // namespace pimentostage
