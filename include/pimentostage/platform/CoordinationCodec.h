#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/platform/Objects.h"

#include <string>

namespace pimentostage {

/// Codecs of the objects that record role holders, the owners of keys and the state of roll-outs.

/// Each parse function reads the JSON value of one object.
/// @return the object, or an Error of step ParseObject that lists all errors.
leaf::result<RoleRecord> parseRoleRecord(const std::string &name, const std::string &value);
leaf::result<Placement> parsePlacement(const std::string &name, const std::string &value);
leaf::result<RangePlacement> parseRangePlacement(const std::string &name, const std::string &value);
leaf::result<RolloutState> parseRolloutState(const std::string &name, const std::string &value);

/// Each format function writes the JSON value that the matching parse function reads.
std::string formatRoleRecord(const RoleRecord &record);
std::string formatPlacement(const Placement &placement);
std::string formatRangePlacement(const RangePlacement &placement);
std::string formatRolloutState(const RolloutState &state);

} // namespace pimentostage
