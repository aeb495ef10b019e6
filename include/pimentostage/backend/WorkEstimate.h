#pragma once

#include "pimentostage/backend/BackendStats.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <optional>

namespace pimentostage {

/// Moving average of the processing time of one route's requests, from their answers.
///
/// A mean, because the work ahead in a queue is a sum. LatencyQuantile gives no value before 100
/// samples, which a route with two requests in a second has after 50 s.
class WorkEstimate
{
public:
    /// Records an answer.
    /// @param elapsed time from sending the request to its whole answer.
    /// @param load load that the back end reported with the answer. The time in its queue is not
    ///        counted as work if it did.
    /// @param slots number of requests that the back end runs at the same time.
    void record(Duration elapsed, const std::optional<LoadReport> &load, std::uint32_t slots);

    /// @return the estimate; zero until kMinSamples answers were recorded.
    [[nodiscard]] Duration value() const;

    static constexpr std::uint64_t kMinSamples = 3;

private:
    double seconds_ = 0;
    std::uint64_t samples_ = 0;
};

} // namespace pimentostage
