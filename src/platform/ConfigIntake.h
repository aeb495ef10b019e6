#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ConfigState.h"

#include <vector>

namespace pimentostage {

/// Offers @p objects to @p state, from wherever they came, and logs each that it took or rejected.
void applyObjects(const std::vector<StoredObject> &objects, ConfigState &state, LogSink &log);

} // namespace pimentostage
