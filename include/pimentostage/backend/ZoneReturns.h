#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentostage {

/// Data centres that have returned to service, until it is known which of their back ends are cold.
///
/// A back end that became cold while its data centre was out reports this to the store with its
/// next report, and later if the store cannot be reached. Its entry does not change if it is warm.
/// So all back ends count as cold until the store has confirmed the entries at a time by which each
/// has reported.
class ZoneReturns
{
public:
    /// @param reportTime time within which each back end reports to a store that it can reach.
    /// @param maxAge age of the knowledge of back ends from which the store may have been out of
    ///        their reach as well.
    ZoneReturns(Duration reportTime, Duration maxAge);

    /// Records that @p zone has returned to service.
    void onReturn(const ZoneName &zone, TimePoint now);

    /// Records that @p zone was taken out of service again.
    void onOut(const ZoneName &zone) { waitsSince_.erase(zone); }

    /// Ends the wait for data centres whose back ends have reported.
    /// @param age of what this host knows of back ends; nothing if it was never confirmed.
    /// @return the data centres whose wait has ended.
    std::vector<ZoneName> update(std::optional<Duration> age, TimePoint now);

    /// @return the data centres whose back ends count as cold.
    [[nodiscard]] std::set<ZoneName> awaited() const;

private:
    const Duration reportTime_;
    const Duration maxAge_;
    std::map<ZoneName, TimePoint> waitsSince_; ///< returned, or the store was last out of reach
};

} // namespace pimentostage
