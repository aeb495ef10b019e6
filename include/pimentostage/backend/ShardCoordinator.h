#pragma once

#include "pimentostage/backend/CoordinatorAction.h"
#include "pimentostage/backend/PlacementPlanner.h"
#include "pimentostage/backend/Units.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentostage {

class UnitFence;

/// A back end as the configuration and the host list describe it.
struct CoordinatedBackend
{
    double capacity_ = 1;
    bool takesNewWork_ = true; ///< neither leaving nor in a data centre that is out
};

/// Owns the placement of one keyed service while its host has the role of coordinator.
///
/// A unit (a shard or a hot key) changes its owner in this order: whoever holds the leases that
/// cover it (its owner, or the routers if the back ends check no fence; see UnitFence) acknowledges
/// a grant without it and has no request of it left, or those leases have surely lapsed; the new
/// placement is written and known to be in the store; the unit is granted under a higher epoch. At
/// every moment requests for a unit can run at one server at most.
///
/// Lives on the control thread. The caller checks its authority before it performs an action.
class ShardCoordinator
{
public:
    /// @param seed makes nonces unique between hosts.
    ShardCoordinator(const Service &service, std::uint64_t seed);
    ~ShardCoordinator();

    /// Starts under @p roleEpoch; this host has had the role since @p now.
    CoordinatorActions begin(Epoch roleEpoch, TimePoint now);
    /// Ends; nothing is sent any more.
    void end();
    [[nodiscard]] bool isActive() const { return roleEpoch_.has_value(); }

    /// Replaces what is known of the service's back ends. To be told also while another host
    /// coordinates: what one that takes no new work owns is served for kHandoverTime from then.
    void setBackends(const std::map<BackendName, CoordinatedBackend> &backends, TimePoint now);

    /// Replaces the entry hosts that are believed to run. They matter to a service whose back ends
    /// check no fence: then its routers hold the leases.
    void setRouters(const std::set<Member> &routers);

    /// Replaces the keys that are to live apart from their shards.
    /// @param keys sorted by load, the hottest first.
    void setHotKeys(const std::vector<std::string> &keys);

    CoordinatorActions onRead(const std::optional<Placement> &placement, Version version,
                              TimePoint now);
    void onReadFailed(TimePoint now);
    CoordinatorActions onWritten(Version version, TimePoint now);
    /// Someone else wrote: the placement is read again.
    CoordinatorActions onConflict(TimePoint now);
    /// The answer was lost: the placement is read to find out.
    void onWriteFailed(TimePoint now);
    void onGrantReply(const BackendName &backend, const GrantReply &reply, TimePoint now);
    void onRouterReply(const Member &router, const GrantReply &reply, TimePoint now);
    void onProbeReply(const BackendName &backend, TimePoint now);

    /// Must be called every few milliseconds.
    CoordinatorActions tick(TimePoint now);

    /// @return the placement in the store as last known, or nullptr.
    [[nodiscard]] std::shared_ptr<const Placement> placement() const { return placement_; }
    /// @return back ends that answered lately.
    [[nodiscard]] std::size_t answeringBackends(TimePoint now) const;
    /// @return units that are on their way from one owner to another.
    [[nodiscard]] std::size_t movingUnits() const { return moves_.size(); }

private:
    enum class Phase { Reading, Writing, Ready };

    struct Move
    {
        BackendName from_;
        BackendName to_;
        MoveReason reason_ = MoveReason::Unowned;
    };
    /// A key that joins or leaves the table of hot keys; its shard's epoch rises with it, so that
    /// a router with the former table cannot reach the key through its shard.
    struct HotChange
    {
        BackendName to_; ///< empty if the key goes back to its shard
    };

    void adopt(const Placement &placement, Version version);
    CoordinatorActions write(Placement next);
    CoordinatorActions read(TimePoint now);
    void planMoves(TimePoint now, CoordinatorActions &actions);
    void planShards(TimePoint now, CoordinatorActions &actions);
    void planHotKeys(TimePoint now, CoordinatorActions &actions);
    void startHotChange(const std::string &key, const BackendName &to, CoordinatorActions &actions);
    void startMove(const UnitName &unit, const BackendName &from, const BackendName &to,
                   MoveReason reason, CoordinatorActions &actions);
    void writeMoves(TimePoint now, CoordinatorActions &actions);
    void applyMoves(Placement &next, const std::set<UnitName> &released) const;
    [[nodiscard]] std::set<UnitName> releasedUnits(TimePoint now) const;
    [[nodiscard]] bool isHotChangeReady(const std::string &key, const HotChange &change,
                                        const std::set<UnitName> &released) const;
    void sendGrants(TimePoint now, CoordinatorActions &actions);
    [[nodiscard]] bool isHot(const std::string &key) const;
    [[nodiscard]] std::map<BackendName, GrantedUnits> grantedUnits(TimePoint now) const;
    [[nodiscard]] bool hasHandedOver(const BackendName &owner, TimePoint now) const;
    void expireHandovers(TimePoint now);
    [[nodiscard]] MoveReason reasonToLeave(const BackendName &owner) const;
    [[nodiscard]] std::vector<PlacementBackend> placementBackends(TimePoint now) const;
    [[nodiscard]] BackendName leastBurdened(TimePoint now) const;
    [[nodiscard]] std::string newNonce();

    const Service service_;
    const std::uint64_t seed_;
    std::uint64_t nonces_ = 0;
    std::optional<Epoch> roleEpoch_;
    Phase phase_ = Phase::Reading;
    bool isReading_ = false;
    TimePoint nextRead_ {};
    std::shared_ptr<const Placement> placement_;
    Version version_;
    std::optional<Placement> writing_; ///< written, its outcome not known yet
    std::map<BackendName, CoordinatedBackend> backends_;
    std::map<BackendName, TimePoint> withdrawnAt_; ///< back ends that take no new work
    std::set<BackendName> handedOver_; ///< of those: their units are not granted any more
    const std::unique_ptr<UnitFence> fence_;
    std::set<UnitName> writingUnits_; ///< units whose move writing_ contains
    std::map<UnitName, Move> moves_;
    bool unitsChanged_ = true; ///< what is granted may have changed
    std::map<std::string, HotChange> hotChanges_;
    std::vector<std::string> hotKeys_; ///< keys that are to live apart
    std::vector<PlacementBackend> plannedFor_; ///< back ends of the last plan
    std::shared_ptr<const Placement> plannedPlacement_; ///< placement of the last plan
};

} // namespace pimentostage
