#include "pimentostage/backend/BackendStats.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// Weight of a new latency sample in the moving average.
constexpr double kLatencyWeight = 0.2;
constexpr std::uint32_t kFailuresBeforeEjection = 3;
constexpr Duration kInitialEjection = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxEjectionDoublings = 5;
// The weight of a load report falls linearly to zero over this time.
constexpr Duration kReportLifetime = std::chrono::seconds(1);
// Time constant with which the latency estimate decays while no answers arrive.
constexpr Duration kLatencyTimeConstant = std::chrono::seconds(2);
// Time constant with which a reported pace decays; back ends change pace several times a second.
constexpr Duration kPaceTimeConstant = std::chrono::milliseconds(350);
// Weight of a slower reported pace in the usual pace; a faster one replaces it at once.
constexpr double kUsualPaceWeight = 0.005;
// Mean ratio of the pace to its usual value, assumed when there is no recent report.
constexpr double kMeanSlowdown = 1.3;
// Weight of one outcome in the failure share, and the time constant with which the share decays.
constexpr double kOutcomeWeight = 0.15;
constexpr Duration kOutcomeTimeConstant = std::chrono::seconds(3);
// A back end that answered within this time and closes a connection is full rather than broken: it
// is several times the longest usual answer, and as long as the shortest deadlines.
constexpr Duration kLatelyAnswered = std::chrono::seconds(5);
// Latency in seconds assumed before the first answer.
constexpr double kDefaultLatency = 0.001;

} // namespace

bool BackendStats::tryBegin(std::uint32_t limit)
{
    std::uint32_t current = inFlight_.load(std::memory_order_relaxed);
    do {
        if (current >= limit)
            return false;
    } while (!inFlight_.compare_exchange_weak(current, current + 1, std::memory_order_relaxed));
    return true;
}

void BackendStats::onAnswer(Duration latency, TimePoint now)
{
    consecutiveFailures_.store(0, std::memory_order_relaxed);
    countOutcome(false, now);
    answeredAt_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    if (isEjected(now))
        ejectedUntil_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    const auto sample = static_cast<double>(latency.count());
    Duration::rep current = latency_.load(std::memory_order_relaxed);
    Duration::rep next = 0;
    do {
        const auto average = static_cast<double>(current);
        next = current == 0
                   ? latency.count()
                   : static_cast<Duration::rep>(average + kLatencyWeight * (sample - average));
    } while (!latency_.compare_exchange_weak(current, next, std::memory_order_relaxed));
}

void BackendStats::onFailure(TimePoint now)
{
    countOutcome(true, now);
    const std::uint32_t failures = consecutiveFailures_.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failures < kFailuresBeforeEjection)
        return;
    const std::uint32_t doublings
        = std::min(failures - kFailuresBeforeEjection, kMaxEjectionDoublings);
    const TimePoint until = now + kInitialEjection * (1U << doublings);
    ejectedUntil_.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

void BackendStats::onFull(TimePoint now)
{
    countOutcome(true, now);
    room_.onFull(now);
}

void BackendStats::onLoadReport(const LoadReport &report, TimePoint now)
{
    reportedRequests_.store(report.running_ + report.waiting_, std::memory_order_relaxed);
    pace_.store(report.pace_, std::memory_order_relaxed);
    const double usual = usualPace_.load(std::memory_order_relaxed);
    const bool isFaster = usual == 0 || report.pace_ < usual;
    usualPace_.store(isFaster ? report.pace_ : usual + kUsualPaceWeight * (report.pace_ - usual),
                     std::memory_order_relaxed);
    reportedAt_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    room_.onObservation({ report.running_, report.waiting_, report.pace_, false, now });
}

bool BackendStats::onIncarnation(std::uint64_t incarnation)
{
    const std::uint64_t previous = incarnation_.exchange(incarnation, std::memory_order_relaxed);
    return previous != 0 && previous != incarnation;
}

double BackendStats::usualPace() const
{
    const double usual = usualPace_.load(std::memory_order_relaxed);
    return usual == 0 ? 1 : usual;
}

bool BackendStats::isUntried() const
{
    return answeredAt_.load(std::memory_order_relaxed) == 0
           && reportedAt_.load(std::memory_order_relaxed) == 0;
}

bool BackendStats::hasAnsweredLately(TimePoint now) const
{
    const TimePoint answered { Duration(answeredAt_.load(std::memory_order_relaxed)) };
    const TimePoint last = std::max(answered, room_.answeredAt());
    return last != TimePoint {} && now - last < kLatelyAnswered;
}

double BackendStats::pace(TimePoint now) const
{
    const double usual = usualPace();
    const TimePoint at { Duration(reportedAt_.load(std::memory_order_relaxed)) };
    const double weight = std::exp(-toSeconds(now - at) / toSeconds(kPaceTimeConstant));
    const double slowed = usual * kMeanSlowdown;
    return slowed + weight * (pace_.load(std::memory_order_relaxed) - slowed);
}

double BackendStats::load(TimePoint now) const
{
    return std::max(static_cast<double>(inFlight()), reportedLoad(now));
}

void BackendStats::countOutcome(bool hasFailed, TimePoint now)
{
    const double next
        = failureShare(now) + kOutcomeWeight * ((hasFailed ? 1.0 : 0.0) - failureShare(now));
    failureShare_.store(next, std::memory_order_relaxed);
    outcomeAt_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

double BackendStats::failureShare(TimePoint now) const
{
    const TimePoint at { Duration(outcomeAt_.load(std::memory_order_relaxed)) };
    return failureShare_.load(std::memory_order_relaxed)
           * std::exp(-toSeconds(now - at) / toSeconds(kOutcomeTimeConstant));
}

double BackendStats::reportedLoad(TimePoint now) const
{
    const TimePoint at { Duration(reportedAt_.load(std::memory_order_relaxed)) };
    const Duration age = now - at;
    if (age >= kReportLifetime)
        return 0;
    const double weight = 1 - toSeconds(age) / toSeconds(kReportLifetime);
    return weight * reportedRequests_.load(std::memory_order_relaxed);
}

double BackendStats::cost(TimePoint now) const
{
    const Duration::rep nanoseconds = latency_.load(std::memory_order_relaxed);
    double latency = nanoseconds == 0 ? kDefaultLatency : toSeconds(Duration(nanoseconds));
    // The estimate decays with age so that a formerly slow back end is tried again.
    const Duration age
        = now.time_since_epoch() - Duration(answeredAt_.load(std::memory_order_relaxed));
    latency *= std::exp(-toSeconds(age) / toSeconds(kLatencyTimeConstant));
    return latency * (load(now) + 1);
}

} // namespace pimentostage
