#pragma once

#include "pimentostage/backend/LeaseGranter.h"
#include "pimentostage/backend/UnitFence.h"

namespace pimentostage {

/// Fencing of a service whose back ends check grants: each back end holds a lease on its units.
class BackendFence : public UnitFence
{
public:
    explicit BackendFence(const ServiceName &service);

    void begin(Epoch roleEpoch, TimePoint now) override;
    void end() override;
    void adopt(const Placement &placement) override;
    void setBackends(const std::set<BackendName> &backends) override;
    void setUnits(const std::map<BackendName, GrantedUnits> &units) override;
    void collectDueActions(TimePoint now, CoordinatorActions &actions) override;
    void onGrantReply(const BackendName &backend, const GrantReply &reply, TimePoint now) override;
    [[nodiscard]] bool isReleased(const UnitName &unit, const BackendName &owner,
                                  TimePoint now) const override;
    [[nodiscard]] bool isResponsive(const BackendName &backend, TimePoint now) const override;
    [[nodiscard]] bool isLost(const BackendName &backend, TimePoint now) const override;

private:
    LeaseGranter<BackendName> granter_;
};

} // namespace pimentostage
