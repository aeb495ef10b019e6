#pragma once

#include <chrono>
#include <cstdint>

namespace pimentostage {

using Duration = std::chrono::nanoseconds;

/// Monotonic clock that also advances while the process is stopped or the machine is suspended.
///
/// Only daemons, tools and tests read it; functions that decide take the current time as an
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

/// A point in time on this host's monotonic clock; never compared between hosts.
using TimePoint = BootClock::time_point;

/// Upper bound of the difference between the rates of two hosts' clocks.
class ClockDrift
{
public:
    /// @param partsPerMillion maximum difference in rate between two clocks.
    explicit constexpr ClockDrift(std::int64_t partsPerMillion)
        : partsPerMillion_(partsPerMillion)
    { }

    /// @return the time on this host's clock after which @p duration has certainly passed on any
    ///         other host's clock.
    [[nodiscard]] constexpr Duration stretched(Duration duration) const
    {
        return duration + margin(duration);
    }

    /// @return the time on this host's clock after which @p duration has certainly not yet passed
    ///         on any other host's clock.
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

/// Maximum clock drift assumed between any two hosts of a fleet.
inline constexpr ClockDrift kClockDrift(1000);

/// @return @p duration in whole milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// @return @p duration in seconds, with its fraction.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @return the duration of @p seconds, which may have a fraction.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace pimentostage
