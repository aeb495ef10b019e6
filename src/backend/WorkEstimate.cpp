#include "pimentostage/backend/WorkEstimate.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Weight of a new answer, once there are 1 / kMinWeight.
constexpr double kMinWeight = 0.05;

} // namespace

void WorkEstimate::record(Duration elapsed, const std::optional<LoadReport> &load,
                          std::uint32_t slots)
{
    // Each full set of slots that waited ahead took about as long as the request itself.
    const double rounds = load ? static_cast<double>(load->waiting_) / std::max(1U, slots) : 0.0;
    const double sample = toSeconds(elapsed) / (1 + rounds);
    ++samples_;
    const double weight = std::max(kMinWeight, 1 / static_cast<double>(samples_));
    seconds_ += weight * (sample - seconds_);
}

Duration WorkEstimate::value() const
{
    return samples_ < kMinSamples ? Duration::zero() : fromSeconds(seconds_);
}

} // namespace pimentostage
