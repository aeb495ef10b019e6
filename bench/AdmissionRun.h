#pragma once

#include "bench/AdmissionLoad.h"
#include "pimentostage/backend/AdmissionRefusal.h"
#include "pimentostage/backend/RequestQueue.h"
#include "pimentostage/backend/WorkEstimate.h"
#include "tests/fakes/EventQueue.h"

#include <array>
#include <map>
#include <memory>

namespace pimentostage {

/// How long a request may wait in the queue.
struct AdmissionWaitLimit
{
    const char *name_;
    Duration (*of_)(const AdmissionRoute &);
};

/// One way to admit requests.
struct AdmissionPolicy
{
    const char *name_;
    AdmissionRule rule_ = AdmissionRule::TeamShares;
    AdmissionWaitLimit limit_;
    bool knowsAll_ = false; ///< order by the true value and work, instead of rule_
};

/// How a refused caller behaves.
struct AdmissionCaller
{
    std::uint32_t maxTries_ = 2;
    std::optional<Duration> ownDelay_ {}; ///< repeats after this time instead of Retry-After
};

/// What became of the requests of one route.
struct AdmissionResult
{
    double offered_ = 0;
    double inTime_ = 0;
    double late_ = 0;
    double refusals_ = 0; ///< a request may be refused at each of its tries
    double heldSeconds_ = 0; ///< time in the queue before refusals

    [[nodiscard]] double answeredFraction() const
    {
        return offered_ > 0 ? (inTime_ + late_) / offered_ : 1;
    }
};

using AdmissionResults = std::array<AdmissionResult, kAdmissionRouteCount>;

/// Simulation of one policy with one series of arrivals.
class AdmissionRun
{
public:
    /// @param results receives the results of all callers, and @p probeResults those of every
    ///        kProbeEvery-th, who behaves as @p probe instead of as the default.
    AdmissionRun(const AdmissionPolicy &policy, const std::vector<AdmissionArrival> &arrivals,
                 const AdmissionCaller &probe, AdmissionResults &results,
                 AdmissionResults &probeResults);

    void run();

    static constexpr std::uint64_t kProbeEvery = 10;

private:
    struct Request
    {
        const AdmissionArrival *arrival_ = nullptr;
        bool isProbe_ = false;
        std::uint32_t tries_ = 1;
        TimePoint offeredAt_ {};
    };

    [[nodiscard]] TimePoint now() const { return timeOf(events_.now()); }
    static TimePoint timeOf(Duration at) { return TimePoint(std::chrono::hours(1)) + at; }
    static const AdmissionRoute &routeOf(const Request &request);
    static TimePoint deadlineOf(const Request &request);
    AdmissionResult &resultOf(const Request &request);
    [[nodiscard]] WaitingRequest waitingRequest(const Request &request) const;
    [[nodiscard]] const AdmissionCaller &callerOf(const Request &request) const;
    void offer(Request request);
    Request takeWaiting(QueueTicket ticket);
    void refuse(Request request);
    [[nodiscard]] Duration retryDelay(const Request &request);
    void begin(const Request &request);
    void finish(const Request &request);
    void admit();
    void expire();
    void scheduleExpiry();

    const AdmissionPolicy &policy_;
    const std::vector<AdmissionArrival> &arrivals_;
    const AdmissionCaller patient_ {};
    const AdmissionCaller probe_;
    AdmissionResults &results_;
    AdmissionResults &probeResults_;
    std::unique_ptr<AdmissionOrder> perfectOrder_; ///< must outlive queue_
    std::unique_ptr<RequestQueue> queue_;
    std::array<WorkEstimate, kAdmissionRouteCount> work_;
    EventQueue events_;
    Random random_ { 1 };
    std::map<QueueTicket, Request> waiting_;
    std::uint32_t running_ = 0;
    QueueTicket lastTicket_ = 0;
};

} // namespace pimentostage
