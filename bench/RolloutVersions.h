#pragma once

// Versions and back ends that RolloutBench generates.

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"

#include <array>
#include <vector>

namespace pimentostage {

inline constexpr std::size_t kRoutes = 4;
inline constexpr TimePoint kOrderedAt { std::chrono::hours(1) };
/// Failure share of every version.
inline constexpr double kUsualFailures = 0.001;
/// Part of the back ends in a slow moment, how many times slower they are then, and how long.
inline constexpr double kSlowPart = 0.2;
inline constexpr double kSlowFactor = 3;
inline constexpr double kSlowSeconds = 1;
/// Time for which a back end fails all requests, where failures come in groups.
inline constexpr double kFailingSeconds = 0.3;

/// How a version differs from the version in force.
struct GeneratedVersion
{
    const char *name_;
    double failures_ = 0; ///< share of failed answers
    double slowdown_ = 1;
    std::size_t routes_ = kRoutes; ///< the fault is on the last ones of the routes, this many
    double fromShare_ = 0; ///< the fault appears above this share of the traffic
    Duration from_ {}; ///< the fault appears at this time after the order
    double slowSeconds_
        = kSlowSeconds; ///< mean length of a slow moment of a back end of any version
    bool isGrouped_ = false; ///< the usual failures come from back ends that fail for a moment
};

inline constexpr std::array kVersions {
    GeneratedVersion { "good" },
    GeneratedVersion { "good, slow moments of 4 s", 0, 1, kRoutes, 0, {}, 4 },
    GeneratedVersion { "good, failures in groups", 0, 1, kRoutes, 0, {}, kSlowSeconds, true },
    GeneratedVersion { "5 % failed", 0.05 },
    GeneratedVersion { "20 % failed", 0.2 },
    GeneratedVersion { "100 % failed", 1 },
    GeneratedVersion { "2 times slower", 0, 2 },
    GeneratedVersion { "4 times slower", 0, 4 },
    GeneratedVersion { "20 % failed on a route", 0.2, 1, 1 },
    GeneratedVersion { "100 % failed on a route", 1, 1, 1 },
    GeneratedVersion { "2 times slower on a route", 0, 2, 1 },
    GeneratedVersion { "20 % failed above half load", 0.2, 1, kRoutes, 0.5 },
    GeneratedVersion { "20 % failed after 5 s", 0.2, 1, kRoutes, 0, std::chrono::seconds(5) },
    GeneratedVersion { "100 % failed after 8 s", 1, 1, kRoutes, 0, std::chrono::seconds(8) },
    GeneratedVersion { "2 times slower after 4 s", 0, 2, kRoutes, 0, std::chrono::seconds(4) },
};

/// Moments of a back end that come and go.
class Moments
{
public:
    /// @param part of the time that the moments last, on average.
    /// @param seconds mean length of a moment.
    Moments(double part, double seconds, Random &random)
        : random_(random)
        , part_(part)
        , seconds_(seconds)
        , isOn_(random.unit() < part)
        , until_(kOrderedAt + length())
    { }

    bool isOn(TimePoint now)
    {
        while (until_ <= now) {
            isOn_ = !isOn_;
            until_ += length();
        }
        return isOn_;
    }

private:
    Duration length()
    {
        const double mean = isOn_ ? seconds_ : seconds_ * (1 - part_) / part_;
        return fromSeconds(std::exponential_distribution<double>(1 / mean)(random_.engine()));
    }

    Random &random_;
    double part_;
    double seconds_;
    bool isOn_;
    TimePoint until_;
};

/// A back end of any version.
class Backend
{
public:
    Backend(const GeneratedVersion &version, Random &random)
        : random_(random)
        , isGrouped_(version.isGrouped_)
        , speed_(0.5 + 1.1 * random.unit())
        , slow_(kSlowPart, version.slowSeconds_, random)
        , failing_(kUsualFailures, kFailingSeconds, random)
    { }

    /// @return the factor of the time that a request takes.
    double factor(TimePoint now) { return (slow_.isOn(now) ? kSlowFactor : 1) / speed_; }
    /// @return whether a request fails without a fault of the version.
    bool fails(TimePoint now)
    {
        return isGrouped_ ? failing_.isOn(now) : random_.unit() < kUsualFailures;
    }

private:
    Random &random_;
    bool isGrouped_;
    double speed_;
    Moments slow_;
    Moments failing_;
};

inline std::vector<Backend> makeBackends(const GeneratedVersion &version, std::size_t count,
                                         Random &random)
{
    std::vector<Backend> backends;
    backends.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        backends.emplace_back(version, random);
    return backends;
}

} // namespace pimentostage
