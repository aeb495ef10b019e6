#include "pimentostage/backend/ConcurrencyLimit.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Sheds of one burst cut the limit once.
constexpr double kCut = 0.9;
constexpr Duration kCutPeriod = std::chrono::milliseconds(50);
// Part of a request by which as many answers as the limit raise it.
constexpr double kRaise = 0.25;
constexpr double kHighestLimit = 1000;

} // namespace

std::uint32_t ConcurrencyLimit::limit(std::uint32_t most) const
{
    const double learned = limit_.load(std::memory_order_relaxed);
    if (learned == 0)
        return most;
    const std::uint32_t held = held_.load(std::memory_order_relaxed);
    const auto limit = std::min(most, static_cast<std::uint32_t>(learned));
    return held == 0 ? limit : std::min(limit, held);
}

void ConcurrencyLimit::onShed(std::uint32_t inFlight, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const double learned = limit_.load(std::memory_order_relaxed);
    // Until the next answer it bears no more than what it has not shed.
    held_.store(inFlight > 2 ? inFlight - 1 : 1, std::memory_order_relaxed);
    if (now < cutAt_ + kCutPeriod)
        return;
    cutAt_ = now;
    const double present = learned == 0 ? inFlight : learned;
    limit_.store(std::max(1.0, kCut * present), std::memory_order_relaxed);
}

void ConcurrencyLimit::onAnswer(std::uint32_t inFlight)
{
    held_.store(0, std::memory_order_relaxed);
    const double learned = limit_.load(std::memory_order_relaxed);
    const bool isReached = learned > 0 && inFlight + 1 > learned;
    if (!isReached)
        return;
    const std::lock_guard lock(mutex_);
    const double present = limit_.load(std::memory_order_relaxed);
    limit_.store(std::min(kHighestLimit, present + kRaise / present), std::memory_order_relaxed);
}

} // namespace pimentostage
