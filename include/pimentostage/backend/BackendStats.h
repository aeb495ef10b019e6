#pragma once

#include "pimentostage/backend/ColdStart.h"
#include "pimentostage/backend/ConcurrencyLimit.h"
#include "pimentostage/backend/Warmup.h"
#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>

namespace pimentostage {

/// What a back end says of its load.
struct LoadReport
{
    std::uint32_t running_ = 0; ///< requests that it runs for all hosts
    std::uint32_t waiting_ = 0; ///< requests that wait in it
    double pace_ = 1; ///< how long work takes now, against its usual time
};

/// What this host has observed of one back end. Written by traffic threads, read by all.
class BackendStats
{
public:
    /// Counts a request sent. @return the number in flight from this host, this one included.
    std::uint32_t begin() { return inFlight_.fetch_add(1, std::memory_order_relaxed) + 1; }
    /// Counts a request as no longer in flight.
    void end() { inFlight_.fetch_sub(1, std::memory_order_relaxed); }
    /// Counts a request only if fewer than @p limit are in flight.
    bool tryBegin(std::uint32_t limit);

    /// Records an answer that took @p latency.
    void onAnswer(Duration latency, TimePoint now);
    /// Records a failure that counts against the back end.
    void onFailure(TimePoint now);
    /// Records a load report.
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
    /// @return failures since the last answer.
    [[nodiscard]] std::uint32_t failuresInRow() const
    {
        return failuresInRow_.load(std::memory_order_relaxed);
    }
    /// @return the moment up to which the back end is ejected.
    [[nodiscard]] TimePoint ejectedUntil() const
    {
        return TimePoint(Duration(ejectedUntil_.load(std::memory_order_relaxed)));
    }
    [[nodiscard]] bool isEjected(TimePoint now) const { return now < ejectedUntil(); }

    /// @return the state of its cold start.
    [[nodiscard]] Warmup &warmup() { return warmup_; }
    [[nodiscard]] const Warmup &warmup() const { return warmup_; }

    /// @return its cold start, for services that state how long it lasts and what it bears.
    [[nodiscard]] ColdStart &coldStart() { return coldStart_; }
    [[nodiscard]] const ColdStart &coldStart() const { return coldStart_; }

    /// @return what it bears from this host, as learned from sheds.
    [[nodiscard]] ConcurrencyLimit &concurrency() { return concurrency_; }
    [[nodiscard]] const ConcurrencyLimit &concurrency() const { return concurrency_; }

    /// Notes the incarnation that an answer carries. @return whether the process is a new one.
    bool onIncarnation(std::uint64_t incarnation);

    /// @return the cost of one more request here: expected wait in seconds.
    [[nodiscard]] double cost(TimePoint now) const;

    /// @return how long work takes here, against what is usual, as far as reports tell: the pace of
    ///         a moment ago fades into the back end's own usual pace.
    [[nodiscard]] double pace(TimePoint now) const;
    /// @return the back end's own usual pace; 1 before the first report.
    [[nodiscard]] double usualPace() const;
    /// @return whether it has never answered this host, nor reported its load.
    [[nodiscard]] bool isUntried() const;
    /// @return requests that run or wait there, as far as this host can tell.
    [[nodiscard]] double load(TimePoint now) const;
    /// @return the part of its requests that failed lately, from 0 to 1.
    [[nodiscard]] double failureShare(TimePoint now) const;

private:
    [[nodiscard]] double reportedLoad(TimePoint now) const;
    void countOutcome(bool hasFailed, TimePoint now);

    std::atomic<std::uint32_t> inFlight_ { 0 };
    std::atomic<Duration::rep> latency_ { 0 };
    std::atomic<Duration::rep> answeredAt_ { 0 };
    std::atomic<std::uint32_t> failuresInRow_ { 0 };
    std::atomic<Duration::rep> ejectedUntil_ { 0 };
    std::atomic<std::uint32_t> reported_ { 0 };
    std::atomic<double> pace_ { 1 };
    std::atomic<double> usualPace_ { 0 }; ///< 0 before the first report
    std::atomic<double> failureShare_ { 0 };
    std::atomic<Duration::rep> outcomeAt_ { 0 };
    std::atomic<Duration::rep> reportedAt_ { 0 };
    std::atomic<std::uint64_t> incarnation_ { 0 };
    Warmup warmup_;
    ColdStart coldStart_;
    ConcurrencyLimit concurrency_;
};

} // namespace pimentostage
