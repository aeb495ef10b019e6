#include "pimentostage/backend/RangeCoordinator.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A process that was found to have ended is tried again after this time, under a new epoch: its
// entry may not tell processes apart.
constexpr Duration kGoneTime = std::chrono::seconds(2);
// A silent process without ranges is trusted again after this time.
constexpr Duration kMostDistrust = std::chrono::seconds(5);
constexpr Duration kStoreRetry = std::chrono::milliseconds(200);
constexpr Duration kDecayPeriod = std::chrono::milliseconds(250);
constexpr std::uint32_t kMostRetryDoublings = 3;
// Moves for balance under way at once: a hot stretch is spread over several back ends in one pause,
// and one range whose work takes long to end does not keep the others.
constexpr std::size_t kLeastBalanceMoves = 3;
// One for this many back ends in a large service; some 17 of 107 bear the hottest two fifths.
constexpr std::size_t kBackendsPerBalanceMove = 6;

bool isAnswer(RangeOutcome outcome)
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
    decayedAt_ = now;
    isCallOut_ = true;
    return { ReadRanges {} };
}

void RangeCoordinator::end()
{
    phase_ = Phase::Idle;
    placement_ = RangePlacement {};
    placement_.service_ = service_;
    version_ = Version {};
    pending_.reset();
    isCallOut_ = false;
    hasEndedMoves_ = false;
    states_.clear();
    holders_.clear();
}

Duration RangeCoordinator::stretched(Duration hold) const
{
    return fromSeconds(toSeconds(hold) * (1 + options_.clockError_));
}

RangeCoordinator::Holder &RangeCoordinator::holder(const BackendProcess &process)
{
    return holders_[process];
}

RangeCoordinator::RowState *RangeCoordinator::stateOf(const KeyRange &range, OrderNumber number)
{
    const auto found = states_.find(range);
    const bool isOpen = found != states_.end() && found->second.openOrder_ == number;
    return isOpen ? &found->second : nullptr;
}

std::size_t RangeCoordinator::movingRanges() const
{
    return static_cast<std::size_t>(
        std::count_if(placement_.ranges_.begin(), placement_.ranges_.end(),
                      [](const RangeOwner &row) { return !row.previous_.isNobody(); }));
}

RangeActions RangeCoordinator::onRead(const std::optional<RangePlacement> &placement,
                                      Version version, TimePoint now)
{
    isCallOut_ = false;
    if (phase_ == Phase::Idle)
        return {};
    if (phase_ == Phase::Reading) {
        version_ = version;
        adoptPlacement(placement, now);
        phase_ = Phase::Serving;
        return tick(now);
    }
    // A write without an answer: it took effect, or it may still do so and is sent again.
    const bool isOurs = pending_ && placement && placement->nonce_ == pending_->nonce_;
    if (isOurs)
        return onWritten(version, now);
    if (pending_ && version == version_) {
        isCallOut_ = true;
        return { WriteRanges { *pending_, version_ } };
    }
    // Somebody else wrote: another coordinator. What it wrote is read as at the beginning.
    return begin(roleEpoch_, now);
}

void RangeCoordinator::adoptPlacement(const std::optional<RangePlacement> &placement, TimePoint now)
{
    needsNewEpochs_ = true;
    // The predecessor's last order may have been on its way when this host took over.
    const TimePoint until = now + options_.orderTimeout_ + stretched(options_.hold_);
    if (!placement) {
        placement_.ranges_ = { RangeOwner { { 0, kLastOrderedKey }, {}, {}, {} } };
        return;
    }
    placement_ = *placement;
    for (const RangeOwner &row : placement_.ranges_) {
        for (const BackendProcess &process : { row.owner_, row.previous_ }) {
            if (!process.isNobody())
                holder(process).ledger_.assumeGranted(row.range_, until);
        }
    }
    nextBalance_ = until;
}

void RangeCoordinator::onReadFailed(TimePoint now)
{
    isCallOut_ = false;
    nextTry_ = now + kStoreRetry;
}

