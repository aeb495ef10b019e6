#include "pimentostage/backend/Warmup.h"

#include <algorithm>

namespace pimentostage {

bool Warmup::start(bool isWarmedHere, std::uint32_t slots, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (isCold())
        return false;
    slots_ = slots;
    isWarmedHere_ = isWarmedHere;
    startedAt_ = now;
    raiseAt_ = now + kRaisePeriod;
    limit_.store(isWarmedHere ? 1 : 0, std::memory_order_relaxed);
    cold_.store(true, std::memory_order_release);
    return true;
}

Warmup::Change Warmup::onAnswer(TimePoint now)
{
    if (!isCold())
        return Change::None;
    const std::lock_guard lock(mutex_);
    if (!isWarmedHere_ || now < raiseAt_)
        return Change::None;
    raiseAt_ = now + kRaisePeriod;
    const std::uint32_t next = limit() + 1;
    limit_.store(next, std::memory_order_relaxed);
    if (next <= slots_)
        return Change::None;
    finish();
    return Change::Warm;
}

void Warmup::onShed(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (!isWarmedHere_)
        return;
    limit_.store(std::max(1U, limit() / 2), std::memory_order_relaxed);
    raiseAt_ = now + 2 * kRaisePeriod;
}

void Warmup::expire(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (isCold() && now >= startedAt_ + kColdTimeout)
        finish();
}

} // namespace pimentostage
