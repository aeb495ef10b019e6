#pragma once

#include "pimentostage/base/Time.h"

namespace pimentostage {

/// How a fake store behaves.
struct StoreFaults
{
    bool down_ = false;
    bool losesAnswers_ = false; ///< writes take effect, their answers are lost
    Duration delay_ = std::chrono::milliseconds(2); ///< each way
};

} // namespace pimentostage
