#pragma once

#include "pimentostage/backend/GrantLedger.h"
#include "pimentostage/backend/RangeLink.h"
#include "pimentostage/backend/RangePlanner.h"
#include "pimentostage/base/Random.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// Read the placement; report the result with onRead() or onReadFailed().
struct ReadRanges
{ };

/// Write the placement if the stored version is `expected_`; report the result with onWritten(),
/// onConflict() or onWriteFailed().
struct WriteRanges
{
    RangePlacement placement_;
    Version expected_;
};

/// Send a grant to `to_`; report the outcome with onGranted().
struct SendRangeGrant
{
    OrderNumber number_ = 0;
    BackendProcess to_;
    RangeGrantOrder order_;
    /// The connection on which the order must be sent; 0 if no order was sent under its epoch yet.
    ConnectionId connection_ = 0;
};

/// Send a release to `to_`; report the outcome with onReleased().
struct SendRangeRelease
{
    OrderNumber number_ = 0;
    BackendProcess to_;
    RangeReleaseOrder order_;
};

/// Log that a range is to move to another owner.
struct RangeMoveDecided
{
    KeyRange range_;
    BackendProcess from_;
    BackendProcess to_;
    Epoch epoch_;
};

using RangeAction
    = std::variant<ReadRanges, WriteRanges, SendRangeGrant, SendRangeRelease, RangeMoveDecided>;
using RangeActions = std::vector<RangeAction>;

/// Settings of a RangeCoordinator.
struct RangeCoordinatorOptions
{
    Duration holdDuration_ = std::chrono::milliseconds(2500); ///< hold duration of a grant
    /// Hold duration of a grant to an owner that did not reply to its last order.
    Duration shortHoldDuration_ = std::chrono::milliseconds(500);
    /// Maximum time from an accepted grant of a range to the next.
    Duration renewalPeriod_ = std::chrono::milliseconds(700);
    /// Delay before an order is repeated; that of a grant doubles with the back end's consecutive
    /// failures.
    Duration retryDelay_ = std::chrono::milliseconds(250);
    /// The ranges of a back end move to others if it has not replied to an order this long after
    /// its first failed order.
    Duration unresponsiveTimeout_ = std::chrono::milliseconds(1500);
    Duration orderTimeout_ = std::chrono::milliseconds(700); ///< max time of a grant in flight
    Duration balancePeriod_ = std::chrono::milliseconds(500); ///< time between moves for balance
    /// Back ends register one after another: the first placement is made once none has registered
    /// for this long.
    Duration registrationQuietPeriod_ = std::chrono::milliseconds(1000);
    /// Maximum relative rate by which a back end's clock may be slow, including a margin.
    double maxClockError_ = 0.025;
};

/// Manages the placement of one service's ordered keys; each key has at most one holder at a time.
///
/// A range moves to a new owner in three steps:
/// 1. The placement with the new owner, the previous owner and a higher epoch is written and
///    confirmed to be in the store.
/// 2. The previous owner releases the range, or its hold has certainly expired.
/// 3. The range is granted to the new owner.
///
/// The placement in the store names every process that may hold a range, so that the next
/// coordinator can determine which holds must end first.
///
/// An epoch of a range is given to one process only. An address may lead to another process at any
/// time, a connection does not: all grants under one epoch are sent on one connection, and a
/// process whose connection was lost gets its ranges again only under a higher epoch. Each write of
/// the placement reserves epochs for that, so that no process waits for the store to get one.
///
/// A placement that was written before the store was restored from a copy may lack holders and
/// epochs. A new coordinator that reads one grants nothing until all holds have ended, and then
/// only under epochs above all that may have been given out (nextEpoch()). The coordinator that
/// wrote the latest placement writes it again.
class RangeCoordinator
{
public:
    /// The planner's input, by back-end process.
    using Backends = RangePlanner::Backends;

    RangeCoordinator(ServiceName service, const RangeCoordinatorOptions &options, Random random);

    /// Starts coordinating under @p roleEpoch.
    RangeActions begin(Epoch roleEpoch, TimePoint now);
    /// Stops coordinating and discards the state.
    void end();

    /// @param backends the processes that are currently registered.
    void setBackends(const Backends &backends) { backends_ = backends; }
    /// Records that the store's content is of @p generation or a newer one.
    void setStoreGeneration(Generation generation)
    {
        storeGeneration_ = std::max(storeGeneration_, generation);
    }
    /// Adds @p requests counted for a bucket of keys.
    void addLoad(std::uint32_t bucket, double requests) { load_.add(bucket, requests); }

    /// Must be called every few milliseconds while this host is the coordinator.
    RangeActions tick(TimePoint now);

    RangeActions onRead(const std::optional<RangePlacement> &placement, Version version,
                        TimePoint now);
    void onReadFailed(TimePoint now);
    RangeActions onWritten(Version version, TimePoint now);
    /// The stored version differs: another writer was first, or this write took effect earlier and
    /// its reply was lost. Reads the placement to determine which.
    RangeActions onConflict(TimePoint now);
    /// The outcome of the write is unknown: it may or may not take effect.
    void onWriteFailed(TimePoint now);

    RangeActions onGranted(const SendRangeGrant &sent, const RangeReply &reply, TimePoint now);
    RangeActions onReleased(const SendRangeRelease &sent, const RangeReply &reply, TimePoint now);

