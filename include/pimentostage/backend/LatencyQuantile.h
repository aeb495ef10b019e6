#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>

namespace pimentostage {

/// Running estimate of a high quantile of a stream of latencies.
///
/// Each sample moves the estimate by a small step up or down, so that the fraction of samples above
/// the estimate tends to 1 - quantile. Thread-safe.
class LatencyQuantile
{
public:
    /// @param quantile between 0 and 1.
    explicit LatencyQuantile(double quantile)
        : quantile_(quantile)
    { }

    void record(Duration latency);
    /// @return the estimate; zero until kMinSamples samples were recorded.
    [[nodiscard]] Duration value() const;

    static constexpr std::uint64_t kMinSamples = 100;

private:
    const double quantile_;
    std::atomic<double> seconds_ { 0 };
    std::atomic<std::uint64_t> samples_ { 0 };
};

} // namespace pimentostage
