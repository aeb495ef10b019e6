#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"

namespace pimentostage {

/// Exponential backoff with jitter between attempts at an operation.
///
/// Each delay is drawn from the upper half of its bound; the bound doubles up to a maximum.
class Backoff
{
public:
    /// @param initial upper bound of the first delay.
    /// @param max upper bound of any delay.
    Backoff(Duration initial, Duration max)
        : initial_(initial)
        , max_(max)
        , bound_(initial)
    { }

    /// @return the delay before the next attempt.
    Duration next(Random &random)
    {
        const double half = 0.5;
        const double fraction = half + half * random.unit();
        const auto delay = Duration(static_cast<Duration::rep>(bound_.count() * fraction));
        bound_ = std::min(2 * bound_, max_);
        return delay;
    }

    /// Returns to the initial delay; called after a success.
    void reset() { bound_ = initial_; }

private:
    Duration initial_;
    Duration max_;
    Duration bound_;
};

} // namespace pimentostage
