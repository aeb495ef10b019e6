#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"

namespace pimentostage {

/// Exponential delay with full jitter between tries of one operation.
class Backoff
{
public:
    /// @param first upper bound of the first delay.
    /// @param most upper bound of any delay.
    Backoff(Duration first, Duration most)
        : first_(first)
        , most_(most)
        , bound_(first)
    { }

    /// @return how long to wait before the next try; later calls wait longer.
    Duration next(Random &random)
    {
        const double half = 0.5;
        const double fraction = half + half * random.unit();
        const auto delay = Duration(static_cast<Duration::rep>(bound_.count() * fraction));
        bound_ = std::min(2 * bound_, most_);
        return delay;
    }

    /// Starts again with the first delay, after a success.
    void reset() { bound_ = first_; }

private:
    Duration first_;
    Duration most_;
    Duration bound_;
};

} // namespace pimentostage
