#include "bench/AdmissionRun.h"

#include "pimentostage/backend/OrderedQueue.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Callers honour Retry-After up to this fraction of the time that they have left.
constexpr int kRetryAfterDivisor = 3;
// As Refusal.cpp states it for AdmissionRule::TeamShares.
constexpr Duration kFixedRetryAfter = std::chrono::seconds(1);
// Longer than any deadline.
constexpr Duration kDrainTime = std::chrono::seconds(12);
// As BackendClient polls its queues.
constexpr Duration kPollPeriod = std::chrono::milliseconds(10);

/// Orders by the true value per second of the true work.
class PerfectOrder : public AdmissionOrder
{
public:
    explicit PerfectOrder(const std::vector<AdmissionArrival> &arrivals)
        : arrivals_(arrivals)
    { }

    AdmissionRank rank(const WaitingRequest &request, TimePoint now) const override
    {
        const AdmissionArrival &arrival = arrivals_.at(request.id_ - 1);
        const AdmissionRoute &route = kAdmissionRoutes[arrival.route_];
        const bool isLate = request.objective_ < now + arrival.work_;
        const double value = isLate ? route.lateValue_ : route.value_;
        return { 0, false, -value / toSeconds(arrival.work_), request.since_ };
    }

private:
    const std::vector<AdmissionArrival> &arrivals_;
};

std::unique_ptr<RequestQueue> makeQueue(const AdmissionPolicy &policy,
                                        const AdmissionOrder &perfectOrder)
{
    FairQueueOptions options;
    // The longer waits that are compared may exceed the default.
    if (policy.rule_ != AdmissionRule::TeamShares)
        options.maxWait_ = kDrainTime;
    if (policy.knowsAll_)
        return std::make_unique<OrderedQueue>(perfectOrder, options);
    return makeRequestQueue(policy.rule_, options);
}

} // namespace

AdmissionRun::AdmissionRun(const AdmissionPolicy &policy,
                           const std::vector<AdmissionArrival> &arrivals,
                           const AdmissionCaller &probe, AdmissionResults &results,
                           AdmissionResults &probeResults)
    : policy_(policy)
    , arrivals_(arrivals)
    , probe_(probe)
    , results_(results)
    , probeResults_(probeResults)
    , perfectOrder_(std::make_unique<PerfectOrder>(arrivals))
    , queue_(makeQueue(policy, *perfectOrder_))
{ }

void AdmissionRun::run()
{
    std::uint64_t count = 0;
    for (const AdmissionArrival &arrival : arrivals_) {
        Request request;
        request.arrival_ = &arrival;
        request.isProbe_ = ++count % kProbeEvery == 0;
        ++resultOf(request).offered_;
        events_.after(arrival.at_, [this, request] { offer(request); });
    }
    scheduleExpiry();
    events_.runUntil(arrivals_.back().at_ + kDrainTime, [] {});
}

const AdmissionRoute &AdmissionRun::routeOf(const Request &request)
{
    return kAdmissionRoutes[request.arrival_->route_];
}

TimePoint AdmissionRun::deadlineOf(const Request &request)
{
    return timeOf(request.arrival_->at_ + routeOf(request).deadline_);
}

AdmissionResult &AdmissionRun::resultOf(const Request &request)
{
    AdmissionResults &results = request.isProbe_ ? probeResults_ : results_;
    return results[request.arrival_->route_];
}

const AdmissionCaller &AdmissionRun::callerOf(const Request &request) const
{
    return request.isProbe_ ? probe_ : patient_;
}

WaitingRequest AdmissionRun::waitingRequest(const Request &request) const
{
    const AdmissionRoute &route = routeOf(request);
    WaitingRequest waiting;
    waiting.id_ = 1 + static_cast<std::uint64_t>(request.arrival_ - arrivals_.data());
    waiting.route_ = RouteName(route.name_);
    waiting.priority_ = route.priority_;
    waiting.since_ = request.offeredAt_;
    waiting.deadline_ = deadlineOf(request);
    waiting.objective_ = request.offeredAt_ + route.objective_;
    waiting.admitBy_ = request.offeredAt_ + policy_.limit_.of_(route);
    waiting.work_
        = policy_.knowsAll_ ? request.arrival_->work_ : work_[request.arrival_->route_].value();
    if (policy_.rule_ == AdmissionRule::TeamShares)
        waiting.deadline_ = std::min(waiting.deadline_, waiting.admitBy_);
    return waiting;
}

void AdmissionRun::offer(Request request)
{
    if (running_ < kAdmissionSlots && queue_->size() == 0) {
        begin(request);
        return;
    }
    expire();
    request.offeredAt_ = now();
    WaitingRequest waiting = waitingRequest(request);
    waiting.ticket_ = ++lastTicket_;
    const RequestQueue::PushResult pushed = queue_->push(waiting, now());
    if (!pushed.isAccepted_) {
        refuse(request);
        return;
    }
    waiting_.emplace(waiting.ticket_, request);
    if (pushed.evicted_)
        refuse(takeWaiting(*pushed.evicted_));
}

AdmissionRun::Request AdmissionRun::takeWaiting(QueueTicket ticket)
{
    const auto found = waiting_.find(ticket);
    const Request request = found->second;
    waiting_.erase(found);
    return request;
}

void AdmissionRun::refuse(Request request)
{
    ++resultOf(request).refusals_;
    resultOf(request).heldSeconds_ += toSeconds(now() - request.offeredAt_);
    if (request.tries_ >= callerOf(request).maxTries_ || now() >= deadlineOf(request))
        return;
    const Duration delay = retryDelay(request);
    ++request.tries_;
    events_.after(delay, [this, request] { offer(request); });
}

Duration AdmissionRun::retryDelay(const Request &request)
{
    if (callerOf(request).ownDelay_)
        return *callerOf(request).ownDelay_;
    const auto untilRoom = queue_->untilRoom(waitingRequest(request), now());
    const Duration told
        = untilRoom ? spreadRetryAfter(*untilRoom, random_.unit()) : kFixedRetryAfter;
    return std::min(told, (deadlineOf(request) - now()) / kRetryAfterDivisor);
}

void AdmissionRun::begin(const Request &request)
{
    ++running_;
    events_.after(request.arrival_->work_, [this, request] {
        --running_;
        work_[request.arrival_->route_].record(request.arrival_->work_, std::nullopt, 1);
        finish(request);
        admit();
    });
}

void AdmissionRun::finish(const Request &request)
{
    const AdmissionRoute &route = routeOf(request);
    const Duration latency = events_.now() - request.arrival_->at_;
    AdmissionResult &result = resultOf(request);
    if (latency <= route.objective_)
        ++result.inTime_;
    else if (latency <= route.deadline_)
        ++result.late_;
}

void AdmissionRun::admit()
{
    expire();
    while (running_ < kAdmissionSlots) {
        const auto next = queue_->take(now());
        if (!next)
            return;
        begin(takeWaiting(next->ticket_));
    }
}

void AdmissionRun::expire()
{
    for (const QueueTicket ticket : queue_->takeExpired(now()))
        refuse(takeWaiting(ticket));
}

void AdmissionRun::scheduleExpiry()
{
    events_.after(kPollPeriod, [this] {
        expire();
        scheduleExpiry();
    });
}

} // namespace pimentostage
