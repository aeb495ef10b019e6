#include "pimentostage/backend/ShareBudget.h"

#include <algorithm>

namespace pimentostage {

void ShareBudget::recordRequest()
{
    double tokens = tokens_.load(std::memory_order_relaxed);
    double next = 0;
    do {
        next = std::min(reserve_, tokens + share_);
    } while (!tokens_.compare_exchange_weak(tokens, next, std::memory_order_relaxed));
}

bool ShareBudget::tryAcquire()
{
    double tokens = tokens_.load(std::memory_order_relaxed);
    do {
        if (tokens < 1)
            return false;
    } while (!tokens_.compare_exchange_weak(tokens, tokens - 1, std::memory_order_relaxed));
    return true;
}

} // namespace pimentostage
