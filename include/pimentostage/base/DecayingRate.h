#pragma once

#include "pimentostage/base/Time.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

/// Rate of a stream of amounts; older amounts lose weight exponentially.
class DecayingRate
{
public:
    /// @param seconds time constant of the decay.
    explicit DecayingRate(double seconds)
        : seconds_(seconds)
    { }

    /// Counts @p amount at @p now.
    void add(double amount, TimePoint now)
    {
        rate_ = at(now) + amount / seconds_;
        updatedAt_ = std::max(updatedAt_, now);
    }

    /// @return the rate per second at @p now.
    [[nodiscard]] double at(TimePoint now) const
    {
        const double passed = std::max(0.0, toSeconds(now - updatedAt_));
        return rate_ * std::exp(-passed / seconds_);
    }

private:
    double seconds_;
    double rate_ = 0;
    TimePoint updatedAt_ {};
};

} // namespace pimentostage
