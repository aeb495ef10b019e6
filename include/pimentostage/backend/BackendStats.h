#pragma once

#include "pimentostage/backend/ColdStart.h"
#include "pimentostage/backend/ConcurrencyLimit.h"
#include "pimentostage/backend/RoomEstimate.h"
#include "pimentostage/backend/Warmup.h"
#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>

namespace pimentostage {

/// Load that a back end reports about itself.
struct LoadReport
{
    std::uint32_t running_ = 0; ///< requests being executed, from all hosts
    std::uint32_t waiting_ = 0; ///< requests queued at the back end
    double pace_ = 1; ///< current processing time relative to the usual one
};

/// Observations of one back end by this host. Written by traffic threads, read by all threads.
class BackendStats
{
public:
    /// Counts a request as in flight.
    /// @return the number of requests in flight from this host, including this one.
    std::uint32_t begin() { return inFlight_.fetch_add(1, std::memory_order_relaxed) + 1; }
    /// Counts a request as no longer in flight.
    void end() { inFlight_.fetch_sub(1, std::memory_order_relaxed); }
    /// Counts a request as in flight if fewer than @p limit are.
    /// @return whether it was counted.
    bool tryBegin(std::uint32_t limit);

    /// Records an answer that arrived after @p latency.
    void onAnswer(Duration latency, TimePoint now);
    /// Records a failure attributed to the back end; consecutive failures eject it.
    void onFailure(TimePoint now);
    /// Records that the back end closed a connection because it has no room. This counts in
    /// failureShare() and does not eject the back end: it runs, and has room again soon.
    void onFull(TimePoint now);
    void onLoadReport(const LoadReport &report, TimePoint now);

    [[nodiscard]] std::uint32_t inFlight() const
    {
        return inFlight_.load(std::memory_order_relaxed);
    }
    /// @return the moving average of the latency; zero before the first answer.
    [[nodiscard]] Duration latency() const
    {
        return Duration(latency_.load(std::memory_order_relaxed));
    }
    /// @return the number of failures since the last answer.
    [[nodiscard]] std::uint32_t consecutiveFailures() const
    {
        return consecutiveFailures_.load(std::memory_order_relaxed);
    }
    /// @return the time at which the back end's ejection ends.
    [[nodiscard]] TimePoint ejectedUntil() const
    {
        return TimePoint(Duration(ejectedUntil_.load(std::memory_order_relaxed)));
    }
    [[nodiscard]] bool isEjected(TimePoint now) const { return now < ejectedUntil(); }

    /// @return the state of its warm-up, which one host performs for all.
    [[nodiscard]] Warmup &warmup() { return warmup_; }
    [[nodiscard]] const Warmup &warmup() const { return warmup_; }

    /// @return the cold start state, for services that state its duration and request rate.
    [[nodiscard]] ColdStart &coldStart() { return coldStart_; }
    [[nodiscard]] const ColdStart &coldStart() const { return coldStart_; }

    /// @return the concurrency limit for this host, estimated from shed requests.
    [[nodiscard]] ConcurrencyLimit &concurrency() { return concurrency_; }
    [[nodiscard]] const ConcurrencyLimit &concurrency() const { return concurrency_; }

    /// @return the estimate of the room, for services whose back ends report their load.
    [[nodiscard]] RoomEstimate &room() { return room_; }
    [[nodiscard]] const RoomEstimate &room() const { return room_; }

    /// Records the process incarnation that an answer carries.
    /// @return whether it differs from the one recorded before, if any.
    bool onIncarnation(std::uint64_t incarnation);

    /// @return the cost of one more request: its expected time in seconds.
    [[nodiscard]] double cost(TimePoint now) const;

    /// @return the estimated processing time relative to the usual one. The last reported pace
    ///         decays towards the back end's mean pace, which is estimated from usualPace().
    [[nodiscard]] double pace(TimePoint now) const;
    /// @return the back end's own usual pace: the lowest reported one, which rises slowly while
    ///         the reports are higher. 1 before the first report.
    [[nodiscard]] double usualPace() const;
    /// @return whether the back end has neither answered this host nor reported its load.
    [[nodiscard]] bool isUntried() const;
    /// @return whether the back end has answered any host, or reported its load, within the last
    ///         5 s.
    [[nodiscard]] bool hasAnsweredLately(TimePoint now) const;
    /// @return the estimated number of requests that run or wait at the back end.
    [[nodiscard]] double load(TimePoint now) const;
    /// @return the decayed fraction of recent requests that failed, from 0 to 1.
    [[nodiscard]] double failureShare(TimePoint now) const;

private:
    [[nodiscard]] double reportedLoad(TimePoint now) const;
    void countOutcome(bool hasFailed, TimePoint now);

    std::atomic<std::uint32_t> inFlight_ { 0 };
    std::atomic<Duration::rep> latency_ { 0 };
    std::atomic<Duration::rep> answeredAt_ { 0 };
    std::atomic<std::uint32_t> consecutiveFailures_ { 0 };
    std::atomic<Duration::rep> ejectedUntil_ { 0 };
    std::atomic<std::uint32_t> reportedRequests_ { 0 };
    std::atomic<double> pace_ { 1 };
    std::atomic<double> usualPace_ { 0 }; ///< 0 before the first report
    std::atomic<double> failureShare_ { 0 };
    std::atomic<Duration::rep> outcomeAt_ { 0 };
    std::atomic<Duration::rep> reportedAt_ { 0 };
    std::atomic<std::uint64_t> incarnation_ { 0 };
    Warmup warmup_;
    ColdStart coldStart_;
    ConcurrencyLimit concurrency_;
    RoomEstimate room_;
};

} // namespace pimentostage
