#pragma once

#include <chrono>
#include <cstdint>

namespace pimentostage {

using Duration = std::chrono::nanoseconds;

/// Monotonic clock that keeps counting while the process is stopped or the machine sleeps.
///
/// Only daemons, tools and tests read it; every deciding function takes the present time as an
/// argument.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /// @return the time since boot, in nanoseconds (CLOCK_BOOTTIME).
    static time_point now() noexcept;
};

/// A moment on this host's monotonic clock. Never compared between hosts.
using TimePoint = BootClock::time_point;

/// The bound on how much faster or slower one host's clock runs than another's.
class ClockDrift
{
public:
    /// @param partsPerMillion the largest difference in rate between two clocks.
    explicit constexpr ClockDrift(std::int64_t partsPerMillion)
        : partsPerMillion_(partsPerMillion)
    { }

    /// @return how long to wait so that @p duration has passed on any other host's clock.
    [[nodiscard]] constexpr Duration stretched(Duration duration) const
    {
        return duration + margin(duration);
    }

    /// @return how long @p duration may be relied on when another host counts its end.
    [[nodiscard]] constexpr Duration shrunk(Duration duration) const
    {
        return duration - margin(duration);
    }

private:
    [[nodiscard]] constexpr Duration margin(Duration duration) const
    {
        return Duration(duration.count() / kMillion * partsPerMillion_ + partsPerMillion_);
    }

    static constexpr std::int64_t kMillion = 1'000'000;
    std::int64_t partsPerMillion_;
};

/// Drift assumed between any two hosts of a fleet.
inline constexpr ClockDrift kClockDrift(1000);

/// @return @p duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @return @p duration in seconds, with fraction.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @param seconds a length of time in seconds, with fraction.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace pimentostage
