#include "pimentostage/backend/AttemptBudget.h"

#include <algorithm>

namespace pimentostage {

void AttemptBudget::recordRequest()
{
    double tokens = tokens_.load(std::memory_order_relaxed);
    double next = 0;
    do {
        next = std::min(reserve_, tokens + share_);
    } while (!tokens_.compare_exchange_weak(tokens, next, std::memory_order_relaxed));
}

bool AttemptBudget::tryAcquire()
{
    double tokens = tokens_.load(std::memory_order_relaxed);
    do {
        if (tokens < 1)
            return false;
    } while (!tokens_.compare_exchange_weak(tokens, tokens - 1, std::memory_order_relaxed));
    return true;
}

} // namespace pimentostage