RangeActions RangeCoordinator::onWritten(Version version, TimePoint now)
{
    isCallOut_ = false;
    if (phase_ != Phase::Serving || !pending_)
        return {};
    version_ = version;
    const RangePlacement written = std::move(*pending_);
    pending_.reset();
    needsNewEpochs_ = false;
    for (auto &[process, known] : holders_) {
        known.needsNewEpoch_ = known.needsNewEpoch_ && !known.isEpochPending_;
        known.isEpochPending_ = false;
    }
    // Moves that ended while the write was under way have ended all the same.
    std::vector<RangeOwner> ranges = written.ranges_;
    bool isNewer = false;
    for (RangeOwner &row : ranges) {
        const auto same = std::find_if(
            placement_.ranges_.begin(), placement_.ranges_.end(), [&](const RangeOwner &known) {
                return known.range_ == row.range_ && known.owner_ == row.owner_
                       && known.epoch_ == row.epoch_;
            });
        const bool hasEnded = same != placement_.ranges_.end() && same->previous_.isNobody()
                              && !row.previous_.isNobody();
        if (hasEnded)
            row.previous_ = BackendProcess {};
        isNewer = isNewer || hasEnded;
    }
    hasEndedMoves_ = isNewer;
    setRanges(std::move(ranges));
    placement_.epoch_ = written.epoch_;
    placement_.roleEpoch_ = written.roleEpoch_;
    placement_.nonce_ = written.nonce_;
    return tick(now);
}

RangeActions RangeCoordinator::onConflict(TimePoint now)
{
    isCallOut_ = false;
    if (phase_ != Phase::Serving)
        return {};
    // Ours, if its answer was lost, or another's: only a read tells.
    nextTry_ = now;
    isCallOut_ = true;
    return { ReadRanges {} };
}

void RangeCoordinator::onWriteFailed(TimePoint now)
{
    isCallOut_ = false;
    nextTry_ = now + kStoreRetry;
}

// Rows that stay as they are keep what is known of them.
void RangeCoordinator::setRanges(std::vector<RangeOwner> ranges)
{
    std::map<KeyRange, RowState> states;
    for (const RangeOwner &row : ranges) {
        const auto known = std::find(placement_.ranges_.begin(), placement_.ranges_.end(), row);
        const auto state = states_.find(row.range_);
        const bool stays = known != placement_.ranges_.end() && state != states_.end();
        states[row.range_] = stays ? state->second : RowState {};
    }
    states_ = std::move(states);
    placement_.ranges_ = std::move(ranges);
}

RangeActions RangeCoordinator::tick(TimePoint now)
{
    if (phase_ == Phase::Idle)
        return {};
    if (phase_ == Phase::Reading) {
        if (isCallOut_ || now < nextTry_)
            return {};
        isCallOut_ = true;
        return { ReadRanges {} };
    }
    if (now >= decayedAt_ + kDecayPeriod) {
        load_.decay(now - decayedAt_);
        decayedAt_ = now;
    }
    RangeActions actions;
    // A predecessor's epochs are not renewed, so that its late orders are refused.
    if (!needsNewEpochs_) {
        for (RangeOwner &row : placement_.ranges_)
            serve(row, actions, now);
    }
    RangeActions more = plan(now);
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
    return actions;
}

void RangeCoordinator::serve(RangeOwner &row, RangeActions &actions, TimePoint now)
{
    RowState &state = states_[row.range_];
    if (!row.previous_.isNobody()) {
        serveMove(row, state, actions, now);
        if (!row.previous_.isNobody())
            return;
    }
    if (row.owner_.isNobody() || state.openOrder_ != 0 || now < state.nextOrder_)
        return;
    Holder &owner = holder(row.owner_);
    if (owner.goneAt_ || owner.needsNewEpoch_ || owner.hasOpenGrant_)
        return;
    owner.hasOpenGrant_ = true;
    SendRangeGrant grant;
    grant.number_ = ++lastOrder_;
    grant.to_ = row.owner_;
    // One that was silent may be lost: a long hold would keep its keys from the next owner.
    const Duration hold = owner.silentSince_ ? options_.trialHold_ : options_.hold_;
    grant.order_ = RangeGrantOrder { row.range_, row.epoch_, hold, state.handover_ };
    state.openOrder_ = grant.number_;
    owner.ledger_.onSent(grant.number_, row.range_, stretched(hold));
    actions.emplace_back(std::move(grant));
}

void RangeCoordinator::serveMove(RangeOwner &row, RowState &state, RangeActions &actions,
                                 TimePoint now)
{
    Holder &previous = holder(row.previous_);
    if (!previous.ledger_.mayHold(row.range_, now)) {
        row.previous_ = BackendProcess {};
        state.openOrder_ = 0;
        state.nextOrder_ = now;
        hasEndedMoves_ = true;
        return;
    }
    if (state.isReleased_ || state.openOrder_ != 0 || now < state.nextOrder_)
        return;
    SendRangeRelease release;
    release.number_ = ++lastOrder_;
    release.to_ = row.previous_;
    release.order_ = RangeReleaseOrder { row.range_, row.epoch_ };
    state.openOrder_ = release.number_;
    actions.emplace_back(std::move(release));
}

