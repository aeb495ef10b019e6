#pragma once

#include "pimentostage/backend/RefusalMemory.h"
#include "pimentostage/backend/RequestQueue.h"
#include "pimentostage/backend/ServedShares.h"
#include "pimentostage/base/DecayingRate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pimentostage {

/// Requests that wait for capacity, served by an AdmissionOrder.
///
/// - A route that ServedShares declares due goes first.
/// - Within a level of the order, teams are served by their shares.
/// - A request that cannot be expected to start in time is refused at once: before the time by
///   which it must be admitted, and early enough to be answered by its deadline.
/// - When the queue is full, the request whose refusal costs least is evicted or refused.
/// - A refused request that is repeated before there is expected to be room is refused again.
class OrderedQueue : public RequestQueue
{
public:
    /// @param order must outlive this object.
    OrderedQueue(const AdmissionOrder &order, const FairQueueOptions &options);

    PushResult push(const WaitingRequest &request, TimePoint now) override;
    std::optional<WaitingRequest> take(TimePoint now) override;
    void putBack(const WaitingRequest &request, TimePoint now) override;
    std::vector<QueueTicket> takeExpired(TimePoint now) override;
    [[nodiscard]] std::size_t size() const override { return waiting_.size(); }
    [[nodiscard]] std::optional<Duration> expectedWait(const WaitingRequest &request,
                                                       TimePoint now) const override;
    [[nodiscard]] std::optional<Duration> untilRoom(const WaitingRequest &request,
                                                    TimePoint now) const override;

private:
    using Requests = std::vector<WaitingRequest>;

    /// Requests of one route that the queue took in.
    struct AcceptedRoute
    {
        DecayingRate rate_; ///< seconds of work per second
        WaitingRequest latest_;

        AcceptedRoute();
    };

    void beginBusyPeriodIfEmpty(TimePoint now);
    [[nodiscard]] WaitingRequest withWork(const WaitingRequest &request) const;
    void updateWork(const WaitingRequest &request);
    [[nodiscard]] TimePoint latestStart(const WaitingRequest &request) const;
    [[nodiscard]] bool isTooLate(const WaitingRequest &request, TimePoint now) const;
    std::optional<QueueTicket> evictFor(const WaitingRequest &request, TimePoint now);
    void rememberRefusal(const WaitingRequest &request, TimePoint now);
    void add(const WaitingRequest &request);
    WaitingRequest remove(Requests::iterator position);
    Requests::iterator next(TimePoint now);
    [[nodiscard]] double rateFor(const WaitingRequest &request, TimePoint now) const;
    [[nodiscard]] double shareOf(const WaitingRequest &request) const;

    const AdmissionOrder &order_;
    const FairQueueOptions options_;
    Requests waiting_;
    ServedShares::WaitingCounts waitingByRoute_;
    ServedShares shares_;
    RefusalMemory refusals_;
    std::map<TeamName, double> virtualTimes_; ///< work served divided by the team's share
    double currentVirtualTime_ = 0; ///< highest virtual time at which a team was served
    Duration typicalWork_ {}; ///< moving average of the known work; zero if none is known
    std::optional<TimePoint> busyPeriodStart_; ///< when the queue last became non-empty
    std::int64_t dequeued_ = 0; ///< requests in this busy period
    DecayingRate dequeuedRate_; ///< seconds of work per second
    std::map<RouteName, AcceptedRoute> accepted_; ///< of this busy period
};

} // namespace pimentostage
