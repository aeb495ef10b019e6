#include "pimentostage/backend/ColdStart.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Maximum number of unused tokens: one request.
constexpr double kBurst = 1;

} // namespace

void ColdStart::begin(TimePoint until, double rate, double phase, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    // A repeated announcement of the current cold start keeps its tokens.
    const bool isNew = now >= until_;
    if (isNew) {
        tokens_ = phase;
        updatedAt_ = now;
    }
    until_ = until;
    rate_ = rate;
}

bool ColdStart::isCold(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return now < until_;
}

double ColdStart::tokens(TimePoint now) const
{
    return std::min(kBurst, tokens_ + rate_ * toSeconds(now - updatedAt_));
}

bool ColdStart::hasCapacity(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return now >= until_ || tokens(now) >= 1;
}

bool ColdStart::tryAcquire(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (now >= until_)
        return true;
    const double left = tokens(now);
    if (left < 1)
        return false;
    tokens_ = left - 1;
    updatedAt_ = now;
    return true;
}

} // namespace pimentostage