void RangeCoordinator::noteOutcome(const BackendProcess &process, RangeOutcome outcome,
                                   TimePoint now)
{
    Holder &known = holder(process);
    if (isAnswer(outcome)) {
        known.silentSince_.reset();
        known.failures_ = 0;
        if (outcome == RangeOutcome::StaleEpoch) {
            known.needsNewEpoch_ = true;
            known.isEpochPending_ = false;
        }
        return;
    }
    ++known.failures_;
    known.needsNewEpoch_ = true;
    known.isEpochPending_ = false;
    if (!known.silentSince_)
        known.silentSince_ = now;
    if (outcome != RangeOutcome::ProcessGone)
        return;
    known.goneAt_ = now;
    known.ledger_.clear();
}

RangeActions RangeCoordinator::onGranted(const SendRangeGrant &sent, RangeOutcome outcome,
                                         TimePoint now)
{
    if (phase_ != Phase::Serving)
        return {};
    holder(sent.to_).hasOpenGrant_ = false;
    // A process that restarted meanwhile has taken the order's place over.
    for (auto &[process, known] : holders_)
        known.ledger_.onOutcome(sent.number_, outcome, now);
    noteOutcome(sent.to_, outcome, now);
    RowState *state = stateOf(sent.order_.range_, sent.number_);
    if (state) {
        state->openOrder_ = 0;
        if (outcome == RangeOutcome::Accepted) {
            state->handover_.clear();
            // Spread, so that the grants of many ranges do not all fall on one moment.
            const double least = 0.8;
            const double spread = 0.2;
            state->nextOrder_
                = now
                  + fromSeconds(toSeconds(options_.renewal_) * (least + spread * random_.unit()));
        } else {
            const std::uint32_t doublings
                = std::min(holder(sent.to_).failures_, kMostRetryDoublings);
            state->nextOrder_ = now + options_.retry_ * (1U << doublings) / 2;
        }
    }
    return tick(now);
}

RangeActions RangeCoordinator::onReleased(const SendRangeRelease &sent, RangeOutcome outcome,
                                          const std::string &handover, TimePoint now)
{
    if (phase_ != Phase::Serving)
        return {};
    noteOutcome(sent.to_, outcome, now);
    if (outcome == RangeOutcome::Accepted)
        holder(sent.to_).ledger_.onReleased(sent.order_.range_);
    RowState *state = stateOf(sent.order_.range_, sent.number_);
    if (state) {
        state->openOrder_ = 0;
        state->nextOrder_ = now + options_.retry_;
        if (outcome == RangeOutcome::Accepted) {
            state->isReleased_ = true;
            state->handover_ = handover;
        }
    }
    return tick(now);
}

bool RangeCoordinator::isUsable(const BackendProcess &process, TimePoint now) const
{
    const auto facts = backends_.find(process);
    if (facts == backends_.end() || !facts->second.takesNewWork_)
        return false;
    const auto known = holders_.find(process);
    if (known == holders_.end())
        return true;
    const Holder &state = known->second;
    if (state.goneAt_)
        return false;
    return !state.silentSince_ || now < *state.silentSince_ + options_.mostSilence_;
}

RangePlanner::Backends RangeCoordinator::usableBackends(TimePoint now) const
{
    RangePlanner::Backends usable;
    for (const auto &[process, facts] : backends_) {
        if (isUsable(process, now))
            usable[process] = facts;
    }
    return usable;
}

bool RangeCoordinator::awaitsBackends(TimePoint now)
{
    const bool isFirst = std::all_of(placement_.ranges_.begin(), placement_.ranges_.end(),
                                     [](const RangeOwner &row) { return row.owner_.isNobody(); });
    if (!isFirst)
        return false;
    if (backends_.size() != gathered_) {
        gathered_ = backends_.size();
        gatheredAt_ = now;
    }
    return now < gatheredAt_ + options_.gathering_;
}

std::optional<BackendProcess> RangeCoordinator::successorOf(const BackendProcess &process) const
{
    const auto next = backends_.upper_bound(process);
    const bool isSuccessor = next != backends_.end() && next->first.name_ == process.name_;
    return isSuccessor ? std::optional(next->first) : std::nullopt;
}

