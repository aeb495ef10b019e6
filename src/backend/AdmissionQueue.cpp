#include "src/backend/AdmissionQueue.h"

namespace pimentostage {

AdmissionQueue::AdmissionQueue(const FairQueueOptions &options)
    : queue_(options)
{ }

bool AdmissionQueue::push(WaitingRequest request, Done done, TimePoint now)
{
    Done evicted;
    {
        const std::lock_guard lock(mutex_);
        request.ticket_ = ++lastTicket_;
        const FairQueue::PushResult pushed = queue_.push(request, now);
        if (!pushed.isAccepted_)
            return false;
        done_.emplace(request.ticket_, std::move(done));
        if (pushed.evicted_)
            evicted = takeDone(*pushed.evicted_);
        waiting_.store(queue_.size(), std::memory_order_release);
    }
    if (evicted)
        evicted(Admission::Refused, {});
    return true;
}

void AdmissionQueue::putBack(const WaitingRequest &request, Done done, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    queue_.putBack(request, now);
    done_.emplace(request.ticket_, std::move(done));
    waiting_.store(queue_.size(), std::memory_order_release);
}

void AdmissionQueue::admitNext(TimePoint now)
{
    if (waiting() == 0)
        return;
    Done done;
    std::optional<WaitingRequest> next;
    {
        const std::lock_guard lock(mutex_);
        next = queue_.take(now);
        if (!next)
            return;
        done = takeDone(next->ticket_);
        waiting_.store(queue_.size(), std::memory_order_release);
    }
    done(Admission::Admitted, *next);
}

void AdmissionQueue::expire(TimePoint now)
{
    std::vector<Done> expired;
    {
        const std::lock_guard lock(mutex_);
        for (const QueueTicket ticket : queue_.takeExpired(now))
            expired.push_back(takeDone(ticket));
        waiting_.store(queue_.size(), std::memory_order_release);
    }
    for (const Done &done : expired)
        done(Admission::Refused, {});
}

AdmissionQueue::Done AdmissionQueue::takeDone(QueueTicket ticket)
{
    const auto found = done_.find(ticket);
    Done done = std::move(found->second);
    done_.erase(found);
    return done;
}

std::shared_ptr<AdmissionQueue> AdmissionQueues::find(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    std::shared_ptr<AdmissionQueue> &queue = queues_[name];
    if (!queue)
        queue = std::make_shared<AdmissionQueue>(options_);
    return queue;
}

} // namespace pimentostage
