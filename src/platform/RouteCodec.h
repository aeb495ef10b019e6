#pragma once

#include "pimentostage/platform/Objects.h"
#include "src/platform/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace pimentostage {

/// Reads a route of a service object or of a catalogue; errors are added to @p reader.
/// @param unstatedAccess access of a route that does not state it.
Route readRoute(ObjectReader reader, Access unstatedAccess);

/// @return what readRoute() reads as @p route.
nlohmann::json toJson(const Route &route);

} // namespace pimentostage
