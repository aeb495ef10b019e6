#include "src/backend/AdmissionQueue.h"

namespace pimentostage {

AdmissionQueue::AdmissionQueue(const FairQueueOptions &options, AdmissionQueueKey key,
                               AdmissionMetrics *metrics)
    : key_(std::move(key))
    , metrics_(metrics)
    , queue_(makeRequestQueue(key_.rule_, options))
{ }

bool AdmissionQueue::push(WaitingRequest request, Done done, TimePoint now)
{
    Done evicted;
    {
        const std::lock_guard lock(mutex_);
        request.ticket_ = ++lastTicket_;
        const RequestQueue::PushResult pushed = queue_->push(request, now);
        if (!pushed.isAccepted_) {
            countRefusal(request.priority_);
            return false;
        }
        addEntry(request, std::move(done));
        if (pushed.evicted_)
            evicted = takeRefused(*pushed.evicted_);
        waiting_.store(queue_->size(), std::memory_order_release);
    }
    if (evicted)
        evicted(Admission::Refused, {});
    return true;
}

void AdmissionQueue::putBack(const WaitingRequest &request, Done done, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    queue_->putBack(request, now);
    addEntry(request, std::move(done));
    waiting_.store(queue_->size(), std::memory_order_release);
}

void AdmissionQueue::admitNext(TimePoint now)
{
    if (waiting() == 0)
        return;
    Done done;
    std::optional<WaitingRequest> next;
    {
        const std::lock_guard lock(mutex_);
        next = queue_->take(now);
        if (!next)
            return;
        done = takeDone(next->ticket_);
        waiting_.store(queue_->size(), std::memory_order_release);
    }
    done(Admission::Admitted, *next);
}

void AdmissionQueue::expire(TimePoint now)
{
    std::vector<Done> expired;
    {
        const std::lock_guard lock(mutex_);
        for (const QueueTicket ticket : queue_->takeExpired(now))
            expired.push_back(takeRefused(ticket));
        waiting_.store(queue_->size(), std::memory_order_release);
    }
    for (const Done &done : expired)
        done(Admission::Refused, {});
}

AdmissionRefusal AdmissionQueue::refusal(const WaitingRequest &request, double spread,
                                         TimePoint now)
{
    const std::lock_guard lock(mutex_);
    AdmissionRefusal refusal;
    refusal.rule_ = key_.rule_;
    refusal.queue_ = key_.name_;
    refusal.expectedWait_ = queue_->expectedWait(request, now);
    if (const auto untilRoom = queue_->untilRoom(request, now))
        refusal.retryAfter_ = spreadRetryAfter(*untilRoom, spread);
    return refusal;
}

void AdmissionQueue::addEntry(const WaitingRequest &request, Done done)
{
    entries_.emplace(request.ticket_, Entry { std::move(done), request.priority_ });
    if (metrics_)
        metrics_->onWaiting(request.priority_, 1);
}

AdmissionQueue::Done AdmissionQueue::takeDone(QueueTicket ticket)
{
    const auto found = entries_.find(ticket);
    Done done = std::move(found->second.done_);
    if (metrics_)
        metrics_->onWaiting(found->second.priority_, -1);
    entries_.erase(found);
    return done;
}

AdmissionQueue::Done AdmissionQueue::takeRefused(QueueTicket ticket)
{
    countRefusal(entries_.at(ticket).priority_);
    return takeDone(ticket);
}

void AdmissionQueue::countRefusal(std::uint32_t priority)
{
    if (metrics_)
        metrics_->onRefused(priority);
}

std::shared_ptr<AdmissionQueue> AdmissionQueues::find(const AdmissionQueueKey &key)
{
    const std::lock_guard lock(mutex_);
    std::shared_ptr<AdmissionQueue> &queue = queues_[key];
    if (!queue)
        queue = std::make_shared<AdmissionQueue>(options_, key, &metrics_);
    return queue;
}

} // namespace pimentostage
