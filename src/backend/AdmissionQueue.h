#pragma once

#include "pimentostage/backend/FairQueue.h"
#include "pimentostage/base/MetricRegistry.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pimentostage {

/// Result of a wait for capacity.
enum class Admission { Admitted, Refused };

/// A FairQueue shared by the traffic threads of a host. Thread-safe.
class AdmissionQueue
{
public:
    /// Called once, on any traffic thread, with no lock held.
    using Done = std::function<void(Admission, const WaitingRequest &)>;

    explicit AdmissionQueue(const FairQueueOptions &options);

    /// @return the number of waiting requests.
    [[nodiscard]] std::size_t waiting() const { return waiting_.load(std::memory_order_acquire); }

    /// Queues a request and assigns its ticket.
    /// @return whether it was queued; if not, @p done is not called.
    bool push(WaitingRequest request, Done done, TimePoint now);
    /// Puts back an admitted request for which there was no capacity, at its previous position.
    void putBack(const WaitingRequest &request, Done done, TimePoint now);
    /// Admits the next request, after capacity may have become available.
    void admitNext(TimePoint now);
    /// Refuses the requests that have waited too long.
    void expire(TimePoint now);

private:
    Done takeDone(QueueTicket ticket);

    std::mutex mutex_;
    FairQueue queue_;
    std::map<QueueTicket, Done> done_;
    QueueTicket lastTicket_ = 0;
    std::atomic<std::size_t> waiting_ { 0 };
};

/// The queues of a host: one per balanced service, and one per back end of a keyed service.
class AdmissionQueues
{
public:
    explicit AdmissionQueues(const FairQueueOptions &options)
        : options_(options)
    { }

    /// @return the queue named @p name, created on first use.
    std::shared_ptr<AdmissionQueue> find(const std::string &name);

private:
    const FairQueueOptions options_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<AdmissionQueue>> queues_;
};

} // namespace pimentostage
