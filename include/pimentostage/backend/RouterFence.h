#pragma once

#include "pimentostage/backend/LeaseGranter.h"
#include "pimentostage/backend/UnitFence.h"

namespace pimentostage {

/// Time without a probe reply after which a server that does not check grants loses its units.
inline constexpr Duration kBackendLossTimeout = std::chrono::milliseconds(700);

/// @return the maximum time for which a request of @p service may run after its router's lease has
///         expired.
Duration maxRequestDuration(const Service &service);

/// Fencing of a service whose back ends do not check grants: each router holds a lease on all units
/// and sends a request only while the lease covers the request's unit.
///
/// The placement in the store lists every router before its first lease is granted, so that a
/// succeeding coordinator knows which leases to wait for.
class RouterFence : public UnitFence
{
public:
    explicit RouterFence(const Service &service);

    void begin(Epoch roleEpoch, TimePoint now) override;
    void end() override;
    void adopt(const Placement &placement) override;
    void setBackends(const std::set<BackendName> &backends) override;
    void setRouters(const std::set<Member> &routers) override;
    [[nodiscard]] std::vector<Member> routersToRecord(TimePoint now) const override;
    void onRoutersRecorded(const std::vector<Member> &routers) override;
    void setUnits(const std::map<BackendName, GrantedUnits> &units) override;
    void collectDueActions(TimePoint now, CoordinatorActions &actions) override;
    void onRouterReply(const Member &router, const GrantReply &reply, TimePoint now) override;
    void onProbeReply(const BackendName &backend, TimePoint now) override;
    [[nodiscard]] bool isReleased(const UnitName &unit, const BackendName &owner,
                                  TimePoint now) const override;
    [[nodiscard]] bool isResponsive(const BackendName &backend, TimePoint now) const override;
    [[nodiscard]] bool isLost(const BackendName &backend, TimePoint now) const override;

private:
    struct ProbeState
    {
        TimePoint lastReplyAt_ {};
        TimePoint nextProbeAt_ {}; ///< when the next probe is due
    };

    void updateHolders();

    LeaseGranter<Member> granter_;
    TimePoint startedAt_ {};
    std::map<BackendName, ProbeState> probes_;
    std::set<Member> liveRouters_;
    std::set<Member> recordedRouters_; ///< listed by the placement in the store
};

} // namespace pimentostage
