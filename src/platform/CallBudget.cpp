#include "pimentostage/platform/CallBudget.h"

#include <algorithm>

namespace pimentostage {

bool CallBudget::tryAcquire(TimePoint now)
{
    if (now > refilledAt_) {
        tokens_ = std::min(burst_, tokens_ + rate_ * toSeconds(now - refilledAt_));
        refilledAt_ = now;
    }
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace pimentostage
