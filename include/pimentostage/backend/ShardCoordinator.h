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

/// A back end as described by the configuration and the host list.
struct CoordinatedBackend
{
    double capacity_ = 1;
    bool takesNewWork_ = true; ///< neither leaving nor in a data centre taken out of service
};

/// Manages the placement of one keyed service while its host has the coordinator role.
///
/// A unit (a shard or a hot key) changes its owner in three steps:
/// 1. Each holder of a lease on it (its owner, or the routers if the back ends do not check grants;
///    see UnitFence) acknowledges a grant without the unit and has no request for it left, or its
///    lease has certainly expired.
/// 2. The new placement is written and confirmed to be in the store.
/// 3. The unit is granted under a higher epoch.
/// At any time, requests for a unit can run at one server at most.
///
/// Runs on the control thread. The code that performs an action first checks that this host still
/// has authority.
class ShardCoordinator
{
public:
    /// @param seed makes nonces unique across hosts.
    ShardCoordinator(const Service &service, std::uint64_t seed);
    ~ShardCoordinator();

    /// Starts under @p roleEpoch; this host has the role from @p now on.
    CoordinatorActions begin(Epoch roleEpoch, TimePoint now);
    /// Stops; nothing is sent afterwards.
    void end();
    [[nodiscard]] bool isActive() const { return roleEpoch_.has_value(); }

    /// Replaces the last known state of the service's back ends. Must also be called while another
    /// host coordinates: the units of a back end that takes no new work are served for
    /// kHandoverTimeout from the first call that reports it so.
    void setBackends(const std::map<BackendName, CoordinatedBackend> &backends, TimePoint now);

    /// Replaces the entry hosts that are assumed to run. They hold the leases of a service whose
    /// back ends do not check grants; other services ignore them.
    void setRouters(const std::set<Member> &routers);

    /// Replaces the keys that should be placed separately from their shards.
    /// @param keys sorted by load in descending order.
    void setHotKeys(const std::vector<std::string> &keys);

    CoordinatorActions onRead(const std::optional<Placement> &placement, Version version,
                              TimePoint now);
    void onReadFailed(TimePoint now);
    CoordinatorActions onWritten(Version version, TimePoint now);
    /// Another writer changed the placement: reads it again.
    CoordinatorActions onConflict(TimePoint now);
    /// The outcome of the write is unknown: a later tick() reads the placement to determine it.
    void onWriteFailed(TimePoint now);
    void onGrantReply(const BackendName &backend, const GrantReply &reply, TimePoint now);
    void onRouterReply(const Member &router, const GrantReply &reply, TimePoint now);
    void onProbeReply(const BackendName &backend, TimePoint now);

    /// Must be called every few milliseconds.
    /// @return the actions that are due.
    CoordinatorActions tick(TimePoint now);

    /// @return the placement in the store as last known, or nullptr.
    [[nodiscard]] std::shared_ptr<const Placement> placement() const { return placement_; }
    /// @return the number of back ends that replied recently.
    [[nodiscard]] std::size_t responsiveBackends(TimePoint now) const;
    /// @return the number of units that are moving from one owner to another.
    [[nodiscard]] std::size_t movingUnits() const { return moves_.size(); }

private:
    enum class Phase { Reading, Writing, Ready };

    struct Move
    {
        BackendName from_;
        BackendName to_;
        MoveReason reason_ = MoveReason::Unowned;
    };
    /// A pending addition of a key to the table of hot keys, or its removal. The epoch of the key's
    /// shard increases at the same time, so that a router with the previous table cannot reach the
    /// key through the shard.
    struct HotKeyChange
    {
        BackendName to_; ///< empty if the key returns to its shard
    };

    void adopt(const Placement &placement, Version version);
    CoordinatorActions write(Placement next);
    CoordinatorActions read(TimePoint now);
    void planMoves(TimePoint now, CoordinatorActions &actions);
    void planShards(TimePoint now, CoordinatorActions &actions);
    void planHotKeys(TimePoint now, CoordinatorActions &actions);
    void startHotKeyChange(const std::string &key, const BackendName &to,
                           CoordinatorActions &actions);
    void startMove(const UnitName &unit, const BackendName &from, const BackendName &to,
                   MoveReason reason, CoordinatorActions &actions);
    void writeMoves(TimePoint now, CoordinatorActions &actions);
    void applyMoves(Placement &next, const std::set<UnitName> &released) const;
    [[nodiscard]] std::set<UnitName> releasedUnits(TimePoint now) const;
    [[nodiscard]] bool isHotKeyChangeReady(const std::string &key, const HotKeyChange &change,
                                           const std::set<UnitName> &released) const;
    void sendGrants(TimePoint now, CoordinatorActions &actions);
    [[nodiscard]] bool isHotKey(const std::string &key) const;
    [[nodiscard]] std::map<BackendName, GrantedUnits> grantedUnits(TimePoint now) const;
    [[nodiscard]] bool hasHandoverExpired(const BackendName &owner, TimePoint now) const;
    void expireHandovers(TimePoint now);
    [[nodiscard]] MoveReason reasonToMove(const BackendName &owner) const;
    [[nodiscard]] std::vector<PlacementBackend> placementBackends(TimePoint now) const;
    /// @return the responsive back end with the fewest hot keys; an empty name if there is none.
    [[nodiscard]] BackendName backendWithFewestHotKeys(TimePoint now) const;
    [[nodiscard]] std::string makeNonce();

    const Service service_;
    const std::uint64_t seed_;
    std::uint64_t nonceCount_ = 0;
    std::optional<Epoch> roleEpoch_;
    Phase phase_ = Phase::Reading;
    bool isReading_ = false;
    TimePoint nextReadAt_ {};
    std::shared_ptr<const Placement> placement_;
    Version version_;
    std::optional<Placement> pendingWrite_; ///< sent to the store, outcome not yet known
    std::map<BackendName, CoordinatedBackend> backends_;
    std::map<BackendName, TimePoint> withdrawnAt_; ///< when back ends stopped taking new work
    std::set<BackendName> expiredHandovers_; ///< back ends whose units are no longer granted
    const std::unique_ptr<UnitFence> fence_;
    std::set<UnitName> pendingUnits_; ///< units whose moves are in pendingWrite_
    std::map<UnitName, Move> moves_;
    bool unitsChanged_ = true; ///< the units to grant may have changed
    std::map<std::string, HotKeyChange> hotKeyChanges_;
    std::vector<std::string> hotKeys_; ///< keys that should be placed separately
    std::vector<PlacementBackend> plannedBackends_; ///< input of the last plan
    std::shared_ptr<const Placement> plannedPlacement_; ///< input of the last plan
};

} // namespace pimentostage