// A process under the name of an earlier one stands in its place: it may hold what was meant for
// the earlier one, and gets its ranges under a higher epoch.
bool RangeCoordinator::followRestarts(std::vector<RangeOwner> &ranges, Epoch epoch)
{
    bool isChange = false;
    for (RangeOwner &row : ranges) {
        for (BackendProcess *process : { &row.owner_, &row.previous_ }) {
            const auto successor = successorOf(*process);
            if (process->isNobody() || !successor)
                continue;
            holder(*successor).ledger_.merge(holder(*process).ledger_);
            holder(*process).ledger_.clear();
            *process = *successor;
            row.epoch_ = epoch;
            isChange = true;
        }
        if (row.previous_ == row.owner_)
            row.previous_ = BackendProcess {};
    }
    return isChange;
}

// A process that lost touch, or stands in another's place, gets its ranges under a higher epoch.
bool RangeCoordinator::renewEpochs(std::vector<RangeOwner> &ranges, Epoch epoch, TimePoint now)
{
    bool isChange = false;
    for (RangeOwner &row : ranges) {
        if (row.owner_.isNobody())
            continue;
        const auto known = holders_.find(row.owner_);
        const bool isUngranted = !row.previous_.isNobody() && !needsNewEpochs_;
        if (isUngranted)
            continue;
        const bool needsNew = needsNewEpochs_
                              || (known != holders_.end() && known->second.needsNewEpoch_
                                  && isUsable(row.owner_, now));
        if (!needsNew)
            continue;
        row.epoch_ = epoch;
        isChange = true;
    }
    return isChange;
}

RangeActions RangeCoordinator::plan(TimePoint now)
{
    if (isCallOut_ || now < nextTry_)
        return {};
    if (pending_) {
        isCallOut_ = true;
        return { ReadRanges {} };
    }
    for (auto &[process, known] : holders_) {
        const bool isTriedAgain
            = (known.goneAt_ && now >= *known.goneAt_ + kGoneTime)
              || (known.silentSince_ && now >= *known.silentSince_ + kMostDistrust);
        if (isTriedAgain) {
            known.goneAt_.reset();
            known.silentSince_.reset();
            known.needsNewEpoch_ = true;
        }
    }
    if (awaitsBackends(now))
        return {};
    const Epoch epoch = placement_.epoch_.next();
    std::vector<RangeOwner> next = placement_.ranges_;
    bool isChange = followRestarts(next, epoch);
    isChange = renewEpochs(next, epoch, now) || hasEndedMoves_ || isChange;
    const RangePlanner::Backends usable = usableBackends(now);
    std::vector<RangeMove> moves = RangePlanner::adopt(next, load_, usable);
    RangeActions actions;
    const auto make = [&](const RangeMove &move) {
        const RangeOwner *from = placement_.find(move.range_.from_);
        const BackendProcess owner = from ? from->owner_ : BackendProcess {};
        actions.emplace_back(RangeMoveDecided { move.range_, owner, move.to_, epoch });
        next = withMove(next, move, epoch);
        isChange = true;
    };
    const std::size_t mostMoves
        = std::max(kLeastBalanceMoves, usable.size() / kBackendsPerBalanceMove);
    const bool mayBalance
        = moves.empty() && !isChange && now >= nextBalance_ && movingRanges() < mostMoves;
    std::for_each(moves.begin(), moves.end(), make);
    if (mayBalance) {
        nextBalance_ = now + options_.balancePeriod_;
        for (std::size_t i = movingRanges(); i < mostMoves; ++i) {
            moves = RangePlanner::balance(next, load_, usable);
            if (moves.empty())
                break;
            std::for_each(moves.begin(), moves.end(), make);
        }
    }
    if (!isChange)
        return {};
    RangeActions writes = write(joined(next), now);
    actions.insert(actions.end(), writes.begin(), writes.end());
    return actions;
}

RangeActions RangeCoordinator::write(std::vector<RangeOwner> ranges, TimePoint now)
{
    RangePlacement next = placement_;
    next.epoch_ = placement_.epoch_.next();
    next.roleEpoch_ = roleEpoch_;
    next.nonce_ = service_.str() + '-' + std::to_string(random_.engine()());
    next.ranges_ = std::move(ranges);
    for (auto &[process, known] : holders_)
        known.isEpochPending_ = isUsable(process, now);
    pending_ = std::move(next);
    isCallOut_ = true;
    return { WriteRanges { *pending_, version_ } };
}

} // namespace pimentostage
