#pragma once

#include "pimentostage/base/Time.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

/// Exponentially decaying average rate of a stream of amounts.
class DecayingRate
{
public:
    /// @param timeConstant time constant of the decay, in seconds.
    explicit DecayingRate(double timeConstant)
        : timeConstant_(timeConstant)
    { }

    /// Adds @p amount at time @p now.
    void add(double amount, TimePoint now)
    {
        rate_ = at(now) + amount / timeConstant_;
        updatedAt_ = std::max(updatedAt_, now);
    }

    /// @return the rate per second at time @p now.
    [[nodiscard]] double at(TimePoint now) const
    {
        const double elapsed = std::max(0.0, toSeconds(now - updatedAt_));
        return rate_ * std::exp(-elapsed / timeConstant_);
    }

private:
    double timeConstant_;
    double rate_ = 0;
    TimePoint updatedAt_ {};
};

} // namespace pimentostage
