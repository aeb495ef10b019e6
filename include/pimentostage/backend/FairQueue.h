#pragma once

#include "pimentostage/backend/RequestQueue.h"
#include "pimentostage/backend/SharingPolicy.h"
#include "pimentostage/base/DecayingRate.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace pimentostage {

/// Requests that wait for capacity at a service's back ends; a SharingPolicy orders the teams.
///
/// Bounded in length and waiting time. A request that is expected to wait beyond its deadline or
/// the maximum wait is refused immediately. When the queue is full, the newest request of the team
/// with the largest backlog relative to its share is evicted; a new request of that team is
/// refused.
class FairQueue : public RequestQueue
{
public:
    explicit FairQueue(const FairQueueOptions &options);

    PushResult push(const WaitingRequest &request, TimePoint now) override;
    std::optional<WaitingRequest> take(TimePoint now) override;
    void putBack(const WaitingRequest &request, TimePoint now) override;
    std::vector<QueueTicket> takeExpired(TimePoint now) override;
    [[nodiscard]] std::size_t size() const override { return size_; }
    [[nodiscard]] std::optional<Duration> expectedWait(const WaitingRequest &request,
                                                       TimePoint now) const override;
    [[nodiscard]] std::optional<Duration> untilRoom(const WaitingRequest &,
                                                    TimePoint) const override
    {
        return std::nullopt;
    }

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
