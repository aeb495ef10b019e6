#include "pimentostage/platform/Configuration.h"

#include <algorithm>
#include <iterator>

namespace pimentostage {

bool Configuration::isZoneIn(const ZoneName &zone) const
{
    const auto found = zones_.find(zone);
    return found == zones_.end() || found->second.state_ == ZoneState::In;
}

const RangeOwner *RangePlacement::find(std::uint32_t key) const
{
    const auto after = std::upper_bound(
        ranges_.begin(), ranges_.end(), key,
        [](std::uint32_t wanted, const RangeOwner &row) { return wanted < row.range_.from_; });
    if (after == ranges_.begin() || !std::prev(after)->range_.contains(key))
        return nullptr;
    return &*std::prev(after);
}

} // namespace pimentostage
