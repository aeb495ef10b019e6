#pragma once

#include "pimentostage/base/Time.h"

namespace pimentostage {

/// A host's clock in a test, with an offset and a rate error relative to simulated time.
class DriftingClock
{
public:
    /// @param offset reading of the clock at simulated time zero.
    /// @param partsPerMillion rate error; positive if the clock runs fast.
    DriftingClock(Duration offset, std::int64_t partsPerMillion)
        : offset_(offset)
        , partsPerMillion_(partsPerMillion)
    { }

    /// @param time simulated time since the start of the test.
    /// @return the reading of the clock at that time.
    [[nodiscard]] TimePoint at(Duration time) const
    {
        const std::int64_t kMillion = 1'000'000;
        return TimePoint(offset_ + time + Duration(time.count() / kMillion * partsPerMillion_));
    }

private:
    Duration offset_;
    std::int64_t partsPerMillion_;
};

} // namespace pimentostage
