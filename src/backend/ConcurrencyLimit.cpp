#include "pimentostage/backend/ConcurrencyLimit.h"

#include <algorithm>

namespace pimentostage {

namespace {

// The limit is lowered at most once per period, so that a burst of shed requests counts once.
constexpr double kDecreaseFactor = 0.9;
constexpr Duration kDecreasePeriod = std::chrono::milliseconds(50);
// The limit rises by this fraction of a request per N answers, where N is the limit.
constexpr double kIncrease = 0.25;
constexpr double kMaxLimit = 1000;

} // namespace

std::uint32_t ConcurrencyLimit::limit(std::uint32_t maxLimit) const
{
    const double learned = limit_.load(std::memory_order_relaxed);
    if (learned == 0)
        return maxLimit;
    const std::uint32_t temporary = temporaryLimit_.load(std::memory_order_relaxed);
    const auto limit = std::min(maxLimit, static_cast<std::uint32_t>(learned));
    return temporary == 0 ? limit : std::min(limit, temporary);
}

void ConcurrencyLimit::onShed(std::uint32_t inFlight, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const double learned = limit_.load(std::memory_order_relaxed);
    // Until the next answer the limit is the number of requests that were not shed.
    temporaryLimit_.store(inFlight > 2 ? inFlight - 1 : 1, std::memory_order_relaxed);
    if (now < decreasedAt_ + kDecreasePeriod)
        return;
    decreasedAt_ = now;
    const double current = learned == 0 ? inFlight : learned;
    limit_.store(std::max(1.0, kDecreaseFactor * current), std::memory_order_relaxed);
}

void ConcurrencyLimit::onAnswer(std::uint32_t inFlight)
{
    temporaryLimit_.store(0, std::memory_order_relaxed);
    const double learned = limit_.load(std::memory_order_relaxed);
    const bool isReached = learned > 0 && inFlight + 1 > learned;
    if (!isReached)
        return;
    const std::lock_guard lock(mutex_);
    const double current = limit_.load(std::memory_order_relaxed);
    limit_.store(std::min(kMaxLimit, current + kIncrease / current), std::memory_order_relaxed);
}

} // namespace pimentostage
