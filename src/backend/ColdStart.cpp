#include "pimentostage/backend/ColdStart.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Maximum number of unused tokens: one request.
constexpr double kBurst = 1;

} // namespace

// A repeated announcement of the current cold start keeps its tokens.
void ColdStart::limit(double rate, double phase, TimePoint now)
{
    if (!isLimited(now)) {
        tokens_ = phase;
        updatedAt_ = now;
    }
    rate_ = rate;
}

void ColdStart::begin(TimePoint until, double rate, double phase, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    limit(rate, phase, now);
    until_ = until;
}

void ColdStart::presume(double rate, double phase, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    limit(rate, phase, now);
    isPresumed_ = true;
}

void ColdStart::endPresumption()
{
    const std::lock_guard lock(mutex_);
    isPresumed_ = false;
}

bool ColdStart::isCold(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return isLimited(now);
}

double ColdStart::tokens(TimePoint now) const
{
    return std::min(kBurst, tokens_ + rate_ * toSeconds(now - updatedAt_));
}

bool ColdStart::hasCapacity(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return !isLimited(now) || tokens(now) >= 1;
}

bool ColdStart::tryAcquire(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (!isLimited(now))
        return true;
    const double left = tokens(now);
    if (left < 1)
        return false;
    tokens_ = left - 1;
    updatedAt_ = now;
    return true;
}

} // namespace pimentostage
