#include "pimentostage/backend/RangeCoordinator.h"

#include "pimentostage/platform/Generation.h"

#include <algorithm>
#include <set>

namespace pimentostage {

namespace {

// Time after which a process that was found to have ended gets orders again, under a new epoch: a
// new process may run under the same registration.
constexpr Duration kEndedRetryDelay = std::chrono::seconds(2);
// Time after which a process that does not reply and has lost its ranges may get ranges again.
constexpr Duration kUnresponsiveRetryDelay = std::chrono::seconds(5);
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kDecayPeriod = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxRetryDoublings = 3;
// Epochs that each write of the placement reserves, for processes whose connections are lost before
// the next write.
constexpr std::uint64_t kReservedEpochs = 1024;
// Lower bound of the limit on concurrent moves for balance: with several at once, a hot region is
// spread over several back ends in one pause, and a range whose work takes long to end does not
// delay the others.
constexpr std::size_t kMinBalanceMoves = 3;
// In a large service the limit is one move per this many back ends: about 17 of 107 back ends serve
// the hottest two fifths of the load.
constexpr std::size_t kBackendsPerBalanceMove = 6;

/// @return whether another process than the addressed one may have received the order, or may
///         receive the next.
bool isProcessUncertain(RangeOutcome outcome)
{
    return outcome == RangeOutcome::Unanswered || outcome == RangeOutcome::Broken
           || outcome == RangeOutcome::ConnectionLost;
}

bool isReply(RangeOutcome outcome)
{
    return outcome == RangeOutcome::Accepted || outcome == RangeOutcome::StaleEpoch
           || outcome == RangeOutcome::Malformed;
}

} // namespace

RangeCoordinator::RangeCoordinator(ServiceName service, const RangeCoordinatorOptions &options,
                                   Random random)
    : service_(std::move(service))
    , options_(options)
    , random_(random)
{
    placement_.service_ = service_;
}

RangeActions RangeCoordinator::begin(Epoch roleEpoch, TimePoint now)
{
    end();
    roleEpoch_ = roleEpoch;
    phase_ = Phase::Reading;
    lastDecayAt_ = now;
    isStoreCallPending_ = true;
    return { ReadRanges {} };
}

void RangeCoordinator::end()
{
    phase_ = Phase::Idle;
    placement_ = RangePlacement {};
    placement_.service_ = service_;
    version_ = Version {};
    pendingWrite_.reset();
    isStoreCallPending_ = false;
    hasEndedMoves_ = false;
    lastEpoch_ = Epoch {};
    needsReservation_ = false;
    grantsFrom_ = TimePoint {};
    rowStates_.clear();
    holders_.clear();
}

Duration RangeCoordinator::maxHoldDuration(Duration hold) const
{
    return fromSeconds(toSeconds(hold) * (1 + options_.maxClockError_));
}

RangeCoordinator::Holder &RangeCoordinator::holder(const BackendProcess &process)
{
    return holders_[process];
}

RangeCoordinator::RowState *RangeCoordinator::pendingState(const KeyRange &range,
                                                           OrderNumber number)
{
    const auto found = rowStates_.find(range);
    const bool isPending = found != rowStates_.end() && found->second.pendingOrder_ == number;
    return isPending ? &found->second : nullptr;
}

std::size_t RangeCoordinator::movingRanges() const
{
    return static_cast<std::size_t>(
        std::count_if(placement_.ranges_.begin(), placement_.ranges_.end(),
                      [](const RangeOwner &row) { return !row.previous_.isNone(); }));
}

RangeActions RangeCoordinator::onRead(const std::optional<RangePlacement> &placement,
                                      Version version, TimePoint now)
{
    isStoreCallPending_ = false;
    setStoreGeneration(generationOf(version));
    if (phase_ == Phase::Idle)
        return {};
    if (phase_ == Phase::Reading) {
        version_ = version;
        adoptPlacement(placement, now);
        phase_ = Phase::Ready;
        return tick(now);
    }
    // The pending write has no known outcome. Either it took effect, or it may still do so and is
    // sent again with the same expected version.
    const bool isOurWrite
        = pendingWrite_ && placement && placement->nonce_ == pendingWrite_->nonce_;
    if (isOurWrite)
        return onWritten(version, now);
    if (pendingWrite_ && (version == version_ || isRestoredCopy(placement, version))) {
        version_ = version;
        isStoreCallPending_ = true;
        return { WriteRanges { *pendingWrite_, version_ } };
    }
    // Another coordinator has written the placement: start again from what it wrote.
    return begin(roleEpoch_, now);
}

// Such a copy may lack grants that are still held, so it is replaced and not adopted.
bool RangeCoordinator::isRestoredCopy(const std::optional<RangePlacement> &placement,
                                      Version version) const
{
    if (generationOf(version) == generationOf(version_))
        return false;
    return !placement
           || (placement->roleEpoch_ <= roleEpoch_ && placement->epoch_ < pendingWrite_->epoch_);
}

void RangeCoordinator::adoptPlacement(const std::optional<RangePlacement> &placement, TimePoint now)
{
    needsNewEpochs_ = true;
    // The last order of the earlier coordinator may have been in flight when this host took over.
    const TimePoint until = now + options_.orderTimeout_ + maxHoldDuration(options_.holdDuration_);
    const Generation written = placement ? placement->generation_ : Generation {};
    if (written < storeGeneration_)
        grantsFrom_ = until;
    if (!placement) {
        placement_.ranges_ = { RangeOwner { { 0, kLastOrderedKey }, {}, {}, {} } };
        return;
    }
    placement_ = *placement;
    lastEpoch_ = placement_.epoch_;
    for (const RangeOwner &row : placement_.ranges_) {
        for (const BackendProcess &process : { row.owner_, row.previous_ }) {
            if (!process.isNone())
                holder(process).ledger_.assumeGranted(row.range_, until);
        }
    }
    nextBalanceAt_ = until;
}

void RangeCoordinator::onReadFailed(TimePoint now)
{
    isStoreCallPending_ = false;
    nextStoreCallAt_ = now + kStoreRetryDelay;
}

RangeActions RangeCoordinator::onWritten(Version version, TimePoint now)
{
    isStoreCallPending_ = false;
    setStoreGeneration(generationOf(version));
    if (phase_ != Phase::Ready || !pendingWrite_)
        return {};
    version_ = version;
    const RangePlacement written = std::move(*pendingWrite_);
    pendingWrite_.reset();
    needsNewEpochs_ = false;
    // The ranges of this write have the epoch below those that it reserves.
    lastEpoch_ = Epoch { written.epoch_.value_ - kReservedEpochs };
    needsReservation_ = false;
    // Moves that ended while the write was pending must stay ended: the write still has their
    // previous owners.
    std::vector<RangeOwner> ranges = written.ranges_;
    bool hasEndedMoves = false;
    for (RangeOwner &row : ranges) {
        const auto current = std::find_if(
            placement_.ranges_.begin(), placement_.ranges_.end(), [&](const RangeOwner &candidate) {
                return candidate.range_ == row.range_ && candidate.owner_ == row.owner_
                       && candidate.epoch_ == row.epoch_;
            });
        const bool hasEnded = current != placement_.ranges_.end() && current->previous_.isNone()
                              && !row.previous_.isNone();
        if (hasEnded)
            row.previous_ = BackendProcess {};
        hasEndedMoves = hasEndedMoves || hasEnded;
    }
    hasEndedMoves_ = hasEndedMoves;
    setRanges(std::move(ranges));
    placement_.epoch_ = written.epoch_;
    placement_.roleEpoch_ = written.roleEpoch_;
    placement_.generation_ = written.generation_;
    placement_.nonce_ = written.nonce_;
    return tick(now);
}

RangeActions RangeCoordinator::onConflict(TimePoint now)
{
    isStoreCallPending_ = false;
    if (phase_ != Phase::Ready)
        return {};
    // Either an earlier attempt of this write took effect and its reply was lost, or another
    // coordinator wrote; the nonce that the read returns distinguishes the two.
    nextStoreCallAt_ = now;
    isStoreCallPending_ = true;
    return { ReadRanges {} };
}

void RangeCoordinator::onWriteFailed(TimePoint now)
{
    isStoreCallPending_ = false;
    nextStoreCallAt_ = now + kStoreRetryDelay;
}

// Unchanged rows keep their state.
void RangeCoordinator::setRanges(std::vector<RangeOwner> ranges)
{
    std::map<KeyRange, RowState> states;
    for (const RangeOwner &row : ranges) {
        const auto existing = std::find(placement_.ranges_.begin(), placement_.ranges_.end(), row);
        const auto state = rowStates_.find(row.range_);
        const bool stays = existing != placement_.ranges_.end() && state != rowStates_.end();
        states[row.range_] = stays ? state->second : RowState {};
    }
    rowStates_ = std::move(states);
    placement_.ranges_ = std::move(ranges);
}

RangeActions RangeCoordinator::tick(TimePoint now)
{
    if (phase_ == Phase::Idle)
        return {};
    if (phase_ == Phase::Reading) {
        if (isStoreCallPending_ || now < nextStoreCallAt_)
            return {};
        isStoreCallPending_ = true;
        return { ReadRanges {} };
    }
    if (now >= lastDecayAt_ + kDecayPeriod) {
        load_.decay(now - lastDecayAt_);
        lastDecayAt_ = now;
    }
    RangeActions actions;
    // Nothing is granted under the epochs of an earlier coordinator, so that back ends reject its
    // late orders as stale.
    if (!needsNewEpochs_ && now >= grantsFrom_) {
        for (RangeOwner &row : placement_.ranges_)
            sendDueOrders(row, actions, now);
    }
    RangeActions more = plan(now);
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
    return actions;
}

void RangeCoordinator::sendDueOrders(RangeOwner &row, RangeActions &actions, TimePoint now)
{
    RowState &state = rowStates_[row.range_];
    if (!row.previous_.isNone()) {
        advanceMove(row, state, actions, now);
        if (!row.previous_.isNone())
            return;
    }
    if (row.owner_.isNone() || state.pendingOrder_ != 0 || now < state.nextOrderAt_)
        return;
    Holder &owner = holder(row.owner_);
    // Its successor may receive the grant, and gets the range itself with the next write.
    if (successorOf(row.owner_))
        return;
    if (owner.endedAt_ || owner.pendingGrant_ != 0 || !updateEpoch(row.owner_, now))
        return;
    SendRangeGrant grant;
    grant.number_ = ++lastOrder_;
    owner.pendingGrant_ = grant.number_;
    grant.to_ = row.owner_;
    // A process that did not reply may be lost; a long hold would delay the next owner of its keys.
    const Duration hold
        = owner.unresponsiveSince_ ? options_.shortHoldDuration_ : options_.holdDuration_;
    const Epoch epoch = std::max(row.epoch_, owner.minEpoch_);
    grant.order_ = RangeGrantOrder { row.range_, epoch, hold, state.handover_ };
    grant.connection_ = owner.connection_;
    state.pendingOrder_ = grant.number_;
    owner.ledger_.onSent(grant.number_, row.range_, maxHoldDuration(hold));
    actions.emplace_back(std::move(grant));
}

bool RangeCoordinator::updateEpoch(const BackendProcess &process, TimePoint now)
{
    Holder &state = holder(process);
    if (!state.needsNewEpoch_)
        return true;
    if (!backends_.contains(process) || !isResponsive(process, now))
        return false;
    needsReservation_ = lastEpoch_ >= placement_.epoch_;
    if (needsReservation_)
        return false;
    lastEpoch_ = lastEpoch_.next();
    state.minEpoch_ = lastEpoch_;
    state.connection_ = 0;
    state.needsNewEpoch_ = false;
    return true;
}

void RangeCoordinator::advanceMove(RangeOwner &row, RowState &state, RangeActions &actions,
                                   TimePoint now)
{
    Holder &previous = holder(row.previous_);
    if (!previous.ledger_.mayHold(row.range_, now)) {
        row.previous_ = BackendProcess {};
        state.pendingOrder_ = 0;
        state.nextOrderAt_ = now;
        hasEndedMoves_ = true;
        return;
    }
    if (state.isReleased_ || state.pendingOrder_ != 0 || now < state.nextOrderAt_)
        return;
    SendRangeRelease release;
    release.number_ = ++lastOrder_;
    release.to_ = row.previous_;
    release.order_ = RangeReleaseOrder { row.range_, row.epoch_ };
    state.pendingOrder_ = release.number_;
    actions.emplace_back(std::move(release));
}

void RangeCoordinator::recordOutcome(Holder &state, RangeOutcome outcome, TimePoint now)
{
    if (isReply(outcome)) {
        state.unresponsiveSince_.reset();
        state.consecutiveFailures_ = 0;
        return;
    }
    ++state.consecutiveFailures_;
    if (!state.unresponsiveSince_)
        state.unresponsiveSince_ = now;
    if (outcome != RangeOutcome::ProcessGone)
        return;
    state.endedAt_ = now;
    state.ledger_.onProcessEnded();
}

RangeActions RangeCoordinator::onGranted(const SendRangeGrant &sent, const RangeReply &reply,
                                         TimePoint now)
{
    if (phase_ != Phase::Ready)
        return {};
    const RangeOutcome outcome = reply.outcome_;
    // If the process was restarted since, its successor's ledger has the order's entry too.
    for (auto &[process, state] : holders_)
        state.ledger_.onOutcome(sent.number_, outcome, now);
    Holder &addressee = holder(sent.to_);
    const bool isFromBeforeBegin = addressee.pendingGrant_ != sent.number_;
    if (isFromBeforeBegin)
        return {};
    addressee.pendingGrant_ = 0;
    if (isReply(outcome))
        addressee.connection_ = reply.connection_;
    if (isProcessUncertain(outcome) || outcome == RangeOutcome::StaleEpoch)
        addressee.needsNewEpoch_ = true;
    // Back ends close idle connections; that the order was not sent says nothing else of this one.
    const bool isUnsent = outcome == RangeOutcome::ConnectionLost;
    if (!isUnsent)
        recordOutcome(addressee, outcome, now);
    RowState *row = pendingState(sent.order_.range_, sent.number_);
    if (row) {
        row->pendingOrder_ = 0;
        if (outcome == RangeOutcome::Accepted) {
            row->handover_.clear();
            // Jitter spreads the grants of many ranges over time.
            const double minFactor = 0.8;
            const double jitter = 0.2;
            row->nextOrderAt_ = now
                                + fromSeconds(toSeconds(options_.renewalPeriod_)
                                              * (minFactor + jitter * random_.unit()));
        } else if (isUnsent) {
            row->nextOrderAt_ = now;
        } else {
            const std::uint32_t doublings
                = std::min(addressee.consecutiveFailures_, kMaxRetryDoublings);
            row->nextOrderAt_ = now + options_.retryDelay_ * (1U << doublings) / 2;
        }
    }
    return tick(now);
}

RangeActions RangeCoordinator::onReleased(const SendRangeRelease &sent, const RangeReply &reply,
                                          TimePoint now)
{
    if (phase_ != Phase::Ready)
        return {};
    const bool isAccepted = reply.outcome_ == RangeOutcome::Accepted;
    recordOutcome(holder(sent.to_), reply.outcome_, now);
    if (isAccepted)
        holder(sent.to_).ledger_.onReleased(sent.number_, sent.order_.range_);
    RowState *row = pendingState(sent.order_.range_, sent.number_);
    if (row) {
        row->pendingOrder_ = 0;
        row->nextOrderAt_ = now + options_.retryDelay_;
        if (isAccepted) {
            row->isReleased_ = true;
            row->handover_ = reply.handover_;
        }
    }
    return tick(now);
}

bool RangeCoordinator::isResponsive(const BackendProcess &process, TimePoint now) const
{
    const auto found = holders_.find(process);
    if (found == holders_.end())
        return true;
    const Holder &state = found->second;
    if (state.endedAt_)
        return false;
    return !state.unresponsiveSince_
           || now < *state.unresponsiveSince_ + options_.unresponsiveTimeout_;
}

bool RangeCoordinator::isUsable(const BackendProcess &process, TimePoint now) const
{
    const auto backend = backends_.find(process);
    return backend != backends_.end() && backend->second.takesNewWork_
           && isResponsive(process, now);
}

RangePlanner::Backends RangeCoordinator::usableBackends(TimePoint now) const
{
    RangePlanner::Backends usable;
    for (const auto &[process, backend] : backends_) {
        if (isUsable(process, now))
            usable[process] = backend;
    }
    return usable;
}

bool RangeCoordinator::awaitsBackends(TimePoint now)
{
    const bool isFirst = std::all_of(placement_.ranges_.begin(), placement_.ranges_.end(),
                                     [](const RangeOwner &row) { return row.owner_.isNone(); });
    if (!isFirst)
        return false;
    if (backends_.size() != registeredCount_) {
        registeredCount_ = backends_.size();
        lastRegistrationAt_ = now;
    }
    return now < lastRegistrationAt_ + options_.registrationQuietPeriod_;
}

std::optional<BackendProcess> RangeCoordinator::successorOf(const BackendProcess &process) const
{
    const auto next = backends_.upper_bound(process);
    const bool isSuccessor = next != backends_.end() && next->first.name_ == process.name_;
    return isSuccessor ? std::optional(next->first) : std::nullopt;
}

// A process with the name of an earlier one replaces it: it may have received the orders sent to
// the earlier one, and gets that one's ranges under a higher epoch.
bool RangeCoordinator::replaceRestarted(std::vector<RangeOwner> &ranges, Epoch epoch)
{
    bool isChange = false;
    std::set<BackendProcess> merged;
    for (RangeOwner &row : ranges) {
        for (BackendProcess *process : { &row.owner_, &row.previous_ }) {
            const auto successor = successorOf(*process);
            if (process->isNone() || !successor)
                continue;
            // The placement in force names the earlier process until the write is confirmed, so its
            // ledger keeps the entries as well.
            if (merged.insert(*process).second)
                holder(*successor).ledger_.merge(holder(*process).ledger_);
            *process = *successor;
            row.epoch_ = epoch;
            isChange = true;
        }
        if (row.previous_ == row.owner_)
            row.previous_ = BackendProcess {};
    }
    return isChange;
}

// Back ends reject late orders of an earlier coordinator once they have a higher epoch.
bool RangeCoordinator::raiseEpochs(std::vector<RangeOwner> &ranges, Epoch epoch) const
{
    bool isChange = false;
    for (RangeOwner &row : ranges) {
        if (!needsNewEpochs_ || row.owner_.isNone())
            continue;
        row.epoch_ = epoch;
        isChange = true;
    }
    return isChange;
}

bool RangeCoordinator::isGenerationWriteDue(TimePoint now) const
{
    return placement_.generation_ < storeGeneration_ && now >= grantsFrom_;
}

RangeActions RangeCoordinator::plan(TimePoint now)
{
    if (isStoreCallPending_ || now < nextStoreCallAt_)
        return {};
    if (pendingWrite_) {
        isStoreCallPending_ = true;
        return { ReadRanges {} };
    }
    for (auto &[process, state] : holders_) {
        const bool isRetryDue = (state.endedAt_ && now >= *state.endedAt_ + kEndedRetryDelay)
                                || (state.unresponsiveSince_
                                    && now >= *state.unresponsiveSince_ + kUnresponsiveRetryDelay);
        if (isRetryDue) {
            state.endedAt_.reset();
            state.unresponsiveSince_.reset();
            state.needsNewEpoch_ = true;
        }
    }
    if (awaitsBackends(now))
        return {};
    const Epoch epoch = nextEpoch(placement_.epoch_, storeGeneration_);
    std::vector<RangeOwner> next = placement_.ranges_;
    bool isChange = replaceRestarted(next, epoch);
    isChange = raiseEpochs(next, epoch) || hasEndedMoves_ || needsReservation_
               || isGenerationWriteDue(now) || isChange;
    const RangePlanner::Backends usable = usableBackends(now);
    std::vector<RangeMove> moves = RangePlanner::assignUnowned(next, load_, usable);
    RangeActions actions;
    const auto startMove = [&](const RangeMove &move) {
        const RangeOwner *from = placement_.find(move.range_.from_);
        const BackendProcess owner = from ? from->owner_ : BackendProcess {};
        actions.emplace_back(RangeMoveDecided { move.range_, owner, move.to_, epoch });
        next = withMove(next, move, epoch);
        isChange = true;
    };
    const std::size_t maxMoves
        = std::max(kMinBalanceMoves, usable.size() / kBackendsPerBalanceMove);
    const bool mayBalance
        = moves.empty() && !isChange && now >= nextBalanceAt_ && movingRanges() < maxMoves;
    std::for_each(moves.begin(), moves.end(), startMove);
    if (mayBalance) {
        nextBalanceAt_ = now + options_.balancePeriod_;
        for (std::size_t i = movingRanges(); i < maxMoves; ++i) {
            moves = RangePlanner::balance(next, load_, usable);
            if (moves.empty())
                break;
            std::for_each(moves.begin(), moves.end(), startMove);
        }
    }
    if (!isChange)
        return {};
    RangeActions writes = write(mergeAdjacent(next), now);
    actions.insert(actions.end(), writes.begin(), writes.end());
    return actions;
}

RangeActions RangeCoordinator::write(std::vector<RangeOwner> ranges, TimePoint now)
{
    RangePlacement next = placement_;
    next.epoch_ = nextEpoch(placement_.epoch_, storeGeneration_);
    next.epoch_.value_ += kReservedEpochs;
    next.roleEpoch_ = roleEpoch_;
    if (isGenerationWriteDue(now))
        next.generation_ = storeGeneration_;
    next.nonce_ = service_.str() + '-' + std::to_string(random_.engine()());
    next.ranges_ = std::move(ranges);
    pendingWrite_ = std::move(next);
    isStoreCallPending_ = true;
    return { WriteRanges { *pendingWrite_, version_ } };
}

} // namespace pimentostage
