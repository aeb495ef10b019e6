#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/platform/Objects.h"

#include <string_view>

namespace pimentostage {

/// An owner that takes no new work keeps serving for this long while its units move. If they have
/// nowhere to go they are not served after it.
inline constexpr Duration kHandoverTime = std::chrono::seconds(2);

/// @return the name of the unit that is shard @p shard.
UnitName shardUnit(ShardId shard);
/// @return the name of the unit that is the hot key @p key.
UnitName hotKeyUnit(std::string_view key);
/// @return the unit that @p key belongs to under @p placement.
UnitName unitOf(const Placement &placement, std::string_view key);

} // namespace pimentostage
