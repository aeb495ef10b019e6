#pragma once

#include "pimentostage/base/Time.h"

namespace pimentostage {

/// Faults that a fake store injects.
struct StoreFaults
{
    bool down_ = false;
    bool losesAnswers_ = false; ///< writes take effect, but their replies are lost
    Duration delay_ = std::chrono::milliseconds(2); ///< in each direction
};

} // namespace pimentostage
