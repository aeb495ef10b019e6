#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pimentostage {

/// Number of latency buckets of a version's outcomes. Each is wider than the previous one by the
/// factor sqrt(2); the first ends at 4 ms, the last holds all above 8.2 s. A slowdown by 2 then
/// moves a distribution by two buckets, and a report of one route stays below 250 bytes.
inline constexpr std::size_t kLatencyBuckets = 24;

/// @param latency time from sending the request to its whole answer.
/// @return the index of the bucket that counts @p latency.
std::size_t latencyBucket(Duration latency);

/// Requests of one version on one route since the roll-out began; cumulative, fixed size.
struct VersionOutcomes
{
    std::uint64_t answered_ = 0; ///< requests that ended, with or without failure
    std::uint64_t failed_ = 0; ///< of these, the failed ones
    std::array<std::uint32_t, kLatencyBuckets> latency_ {}; ///< the others, by latencyBucket()

    bool operator==(const VersionOutcomes &) const = default;

    /// Counts one request that ended.
    void record(bool isFailed, Duration latency);
    VersionOutcomes &operator+=(const VersionOutcomes &other);
    /// @return the requests counted here and not in @p earlier, an earlier state of these counts.
    [[nodiscard]] VersionOutcomes since(const VersionOutcomes &earlier) const;
    /// Raises each count to that of @p other, which makes the order of cumulative reports
    /// irrelevant.
    void raiseTo(const VersionOutcomes &other);
};

/// Outcomes of both versions on one route.
struct RouteOutcomes
{
    RouteName route_;
    VersionOutcomes current_; ///< the version in force
    VersionOutcomes target_; ///< the version that is rolled out

    bool operator==(const RouteOutcomes &) const = default;
};

} // namespace pimentostage
