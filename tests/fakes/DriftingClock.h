#pragma once

#include "pimentostage/base/Time.h"

namespace pimentostage {

/// A host's clock in a test: any offset, and a rate that differs a little from the true one.
class DriftingClock
{
public:
    /// @param offset what the clock shows at the true time zero.
    /// @param partsPerMillion how much faster it runs than true time.
    DriftingClock(Duration offset, std::int64_t partsPerMillion)
        : offset_(offset)
        , partsPerMillion_(partsPerMillion)
    { }

    /// @param time true time since the test's start.
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
