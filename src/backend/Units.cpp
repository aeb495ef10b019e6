#include "pimentostage/backend/Units.h"

#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/base/Hash.h"

#include <algorithm>

namespace pimentostage {

UnitName shardUnit(ShardId shard)
{
    return UnitName("s" + std::to_string(shard.value_));
}

UnitName hotKeyUnit(std::string_view key)
{
    return UnitName("k" + std::to_string(hash64(key)));
}

UnitName unitOf(const Placement &placement, std::string_view key)
{
    const bool isHot = std::any_of(placement.hotKeys_.begin(), placement.hotKeys_.end(),
                                   [&](const HotKey &hotKey) { return hotKey.key_ == key; });
    return isHot ? hotKeyUnit(key) : shardUnit(shardOf(key, placement.shards_.size()));
}

} // namespace pimentostage
