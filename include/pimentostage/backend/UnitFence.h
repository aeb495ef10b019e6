#pragma once

#include "pimentostage/backend/CoordinatorAction.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace pimentostage {

/// Strategy that decides which processes hold the leases for a service's units, and when a unit is
/// free to get another owner.
class UnitFence
{
public:
    /// @return the fence for @p service, depending on whether its back ends check grants or its
    ///         routers have to.
    static std::unique_ptr<UnitFence> forService(const Service &service);

    virtual ~UnitFence() = default;

    /// Starts granting under @p roleEpoch. Earlier coordinators may have granted leases up to
    /// @p now.
    virtual void begin(Epoch roleEpoch, TimePoint now) = 0;
    virtual void end() = 0;
    /// Records the holders in @p placement, which may have leases from earlier coordinators.
    virtual void adopt(const Placement &placement) = 0;

    virtual void setBackends(const std::set<BackendName> &backends) = 0;
    virtual void setRouters(const std::set<Member> & /*routers*/) { }
    /// @return the entry hosts that the placement in the store has to list before they get leases.
    [[nodiscard]] virtual std::vector<Member> routersToRecord(TimePoint) const { return {}; }
    /// Records that the placement in the store lists @p routers.
    virtual void onRoutersRecorded(const std::vector<Member> & /*routers*/) { }

    /// Replaces the units to grant: those of each owner that are not moving to another.
    virtual void setUnits(const std::map<BackendName, GrantedUnits> &units) = 0;
    /// Appends the grants and probes to send at @p now.
    virtual void collectDueActions(TimePoint now, CoordinatorActions &actions) = 0;

    virtual void onGrantReply(const BackendName &, const GrantReply &, TimePoint) { }
    virtual void onRouterReply(const Member &, const GrantReply &, TimePoint) { }
    virtual void onProbeReply(const BackendName &, TimePoint) { }

    /// @return whether certainly no request for @p unit can run at @p owner any longer.
    [[nodiscard]] virtual bool isReleased(const UnitName &unit, const BackendName &owner,
                                          TimePoint now) const = 0;
    /// @return whether @p backend replied recently.
    [[nodiscard]] virtual bool isResponsive(const BackendName &backend, TimePoint now) const = 0;
    /// @return whether @p backend has not replied for so long that its units must move.
    [[nodiscard]] virtual bool isLost(const BackendName &backend, TimePoint now) const = 0;
};

} // namespace pimentostage
