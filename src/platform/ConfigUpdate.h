#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/platform/ConfigState.h"

#include <vector>

namespace pimentostage {

/// Source of a received object.
enum class ObjectOrigin { Store, Sibling };

/// Applies @p objects to @p state and logs each object that was applied, and each rejected
/// version once.
void applyObjects(const std::vector<StoredObject> &objects, ObjectOrigin origin, ConfigState &state,
                  LogSink &log);

/// Updates the metrics of the versions that @p state rejected.
void updateRejectionMetrics(const ConfigState &state, MetricRegistry &metrics);

} // namespace pimentostage
