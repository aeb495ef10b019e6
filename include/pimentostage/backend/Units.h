#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/platform/Objects.h"

#include <string_view>

namespace pimentostage {

/// Maximum time for which an owner that takes no new work serves its units while they move. Units
/// without another owner after that time are no longer served.
inline constexpr Duration kHandoverTimeout = std::chrono::seconds(2);

/// @return the unit name of shard @p shard.
UnitName shardUnit(ShardId shard);
/// @return the unit name of the hot key @p key.
UnitName hotKeyUnit(std::string_view key);
/// @return the unit that @p key belongs to under @p placement.
UnitName unitOf(const Placement &placement, std::string_view key);

} // namespace pimentostage
