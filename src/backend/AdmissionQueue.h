#pragma once

#include "pimentostage/backend/FairQueue.h"
#include "pimentostage/base/Counters.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pimentostage {

/// How a wait for room ended.
enum class Admission { Room, Refused };

/// A FairQueue that the traffic threads of a host share.
class AdmissionQueue
{
public:
    /// Called once, on any traffic thread, without a lock held.
    using Done = std::function<void(Admission, const WaitingRequest &)>;

    explicit AdmissionQueue(const FairQueueOptions &options);

    /// @return how many requests wait.
    [[nodiscard]] std::size_t waiting() const { return waiting_.load(std::memory_order_acquire); }

    /// Lets a request wait; its ticket is given here.
    /// @return whether it waits; if not, @p done is not called.
    bool push(WaitingRequest request, Done done, TimePoint now);
    /// Lets a request that was given room and found none wait again, where it was.
    void putBack(const WaitingRequest &request, Done done, TimePoint now);
    /// Room may have become free: gives it to the next request.
    void admitNext(TimePoint now);
    /// Refuses requests that have waited too long.
    void expire(TimePoint now);

private:
    Done takeDone(QueueTicket ticket);

    std::mutex mutex_;
    FairQueue queue_;
    std::map<QueueTicket, Done> done_;
    QueueTicket lastTicket_ = 0;
    std::atomic<std::size_t> waiting_ { 0 };
};

/// The queues of a host: one for each balanced service, and for each back end of a keyed one.
class AdmissionQueues
{
public:
    explicit AdmissionQueues(const FairQueueOptions &options)
        : options_(options)
    { }

    /// @return the queue called @p name, made on first use.
    std::shared_ptr<AdmissionQueue> find(const std::string &name);

private:
    const FairQueueOptions options_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<AdmissionQueue>> queues_;
};

} // namespace pimentostage
