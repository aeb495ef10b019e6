#pragma once

#include "pimentostage/base/Time.h"

namespace pimentostage {

/// Token bucket that bounds this host's calls to the platform's store.
class CallBudget
{
public:
    /// @param rate calls per second.
    /// @param burst calls at once.
    CallBudget(double rate, double burst)
        : rate_(rate)
        , burst_(burst)
        , tokens_(burst)
    { }

    /// @return whether a call may be made at @p now; if so it is counted.
    bool take(TimePoint now);

private:
    double rate_;
    double burst_;
    double tokens_;
    TimePoint refilledAt_ {};
};

} // namespace pimentostage
