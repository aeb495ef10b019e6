#include "pimentostage/platform/Configuration.h"

namespace pimentostage {

bool Configuration::isZoneIn(const ZoneName &zone) const
{
    const auto found = zones_.find(zone);
    return found == zones_.end() || found->second.state_ == ZoneState::In;
}

} // namespace pimentostage
