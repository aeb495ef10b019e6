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

/// Number of a waiting request, given by its owner.
using QueueTicket = std::uint64_t;

/// A request that waits for room at a back end.
struct WaitingRequest
{
    QueueTicket ticket_ = 0;
    TeamName team_; ///< empty on open routes, which count as one team
    double share_ = 1; ///< the team's weight when capacity is short
    double cost_ = 1; ///< weight of the request's kind
    TimePoint deadline_;
    TimePoint since_; ///< when it came
};

/// Settings of a FairQueue.
struct FairQueueOptions
{
    std::size_t mostWaiting_ = 2000;
    Duration mostWait_ = std::chrono::milliseconds(500);
    Sharing sharing_ = Sharing::WeightedFair;
};

/// Requests of one service that wait for room, in the order in which teams are to be served.
///
/// Bounded in number and in time. A request that would wait too long for its deadline is refused at
/// once; when the queue is full the team with the longest queue for its share gives way.
class FairQueue
{
public:
    /// What became of a request.
    struct Pushed
    {
        bool isAccepted_ = false;
        std::optional<QueueTicket> displaced_; ///< refused to make room for it
    };

    explicit FairQueue(const FairQueueOptions &options);

    Pushed push(const WaitingRequest &request, TimePoint now);
    /// @return the next request, which is to be sent or to be put back.
    std::optional<WaitingRequest> take(TimePoint now);
    /// Puts back a request that was taken and found no room.
    void putBack(const WaitingRequest &request, TimePoint now);
    /// @return requests that have waited too long, taken out.
    std::vector<QueueTicket> takeExpired(TimePoint now);

    [[nodiscard]] std::size_t size() const { return size_; }

    /// @return how long a request would wait; nothing while that cannot be told.
    [[nodiscard]] std::optional<Duration> expectedWait(const WaitingRequest &request,
                                                       TimePoint now) const;

private:
    struct Team
    {
        double share_ = 1;
        double served_ = 0; ///< cost served by share, on the scale of serviceLevel_
        double backlog_ = 0; ///< cost of what waits
        DecayingRate asked_;
        DecayingRate given_;
        std::deque<WaitingRequest> requests_;

        Team();
        [[nodiscard]] double progress(TimePoint now) const;
    };

    void beginBusy(TimePoint now);
    std::optional<QueueTicket> displaceFor(const WaitingRequest &request);
    [[nodiscard]] bool isExpired(const WaitingRequest &request, TimePoint now) const;
    [[nodiscard]] double drainRate(TimePoint now) const;

    const FairQueueOptions options_;
    const SharingPolicy &policy_;
    std::map<TeamName, Team> teams_;
    std::size_t size_ = 0;
    double serviceLevel_ = 0; ///< Team::served_ of the team served last
    std::optional<TimePoint> busySince_; ///< since when requests have been waiting
    DecayingRate drained_;
};

} // namespace pimentostage
