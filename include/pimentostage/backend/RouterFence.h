#pragma once

#include "pimentostage/backend/LeaseGranter.h"
#include "pimentostage/backend/UnitFence.h"

namespace pimentostage {

/// Time for which a server that takes no grants may be silent before its units move.
inline constexpr Duration kProbeSilence = std::chrono::milliseconds(700);

/// @return how long a request of @p service may run after its router's lease has lapsed.
Duration mostRequestTime(const Service &service);

/// Fence of a service whose back ends check no grant: each router holds a lease of all units, and
/// sends a request only while it covers the request's unit.
///
/// The placement in the store names every router before its first lease, so that a successor
/// knows whom to wait for.
class RouterFence : public UnitFence
{
public:
    explicit RouterFence(const Service &service);

    void begin(Epoch roleEpoch, TimePoint now) override;
    void end() override;
    void adopt(const Placement &placement) override;
    void setBackends(const std::set<BackendName> &backends) override;
    void setRouters(const std::set<Member> &routers) override;
    [[nodiscard]] std::vector<Member> routersToName(TimePoint now) const override;
    void onRoutersNamed(const std::vector<Member> &routers) override;
    void setUnits(const std::map<BackendName, GrantedUnits> &units) override;
    void takeDue(TimePoint now, CoordinatorActions &actions) override;
    void onRouterReply(const Member &router, const GrantReply &reply, TimePoint now) override;
    void onProbeReply(const BackendName &backend, TimePoint now) override;
    [[nodiscard]] bool isReleased(const UnitName &unit, const BackendName &owner,
                                  TimePoint now) const override;
    [[nodiscard]] bool isAnswering(const BackendName &backend, TimePoint now) const override;
    [[nodiscard]] bool isLost(const BackendName &backend, TimePoint now) const override;

private:
    struct Probed
    {
        TimePoint repliedAt_ {};
        TimePoint next_ {}; ///< when the next probe is due
    };

    void updateHolders();

    LeaseGranter<Member> granter_;
    TimePoint begunAt_ {};
    std::map<BackendName, Probed> probed_;
    std::set<Member> alive_;
    std::set<Member> named_; ///< by the placement in the store
};

} // namespace pimentostage
