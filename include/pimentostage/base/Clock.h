#pragma once

#include "pimentostage/base/Time.h"

#include <functional>

namespace pimentostage {

/// Tells the present time to parts that act at moments of their own. What decides takes the time
/// as an argument instead.
using Clock = std::function<TimePoint()>;

/// Runs a function on the control thread after a delay.
using RunAfter = std::function<void(Duration, std::function<void()>)>;

} // namespace pimentostage
