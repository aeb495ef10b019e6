#pragma once

#include "pimentostage/backend/CoordinatorAction.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace pimentostage {

/// Decides who holds the leases under which requests for a service's units run, and when a unit is
/// free to get another owner.
class UnitFence
{
public:
    /// @return the fence for @p service: its back ends check grants, or its routers have to.
    static std::unique_ptr<UnitFence> forService(const Service &service);

    virtual ~UnitFence() = default;

    /// Starts under @p roleEpoch; an earlier coordinator may have granted leases up to @p now.
    virtual void begin(Epoch roleEpoch, TimePoint now) = 0;
    virtual void end() = 0;
    /// Takes from the placement as found who may have leases of earlier coordinators.
    virtual void adopt(const Placement &placement) = 0;

    virtual void setBackends(const std::set<BackendName> &backends) = 0;
    virtual void setRouters(const std::set<Member> & /*routers*/) { }
    /// @return the entry hosts that the placement in the store has to name before they get leases.
    [[nodiscard]] virtual std::vector<Member> routersToName(TimePoint) const { return {}; }
    /// Notes that the placement in the store names @p routers.
    virtual void onRoutersNamed(const std::vector<Member> & /*routers*/) { }

    /// Replaces what may run: the units of each owner that are not on their way to another.
    virtual void setUnits(const std::map<BackendName, GrantedUnits> &units) = 0;
    virtual void takeDue(TimePoint now, CoordinatorActions &actions) = 0;

    virtual void onGrantReply(const BackendName &, const GrantReply &, TimePoint) { }
    virtual void onRouterReply(const Member &, const GrantReply &, TimePoint) { }
    virtual void onProbeReply(const BackendName &, TimePoint) { }

    /// @return whether surely no request for @p unit can run at @p owner any more.
    [[nodiscard]] virtual bool isReleased(const UnitName &unit, const BackendName &owner,
                                          TimePoint now) const = 0;
    /// @return whether @p backend answered lately.
    [[nodiscard]] virtual bool isAnswering(const BackendName &backend, TimePoint now) const = 0;
    /// @return whether @p backend has been silent for so long that its units are to move.
    [[nodiscard]] virtual bool isLost(const BackendName &backend, TimePoint now) const = 0;
};

} // namespace pimentostage
