#pragma once

#include "pimentostage/backend/AdmissionOrder.h"
#include "pimentostage/backend/SharingPolicy.h"
#include "pimentostage/backend/WaitingRequest.h"
#include "pimentostage/base/Time.h"

#include <memory>
#include <optional>
#include <vector>

namespace pimentostage {

struct FairQueueOptions
{
    std::size_t maxWaiting_ = 2000;
    Duration maxWait_ = std::chrono::milliseconds(500);
    Sharing sharing_ = Sharing::WeightedFair;
};

/// Requests that wait for capacity at a service's back ends, bounded in length and waiting time.
class RequestQueue
{
public:
    /// Result of push().
    struct PushResult
    {
        bool isAccepted_ = false;
        std::optional<QueueTicket> evicted_; ///< request removed to make room
    };

    virtual ~RequestQueue() = default;

    /// Adds @p request, unless it is expected to wait too long or the queue is full of requests
    /// whose refusal costs more.
    virtual PushResult push(const WaitingRequest &request, TimePoint now) = 0;
    /// Removes the next request, which the caller sends or puts back.
    /// @return std::nullopt if no request waits.
    virtual std::optional<WaitingRequest> take(TimePoint now) = 0;
    /// Puts back a taken request for which there was no capacity, at its previous position.
    virtual void putBack(const WaitingRequest &request, TimePoint now) = 0;
    /// Removes requests that have waited too long.
    /// @return their tickets.
    virtual std::vector<QueueTicket> takeExpired(TimePoint now) = 0;

    [[nodiscard]] virtual std::size_t size() const = 0;

    /// @return how long a request would wait; std::nullopt if that cannot be estimated yet.
    [[nodiscard]] virtual std::optional<Duration> expectedWait(const WaitingRequest &request,
                                                               TimePoint now) const = 0;

    /// @return the time until there is room for a repeat of @p request, which was refused;
    ///         std::nullopt if the queue does not tell.
    [[nodiscard]] virtual std::optional<Duration> untilRoom(const WaitingRequest &request,
                                                            TimePoint now) const = 0;
};

/// @return an empty queue that serves its requests by @p rule.
std::unique_ptr<RequestQueue> makeRequestQueue(AdmissionRule rule, const FairQueueOptions &options);

} // namespace pimentostage
