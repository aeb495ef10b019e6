#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/platform/Objects.h"

#include <string_view>

namespace pimentostage {

/// @return the name of the unit that is shard @p shard.
UnitName shardUnit(ShardId shard);
/// @return the name of the unit that is the hot key @p key.
UnitName hotKeyUnit(std::string_view key);
/// @return the unit that @p key belongs to under @p placement.
UnitName unitOf(const Placement &placement, std::string_view key);

} // namespace pimentostage
