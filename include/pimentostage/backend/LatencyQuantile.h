#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>

namespace pimentostage {

/// Running estimate of a high quantile of a stream of latencies.
///
/// Moves by a small step up or down with each sample so that the share of samples above the
/// estimate tends to 1 - quantile. Written from several threads.
class LatencyQuantile
{
public:
    /// @param quantile between 0 and 1.
    explicit LatencyQuantile(double quantile)
        : quantile_(quantile)
    { }

    /// Takes one sample.
    void record(Duration latency);
    /// @return the estimate; zero before kFewestSamples samples.
    [[nodiscard]] Duration value() const;

    static constexpr std::uint64_t kFewestSamples = 100;

private:
    const double quantile_;
    std::atomic<double> seconds_ { 0 };
    std::atomic<std::uint64_t> samples_ { 0 };
};

} // namespace pimentostage
