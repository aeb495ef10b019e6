#include "pimentostage/backend/RolloutOutcomes.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

/// Upper bound of the first bucket.
constexpr double kFirstBucketMs = 4;
/// Buckets in which the bound doubles.
constexpr double kBucketsPerOctave = 2;

} // namespace

std::size_t latencyBucket(Duration latency)
{
    const double ratio = toSeconds(latency) * 1000 / kFirstBucketMs;
    if (ratio <= 1)
        return 0;
    const double index = std::ceil(std::log2(ratio) * kBucketsPerOctave);
    return std::min(kLatencyBuckets - 1, static_cast<std::size_t>(index));
}

void VersionOutcomes::record(bool isFailed, Duration latency)
{
    ++answered_;
    if (isFailed)
        ++failed_;
    else
        ++latency_[latencyBucket(latency)];
}

VersionOutcomes &VersionOutcomes::operator+=(const VersionOutcomes &other)
{
    answered_ += other.answered_;
    failed_ += other.failed_;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i)
        latency_[i] += other.latency_[i];
    return *this;
}

VersionOutcomes VersionOutcomes::since(const VersionOutcomes &earlier) const
{
    VersionOutcomes difference = *this;
    difference.answered_ -= earlier.answered_;
    difference.failed_ -= earlier.failed_;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i)
        difference.latency_[i] -= earlier.latency_[i];
    return difference;
}

void VersionOutcomes::raiseTo(const VersionOutcomes &other)
{
    answered_ = std::max(answered_, other.answered_);
    failed_ = std::max(failed_, other.failed_);
    for (std::size_t i = 0; i < kLatencyBuckets; ++i)
        latency_[i] = std::max(latency_[i], other.latency_[i]);
}

} // namespace pimentostage
