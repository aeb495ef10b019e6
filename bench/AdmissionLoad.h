#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace pimentostage {

/// Requests that the service behind the queue runs at the same time.
inline constexpr std::uint32_t kAdmissionSlots = 12;

/// A route of the benchmark's service, with what an answer is worth to its callers.
struct AdmissionRoute
{
    const char *name_;
    std::uint32_t priority_; ///< 0 is the most urgent
    double share_; ///< fraction of the work that is requested, without a surge
    Duration meanWork_;
    Duration objective_; ///< an answer within this time is in time
    Duration deadline_; ///< an answer after this time is worth nothing
    double value_; ///< of an answer in time
    double lateValue_; ///< of an answer between objective and deadline
};

/// Objectives, deadlines and values in the ranges of docs/HARD-LOAD.md, section 3.
inline constexpr AdmissionRoute kAdmissionRoutes[] = {
    { "order", 1, 0.25, std::chrono::milliseconds(120), std::chrono::milliseconds(1500),
      std::chrono::seconds(10), 2, 1 },
    { "read", 2, 0.45, std::chrono::milliseconds(40), std::chrono::milliseconds(1000),
      std::chrono::seconds(6), 1, 0.5 },
    { "report", 2, 0.30, std::chrono::milliseconds(250), std::chrono::milliseconds(1500),
      std::chrono::seconds(8), 1, 0.5 },
};
inline constexpr std::size_t kAdmissionRouteCount = std::size(kAdmissionRoutes);

/// An overload between two calm times.
struct AdmissionScenario
{
    const char *name_;
    double load_; ///< requested work during the overload, relative to the capacity
    Duration overload_; ///< length of the overload
    std::optional<std::size_t> surging_ {}; ///< the route that causes it; all if empty
    bool isAlone_ = false; ///< only the surging route has requests
};

inline constexpr std::size_t kOrderRoute = 0;
inline constexpr std::size_t kReadRoute = 1;

inline constexpr AdmissionScenario kAdmissionScenarios[] = {
    { "1.2, 2 s", 1.2, std::chrono::seconds(2) },
    { "2, 2 s", 2, std::chrono::seconds(2) },
    { "4, 2 s", 4, std::chrono::seconds(2) },
    { "1.2, 30 s", 1.2, std::chrono::seconds(30) },
    { "2, 30 s", 2, std::chrono::seconds(30) },
    { "4, 30 s", 4, std::chrono::seconds(30) },
    { "2, 30 s, only read", 2, std::chrono::seconds(30), kReadRoute, true },
    { "2 by order, 30 s", 2, std::chrono::seconds(30), kOrderRoute },
    { "2 by read, 30 s", 2, std::chrono::seconds(30), kReadRoute },
};

/// One generated request.
struct AdmissionArrival
{
    Duration at_ {};
    std::size_t route_ = 0;
    Duration work_ {}; ///< the time that it runs, from kMinWork to kMaxWork
};

inline constexpr Duration kMinWork = std::chrono::milliseconds(5);
inline constexpr Duration kMaxWork = std::chrono::milliseconds(500);
/// Calm time before and after the overload.
inline constexpr Duration kCalmTime = std::chrono::seconds(2);
inline constexpr double kCalmLoad = 0.7;

/// @return the requests of @p scenario in order of arrival.
std::vector<AdmissionArrival> admissionArrivals(const AdmissionScenario &scenario,
                                                std::uint64_t seed);

/// @return an upper bound of the value that a schedule with perfect knowledge of @p arrivals can
///         earn, as a fraction of the value of all. It ignores when requests arrive.
double admissionBound(const std::vector<AdmissionArrival> &arrivals);

} // namespace pimentostage
