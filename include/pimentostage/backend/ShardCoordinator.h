#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/backend/PlacementPlanner.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// Read the placement from the store; report with onRead() or onReadFailed().
struct ReadPlacement
{ };

/// Write the placement if its version is `expected_`; report with onWritten(), onConflict() or
/// onWriteFailed().
struct WritePlacement
{
    Placement placement_;
    Version expected_;
};

/// Send `grant_` to a server; report with onGrantReply() if it answers.
struct SendGrant
{
    BackendName backend_;
    Grant grant_;
};

/// Why a unit moves; for the log.
enum class MoveReason { Unowned, OwnerLost, OwnerWithdrawn, Balance, HotKey };

template <>
struct EnumTable<MoveReason>
{
    static constexpr std::array kRows {
        EnumName<MoveReason> { MoveReason::Unowned, "unowned" },
        EnumName<MoveReason> { MoveReason::OwnerLost, "owner-lost" },
        EnumName<MoveReason> { MoveReason::OwnerWithdrawn, "owner-withdrawn" },
        EnumName<MoveReason> { MoveReason::Balance, "balance" },
        EnumName<MoveReason> { MoveReason::HotKey, "hot-key" },
    };
};

/// A placement decision, for the log.
struct MoveDecided
{
    std::string unit_;
    BackendName from_;
    BackendName to_;
    MoveReason reason_ = MoveReason::Unowned;
};

using CoordinatorAction = std::variant<ReadPlacement, WritePlacement, SendGrant, MoveDecided>;
using CoordinatorActions = std::vector<CoordinatorAction>;

/// A back end as the configuration and the host list describe it.
struct CoordinatedBackend
{
    double capacity_ = 1;
    bool takesNewWork_ = true; ///< neither leaving nor in a data centre that is out
};

/// Owns the placement of one keyed service while its host has the role of coordinator.
///
/// A unit (a shard or a hot key) changes its owner in this order: its owner acknowledges a grant
/// without it and has no request of it left, or the owner's lease has surely lapsed; the new
/// placement is written and known to be in the store; the new owner is granted the unit under a
/// higher epoch. At every moment at most one server's lease covers a unit.
///
/// Lives on the control thread. The caller checks its authority before it performs an action.
class ShardCoordinator
{
public:
    /// @param seed makes nonces unique between hosts.
    ShardCoordinator(const Service &service, std::uint64_t seed);

    /// Starts under @p roleEpoch; this host has had the role since @p now.
    CoordinatorActions begin(Epoch roleEpoch, TimePoint now);
    /// Ends; nothing is sent any more.
    void end();
    [[nodiscard]] bool isActive() const { return roleEpoch_.has_value(); }

    /// Replaces what is known of the service's back ends.
    void setBackends(const std::map<BackendName, CoordinatedBackend> &backends);

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

    struct Server
    {
        CoordinatedBackend facts_;
        bool isKnown_ = false; ///< named by the configuration
        std::optional<ServerStamp> stamp_;
        TimePoint stampAt_ {}; ///< when stamp_ arrived
        TimePoint repliedAt_ {};
        TimePoint leaseUntil_ {}; ///< the server surely holds no lease from here on
        std::uint64_t sequence_ = 0; ///< of the newest grant sent
        GrantedUnits sentUnits_; ///< what the newest grant covers
        std::uint64_t sentDigest_ = 0; ///< of sentUnits_
        std::uint64_t unitsSequence_ = 0; ///< first grant that covered sentUnits_
        std::uint64_t ackedSequence_ = 0; ///< newest grant that the server has taken
        std::set<UnitName> draining_;
        TimePoint nextGrant_ {};
    };
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
    [[nodiscard]] bool isReleased(const UnitName &unit, const Move &move, TimePoint now) const;
    [[nodiscard]] bool isHotChangeReady(const std::string &key, const HotChange &change,
                                        const std::set<UnitName> &released) const;
    void sendGrants(TimePoint now, CoordinatorActions &actions);
    void updateUnits();
    [[nodiscard]] Grant grantFor(Server &server) const;
    [[nodiscard]] bool isHot(const std::string &key) const;
    [[nodiscard]] std::map<BackendName, GrantedUnits> grantedUnits() const;
    [[nodiscard]] MoveReason reasonToLeave(const BackendName &owner) const;
    [[nodiscard]] std::vector<PlacementBackend> placementBackends(TimePoint now) const;
    [[nodiscard]] BackendName leastBurdened(TimePoint now) const;
    [[nodiscard]] static bool isAnswering(const Server &server, TimePoint now);
    [[nodiscard]] std::string newNonce();

    const Service service_;
    const std::uint64_t seed_;
    std::uint64_t nonces_ = 0;
    std::optional<Epoch> roleEpoch_;
    TimePoint begunAt_ {};
    Phase phase_ = Phase::Reading;
    bool isReading_ = false;
    TimePoint nextRead_ {};
    std::shared_ptr<const Placement> placement_;
    Version version_;
    std::optional<Placement> writing_; ///< written, its outcome not known yet
    std::map<BackendName, Server> servers_;
    std::set<UnitName> writingUnits_; ///< units whose move writing_ contains
    std::map<UnitName, Move> moves_;
    bool unitsChanged_ = true; ///< what servers are to be granted may have changed
    std::map<std::string, HotChange> hotChanges_;
    std::vector<std::string> hotKeys_; ///< keys that are to live apart
    std::vector<PlacementBackend> plannedFor_; ///< back ends of the last plan
    std::shared_ptr<const Placement> plannedPlacement_; ///< placement of the last plan
};

/// @return the name of the unit that is shard @p shard.
UnitName shardUnit(ShardId shard);
/// @return the name of the unit that is the hot key @p key.
UnitName hotKeyUnit(std::string_view key);
/// @return the unit that @p key belongs to under @p placement.
UnitName unitOf(const Placement &placement, std::string_view key);

} // namespace pimentostage
