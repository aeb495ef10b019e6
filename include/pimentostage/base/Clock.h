#pragma once

#include "pimentostage/base/Time.h"

#include <functional>

namespace pimentostage {

/// Returns the current time. Only for code that starts actions on its own; functions that decide
/// take the time as an argument.
using Clock = std::function<TimePoint()>;

/// Runs a function on the control thread after a delay.
using RunAfter = std::function<void(Duration, std::function<void()>)>;

} // namespace pimentostage
