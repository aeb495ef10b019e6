// Measures what callers get from a FairQueue in front of a fixed number of slots under overload,
// without a network. Refused callers retry once, after the Retry-After that they were told.

#include "bench/AdmissionLoad.h"
#include "pimentostage/backend/FairQueue.h"
#include "tests/fakes/EventQueue.h"

#include <array>
#include <cstdio>
#include <map>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 5;
// Callers honour Retry-After up to this fraction of the time that they have left.
constexpr int kRetryAfterDivisor = 3;
constexpr std::uint32_t kMaxTries = 2;
// As CallerService and Refusal.cpp state it for every overloaded service.
constexpr Duration kFixedRetryAfter = 1s;

/// How long a request may wait in the queue.
struct WaitLimit
{
    const char *name_;
    Duration (*of_)(const AdmissionRoute &);
    Duration max_;
};

constexpr WaitLimit kWaitLimits[] = {
    { "objective / 4, 500 ms", [](const AdmissionRoute &route) { return route.objective_ / 4; },
      500ms },
    { "objective / 2", [](const AdmissionRoute &route) { return route.objective_ / 2; }, 60s },
    { "objective", [](const AdmissionRoute &route) { return route.objective_; }, 60s },
    { "deadline / 3", [](const AdmissionRoute &route) { return route.deadline_ / 3; }, 60s },
    { "deadline / 2", [](const AdmissionRoute &route) { return route.deadline_ / 2; }, 60s },
};

struct RouteResult
{
    double offered_ = 0;
    double inTime_ = 0;
    double late_ = 0;
};

using Results = std::array<RouteResult, kAdmissionRouteCount>;

/// Simulation of one wait limit with one series of arrivals.
class AdmissionRun
{
public:
    AdmissionRun(const WaitLimit &limit, const std::vector<AdmissionArrival> &arrivals,
                 Results &results)
        : limit_(limit)
        , arrivals_(arrivals)
        , results_(results)
        , queue_(options(limit))
    { }

    void run()
    {
        for (const AdmissionArrival &arrival : arrivals_) {
            ++results_[arrival.route_].offered_;
            events_.after(arrival.at_, [this, &arrival] { offer({ &arrival, 1 }); });
        }
        scheduleExpiry();
        events_.runUntil(arrivals_.back().at_ + kDrainTime, [] {});
    }

private:
    struct Request
    {
        const AdmissionArrival *arrival_;
        std::uint32_t tries_;
    };

    // Longer than any deadline.
    static constexpr Duration kDrainTime = 12s;
    // As BackendClient polls its queues.
    static constexpr Duration kPollPeriod = 10ms;

    static FairQueueOptions options(const WaitLimit &limit)
    {
        FairQueueOptions options;
        options.maxWait_ = limit.max_;
        return options;
    }

    TimePoint now() const { return timeOf(events_.now()); }

    static TimePoint timeOf(Duration at) { return TimePoint(1h) + at; }

    static const AdmissionRoute &routeOf(const Request &request)
    {
        return kAdmissionRoutes[request.arrival_->route_];
    }

    static TimePoint deadlineOf(const Request &request)
    {
        return timeOf(request.arrival_->at_ + routeOf(request).deadline_);
    }

    void offer(const Request &request)
    {
        if (running_ < kAdmissionSlots && queue_.size() == 0) {
            begin(request);
            return;
        }
        WaitingRequest waiting;
        waiting.ticket_ = ++lastTicket_;
        waiting.since_ = now();
        waiting.deadline_ = std::min(deadlineOf(request), now() + limit_.of_(routeOf(request)));
        expire();
        const FairQueue::PushResult pushed = queue_.push(waiting, now());
        if (!pushed.isAccepted_) {
            refuse(request);
            return;
        }
        waiting_.emplace(waiting.ticket_, request);
        if (pushed.evicted_)
            refuse(takeWaiting(*pushed.evicted_));
    }

    Request takeWaiting(QueueTicket ticket)
    {
        const auto found = waiting_.find(ticket);
        const Request request = found->second;
        waiting_.erase(found);
        return request;
    }

    void refuse(Request request)
    {
        if (request.tries_ >= kMaxTries)
            return;
        ++request.tries_;
        const Duration left = deadlineOf(request) - now();
        const Duration wait = std::min(kFixedRetryAfter, left / kRetryAfterDivisor);
        if (left > Duration::zero())
            events_.after(wait, [this, request] { offer(request); });
    }

    void begin(const Request &request)
    {
        ++running_;
        events_.after(request.arrival_->work_, [this, request] {
            --running_;
            finish(request);
            admit();
        });
    }

    void finish(const Request &request)
    {
        const AdmissionRoute &route = routeOf(request);
        const Duration latency = events_.now() - request.arrival_->at_;
        RouteResult &result = results_[request.arrival_->route_];
        if (latency <= route.objective_)
            ++result.inTime_;
        else if (latency <= route.deadline_)
            ++result.late_;
    }

    void admit()
    {
        expire();
        while (running_ < kAdmissionSlots) {
            const auto next = queue_.take(now());
            if (!next)
                return;
            begin(takeWaiting(next->ticket_));
        }
    }

    void expire()
    {
        for (const QueueTicket ticket : queue_.takeExpired(now()))
            refuse(takeWaiting(ticket));
    }

    void scheduleExpiry()
    {
        events_.after(kPollPeriod, [this] {
            expire();
            scheduleExpiry();
        });
    }

    const WaitLimit &limit_;
    const std::vector<AdmissionArrival> &arrivals_;
    Results &results_;
    FairQueue queue_;
    EventQueue events_;
    std::map<QueueTicket, Request> waiting_;
    std::uint32_t running_ = 0;
    QueueTicket lastTicket_ = 0;
};

void printHeader()
{
    std::printf("| load | wait at most | value |");
    for (const AdmissionRoute &route : kAdmissionRoutes)
        std::printf(" %s |", route.name_);
    std::printf("\n|---|---|---|");
    for (std::size_t i = 0; i < kAdmissionRouteCount; ++i)
        std::printf("---|");
    std::printf("\n");
}

void printRow(const AdmissionScenario &scenario, const char *policy, const Results &results)
{
    double earned = 0;
    double total = 0;
    for (std::size_t i = 0; i < kAdmissionRouteCount; ++i) {
        const AdmissionRoute &route = kAdmissionRoutes[i];
        earned += results[i].inTime_ * route.value_ + results[i].late_ * route.lateValue_;
        total += results[i].offered_ * route.value_;
    }
    std::printf("| %s | %s | %.3f |", scenario.name_, policy, earned / total);
    for (const RouteResult &result : results) {
        std::printf(" %.2f %.2f %.2f |", result.inTime_ / result.offered_,
                    result.late_ / result.offered_,
                    1 - (result.inTime_ + result.late_) / result.offered_);
    }
    std::printf("\n");
}

void compareWaitLimits(const AdmissionScenario &scenario)
{
    double bound = 0;
    for (const WaitLimit &limit : kWaitLimits) {
        Results results;
        bound = 0;
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            const std::vector<AdmissionArrival> arrivals = admissionArrivals(scenario, seed);
            bound += admissionBound(arrivals) / kSeeds;
            AdmissionRun(limit, arrivals, results).run();
        }
        printRow(scenario, limit.name_, results);
    }
    std::printf("| %s | bound | %.3f | | | |\n", scenario.name_, bound);
}

} // namespace

int main()
{
    std::printf("Fractions of the requests of each route: in time, late, refused\n\n");
    printHeader();
    for (const AdmissionScenario &scenario : kAdmissionScenarios)
        compareWaitLimits(scenario);
    return 0;
}
