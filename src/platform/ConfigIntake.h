#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ConfigState.h"

#include <vector>

namespace pimentostage {

/// Who told of an object.
enum class ObjectOrigin { Store, Sibling };

/// Offers @p objects to @p state and logs each that it took or rejected.
void applyObjects(const std::vector<StoredObject> &objects, ObjectOrigin origin, ConfigState &state,
                  LogSink &log);

} // namespace pimentostage
