#pragma once

#include "pimentostage/platform/Objects.h"
#include "src/platform/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace pimentostage {

/// Reads the limits of a catalogue; errors are added to @p reader.
CallerLimits readCallerLimits(ObjectReader reader);

/// @return what readCallerLimits() reads as @p limits.
nlohmann::json toJson(const CallerLimits &limits);

} // namespace pimentostage
