#include "pimentostage/backend/LatencyQuantile.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Relative size of the step for each sample.
constexpr double kStep = 0.02;
constexpr double kMinSeconds = 1e-6;

} // namespace

void LatencyQuantile::record(Duration latency)
{
    const double sample = std::max(kMinSeconds, toSeconds(latency));
    if (samples_.fetch_add(1, std::memory_order_relaxed) == 0) {
        seconds_.store(sample, std::memory_order_relaxed);
        return;
    }
    double current = seconds_.load(std::memory_order_relaxed);
    double next = 0;
    do {
        const double direction = sample > current ? quantile_ : quantile_ - 1;
        next = std::max(kMinSeconds, current * (1 + kStep * direction));
    } while (!seconds_.compare_exchange_weak(current, next, std::memory_order_relaxed));
}

Duration LatencyQuantile::value() const
{
    if (samples_.load(std::memory_order_relaxed) < kMinSamples)
        return Duration::zero();
    return fromSeconds(seconds_.load(std::memory_order_relaxed));
}

} // namespace pimentostage
