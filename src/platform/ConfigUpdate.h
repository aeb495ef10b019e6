#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ConfigState.h"

#include <vector>

namespace pimentostage {

/// Source of a received object.
enum class ObjectOrigin { Store, Sibling };

/// Applies @p objects to @p state and logs each object that was applied or rejected.
void applyObjects(const std::vector<StoredObject> &objects, ObjectOrigin origin, ConfigState &state,
                  LogSink &log);

} // namespace pimentostage