    /// @return the placement last written, updated with the moves that have ended since.
    [[nodiscard]] const RangePlacement &placement() const { return placement_; }
    /// @return whether the write of @p placement has no known outcome yet.
    [[nodiscard]] bool isWritePending(const RangePlacement &placement) const
    {
        return pendingWrite_ && pendingWrite_->nonce_ == placement.nonce_;
    }
    /// @return the version of the placement that was last read or written.
    [[nodiscard]] Version version() const { return version_; }
    /// @return the epoch of the role under which it coordinates.
    [[nodiscard]] Epoch roleEpoch() const { return roleEpoch_; }
    /// @return the number of ranges that are moving between owners.
    [[nodiscard]] std::size_t movingRanges() const;

private:
    enum class Phase { Idle, Reading, Ready };

    /// State of one row of the placement, kept in memory only.
    struct RowState
    {
        OrderNumber pendingOrder_ = 0; ///< has no outcome yet; 0 if there is none
        TimePoint nextOrderAt_ {};
        bool isReleased_ = false; ///< whether the previous owner has released the range
        std::string handover_; ///< token for the next grant
    };
    /// State of a process that may hold ranges or was sent orders.
    struct Holder
    {
        GrantLedger ledger_;
        std::optional<TimePoint> unresponsiveSince_; ///< time of the first consecutive failure
        std::optional<TimePoint> endedAt_; ///< when the process was found to have ended
        /// The grant without an outcome yet; 0 if there is none. Grants are sent one at a time: the
        /// outcome determines whether the next may be sent.
        OrderNumber pendingGrant_ = 0;
        /// The only connection on which its grants are sent; 0 until the first reply to one.
        ConnectionId connection_ = 0;
        Epoch minEpoch_; ///< its grants have this epoch or a higher one
        /// Whether its next grant needs an epoch under which none was sent: another process may
        /// have replaced it, or it has received a higher one.
        bool needsNewEpoch_ = false;
        std::uint32_t consecutiveFailures_ = 0; ///< orders in a row without a reply
    };

    void adoptPlacement(const std::optional<RangePlacement> &placement, TimePoint now);
    /// @return whether the placement is still to be written in the store's present generation.
    [[nodiscard]] bool isGenerationWriteDue(TimePoint now) const;
    /// @return whether the store was restored to @p placement, from before the pending write.
    [[nodiscard]] bool isRestoredCopy(const std::optional<RangePlacement> &placement,
                                      Version version) const;
    RangeActions plan(TimePoint now);
    RangeActions write(std::vector<RangeOwner> ranges, TimePoint now);
    bool awaitsBackends(TimePoint now);
    bool replaceRestarted(std::vector<RangeOwner> &ranges, Epoch epoch);
    [[nodiscard]] std::optional<BackendProcess> successorOf(const BackendProcess &process) const;
    bool raiseEpochs(std::vector<RangeOwner> &ranges, Epoch epoch) const;
    /// Gives @p process the next reserved epoch if it needs one and may still run.
    /// @return whether grants may be sent to it.
    bool updateEpoch(const BackendProcess &process, TimePoint now);
    void setRanges(std::vector<RangeOwner> ranges);
    void sendDueOrders(RangeOwner &row, RangeActions &actions, TimePoint now);
    void advanceMove(RangeOwner &row, RowState &state, RangeActions &actions, TimePoint now);
    void recordOutcome(Holder &holder, RangeOutcome outcome, TimePoint now);
    Holder &holder(const BackendProcess &process);
    /// @return whether @p process has not ended and replied recently, as far as known.
    [[nodiscard]] bool isResponsive(const BackendProcess &process, TimePoint now) const;
    [[nodiscard]] bool isUsable(const BackendProcess &process, TimePoint now) const;
    [[nodiscard]] RangePlanner::Backends usableBackends(TimePoint now) const;
    /// @return the maximum duration, by this host's clock, for which a back end holds a range that
    ///         is granted for @p hold.
    [[nodiscard]] Duration maxHoldDuration(Duration hold) const;
    /// @return the state of the row @p range if the order @p number is pending there, else nullptr.
    RowState *pendingState(const KeyRange &range, OrderNumber number);

    const ServiceName service_;
    const RangeCoordinatorOptions options_;
    Random random_;
    Phase phase_ = Phase::Idle;
    Epoch roleEpoch_;
    RangePlacement placement_; ///< as in the store, except for moves that have ended since
    Version version_;
    Generation storeGeneration_; ///< the newest generation of the store that is known
    TimePoint grantsFrom_ {}; ///< before, processes that no placement names may hold ranges
    std::optional<RangePlacement> pendingWrite_; ///< sent to the store, outcome not yet known
    bool isStoreCallPending_ = false; ///< a call to the store has no result yet
    bool hasEndedMoves_ = false; ///< moves have ended since the last write
    bool needsNewEpochs_ = false; ///< the placement was written by an earlier coordinator
    Epoch lastEpoch_; ///< the last one given out; those up to placement_.epoch_ are reserved
    bool needsReservation_ = false; ///< a process needs an epoch, and none is left
    TimePoint nextStoreCallAt_ {};
    TimePoint nextBalanceAt_ {};
    TimePoint lastDecayAt_ {};
    OrderNumber lastOrder_ = 0;
    std::map<KeyRange, RowState> rowStates_;
    std::map<BackendProcess, Holder> holders_;
    Backends backends_;
    std::size_t registeredCount_ = 0; ///< number of back ends when it last changed
    TimePoint lastRegistrationAt_ {};
    RangeLoad load_;
};

} // namespace pimentostage
