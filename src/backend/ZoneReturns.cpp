#include "pimentostage/backend/ZoneReturns.h"

#include <algorithm>
#include <iterator>

namespace pimentostage {

ZoneReturns::ZoneReturns(Duration reportTime, Duration maxAge)
    : reportTime_(reportTime)
    , maxAge_(maxAge)
{ }

void ZoneReturns::onReturn(const ZoneName &zone, TimePoint now)
{
    waitsSince_[zone] = now;
}

std::vector<ZoneName> ZoneReturns::update(std::optional<Duration> age, TimePoint now)
{
    std::vector<ZoneName> settled;
    const bool isStoreReachable = age && *age < maxAge_;
    for (auto &[zone, since] : waitsSince_) {
        if (!isStoreReachable)
            since = now;
        else if (now - *age >= since + reportTime_)
            settled.push_back(zone);
    }
    for (const ZoneName &zone : settled)
        waitsSince_.erase(zone);
    return settled;
}

std::set<ZoneName> ZoneReturns::awaited() const
{
    std::set<ZoneName> zones;
    std::transform(waitsSince_.begin(), waitsSince_.end(), std::inserter(zones, zones.end()),
                   [](const auto &wait) { return wait.first; });
    return zones;
}

} // namespace pimentostage
