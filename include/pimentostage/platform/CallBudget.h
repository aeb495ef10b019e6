#pragma once

#include "pimentostage/base/Time.h"

namespace pimentostage {

/// Token bucket that limits the rate of this host's calls to the platform's store.
class CallBudget
{
public:
    /// @param rate calls per second.
    /// @param burst maximum number of calls in a burst.
    CallBudget(double rate, double burst)
        : rate_(rate)
        , burst_(burst)
        , tokens_(burst)
    { }

    /// Takes one token if the bucket holds one.
    /// @return whether the call may be made at @p now.
    bool tryAcquire(TimePoint now);

private:
    double rate_;
    double burst_;
    double tokens_;
    TimePoint refilledAt_ {};
};

} // namespace pimentostage
