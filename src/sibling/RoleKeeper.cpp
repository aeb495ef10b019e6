#include "pimentostage/sibling/RoleKeeper.h"

#include "pimentostage/sibling/HostRanking.h"
#include "pimentostage/sibling/RoleTiming.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A host that is preferred less waits longer, so that usually only one claims a vacant role.
constexpr Duration kRankDelay = std::chrono::milliseconds(300);
// A holder by promises reads its record this often; isAloneWithoutStore() needs to hear of the
// store.
constexpr Duration kReadPeriod = std::chrono::milliseconds(900);
constexpr Duration kReleasePeriod = std::chrono::milliseconds(50);
// The members in the record follow the view after it was stable for this time.
constexpr Duration kMembersDelay = std::chrono::seconds(1);
// A holder gives way to stronger hosts that were in its view for this time.
constexpr Duration kGiveWayDelay = std::chrono::seconds(2);
// A holder that alone cannot reach the store gives way to others after this time.
constexpr Duration kMostTimeWithoutStore = std::chrono::seconds(2);

void append(RoleActions &actions, RoleActions more)
{
    actions.insert(actions.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
}

/// @return whether @p member is known to have stopped, or an operator vouches that it has.
bool hasStopped(const RoleSurroundings &surroundings, const Member &member)
{
    const auto vouched = surroundings.vouchedLost_.find(member.host_);
    const bool isVouchedLost
        = vouched != surroundings.vouchedLost_.end() && member.incarnation_ <= vouched->second;
    return isVouchedLost || surroundings.stopped_.contains(member);
}

} // namespace

RoleKeeper::RoleKeeper(RoleName role, Member self, Random random)
    : role_(std::move(role))
    , self_(std::move(self))
    , random_(random)
{ }

bool RoleKeeper::holds(TimePoint now) const
{
    return phase_ == RolePhase::Holding && authority_.holds(now);
}

std::vector<Member> RoleKeeper::blockedBy(TimePoint now) const
{
    if (phase_ == RolePhase::Idle)
        return missing_;
    const bool isBlocked = phase_ == RolePhase::Succeeding && !succession_->mayAct(now);
    return isBlocked ? succession_->unreleased() : std::vector<Member> {};
}

RoleActions RoleKeeper::tick(const RoleSurroundings &surroundings, TimePoint now)
{
    RoleActions actions;
    if (resigned_)
        return actions;
    findOutPending(actions, now);
    switch (phase_) {
    case RolePhase::Idle:
        append(actions, tickIdle(surroundings, now));
        break;
    case RolePhase::Claiming:
        break;
    case RolePhase::Succeeding:
        append(actions, tickSucceeding(surroundings, now));
        break;
    case RolePhase::Holding:
        append(actions, tickHolding(surroundings, now));
        break;
    }
    return actions;
}

RoleActions RoleKeeper::tickIdle(const RoleSurroundings &surroundings, TimePoint now)
{
    missing_.clear();
    if (!isVacant(surroundings)) {
        vacantSince_.reset();
        return {};
    }
    if (!vacantSince_)
        vacantSince_ = now;
    const auto rank = static_cast<std::int64_t>(rankIn(surroundings));
    RoleActions actions;
    announceStepDown(actions, now);
    const bool isDue = !pending_ && now >= *vacantSince_ + rank * kRankDelay;
    if (!isDue)
        return actions;
    missing_ = missingFor(surroundings);
    if (missing_.empty())
        append(actions, claim(surroundings));
    return actions;
}

// The record still names this host although it acts no more; others may take the role at once.
void RoleKeeper::announceStepDown(RoleActions &actions, TimePoint now)
{
    const bool isNamed = record_ && record_->holder_ == self_ && !record_->released_;
    if (!isNamed || now < nextAnnouncement_)
        return;
    nextAnnouncement_ = now + kConfirmPeriod;
    actions.emplace_back(AnnounceStepDown { record_->epoch_ });
}

bool RoleKeeper::hasSteppedDown(const RoleRecord &record) const
{
    return record.holder_ == steppedDownHolder_ && record.epoch_ <= steppedDownEpoch_;
}

bool RoleKeeper::isVacant(const RoleSurroundings &surroundings) const
{
    if (!record_ || record_->released_ || record_->holder_ == self_ || hasSteppedDown(*record_))
        return true;
    const auto &view = surroundings.view_;
    return std::find(view.begin(), view.end(), record_->holder_) == view.end();
}

// A claim ends the authority of the present holder. A host that cannot reach enough of those who
// promise could not act in its place, as when it alone is cut off from the others; so it leaves
// the record as it is.
std::vector<Member> RoleKeeper::missingFor(const RoleSurroundings &surroundings) const
{
    const auto isReachable = [&](const Member &member) {
        const auto &view = surroundings.view_;
        return std::find(view.begin(), view.end(), member) != view.end()
               || hasStopped(surroundings, member);
    };
    std::vector<Member> missing;
    for (const RoleTerm &term : Succession::openTerms(record_)) {
        const bool isOver
            = term.holder_ == self_ || surroundings.stopped_.contains(term.holder_)
              || (term.holder_ == steppedDownHolder_ && term.epoch_ <= steppedDownEpoch_);
        if (isOver)
            continue;
        std::vector<Member> absent;
        std::remove_copy_if(term.members_.begin(), term.members_.end(), std::back_inserter(absent),
                            isReachable);
        if (absent.size() >= majorityOf(term.members_.size()))
            missing.insert(missing.end(), absent.begin(), absent.end());
    }
    return missing;
}

std::size_t RoleKeeper::rankIn(const RoleSurroundings &surroundings) const
{
    const bool isOwnRecord = record_ && record_->holder_ == self_ && !record_->released_;
    if (isOwnRecord)
        return 0;
    const std::vector<Member> ranked
        = rankedFor(role_, surroundings.view_, surroundings.strongest_);
    const auto found = std::find(ranked.begin(), ranked.end(), self_);
    return static_cast<std::size_t>(found - ranked.begin());
}

std::vector<Member> RoleKeeper::chooseMembers(const RoleSurroundings &surroundings) const
{
    std::vector<Member> members = rankedFor(role_, surroundings.view_, surroundings.strongest_);
    std::erase(members, self_);
    members.insert(members.begin(), self_);
    members.resize(std::min(members.size(), kMostPromisers));
    std::sort(members.begin(), members.end());
    return members;
}

std::string RoleKeeper::newNonce()
{
    return self_.host_.str() + '-' + std::to_string(random_.engine()());
}

RoleActions RoleKeeper::claim(const RoleSurroundings &surroundings)
{
    ours_ = RoleRecord {};
    ours_.role_ = role_;
    ours_.epoch_ = record_ ? record_->epoch_.next() : Epoch { 1 };
    ours_.holder_ = self_;
    ours_.members_ = chooseMembers(surroundings);
    ours_.predecessors_ = Succession::openTerms(record_);
    ours_.nonce_ = newNonce();
    authority_ = HolderAuthority(ours_.members_);
    pending_ = Pending { ours_, version_, record_, false };
    phase_ = RolePhase::Claiming;
    return { WriteRole { ours_, version_ } };
}

void RoleKeeper::findOutPending(RoleActions &actions, TimePoint now)
{
    const bool isUnknown = pending_ && pending_->isAnswered_;
    if (!isUnknown || isReading_ || now < nextFindOut_)
        return;
    nextFindOut_ = now + kConfirmPeriod;
    isReading_ = true;
    actions.emplace_back(ReadRole {});
}

bool RoleKeeper::isPending(const std::string &nonce) const
{
    return pending_ && pending_->record_.nonce_ == nonce;
}

RoleActions RoleKeeper::onWritten(const std::string &nonce, Version version, TimePoint sentAt,
                                  TimePoint now)
{
    if (!isPending(nonce))
        return {};
    version_ = std::max(version_, version);
    return settle(sentAt, now);
}

// The pending write is known to have taken effect.
RoleActions RoleKeeper::settle(TimePoint sentAt, TimePoint now)
{
    const Pending written = std::move(*pending_);
    pending_.reset();
    record_ = written.record_;
    if (phase_ == RolePhase::Holding) {
        ours_ = written.record_;
        authority_.finishChange();
        authority_.onStoreConfirmed(sentAt);
        return {};
    }
    if (written.record_.released_)
        return {};
    phase_ = RolePhase::Succeeding;
    ours_ = written.record_;
    authority_ = HolderAuthority(ours_.members_);
    authority_.onStoreConfirmed(sentAt);
    storeHeardAt_ = now;
    succession_.emplace(written.replaced_, now);
    succession_->onStepDown(self_, ours_.epoch_);
    succession_->onStepDown(steppedDownHolder_, steppedDownEpoch_);
    nextConfirm_ = now;
    nextReleases_ = now;
    return {};
}

RoleActions RoleKeeper::onConflict(const std::string &nonce,
                                   const std::optional<RoleRecord> &current, Version version,
                                   TimePoint sentAt, TimePoint now)
{
    if (!isPending(nonce))
        return {};
    // A lost answer may have been followed by another try of the same write.
    const bool isOurWrite = current && current->nonce_ == nonce;
    if (isOurWrite) {
        version_ = std::max(version_, version);
        return settle(sentAt, now);
    }
    pending_.reset();
    record_ = current;
    version_ = version;
    if (phase_ == RolePhase::Holding) {
        if (!isOurs(current))
            return lose();
        ours_ = *current;
        authority_.startChange(ours_.members_);
        authority_.finishChange();
        return {};
    }
    phase_ = RolePhase::Idle;
    vacantSince_.reset();
    return {};
}

void RoleKeeper::onWriteFailed(const std::string &nonce)
{
    if (isPending(nonce))
        pending_->isAnswered_ = true;
}

void RoleKeeper::onReadFailed()
{
    isReading_ = false;
}

bool RoleKeeper::isOurs(const std::optional<RoleRecord> &record) const
{
    return record && record->holder_ == self_ && record->epoch_ == ours_.epoch_
           && !record->released_;
}

RoleActions RoleKeeper::onRecordRead(const std::optional<RoleRecord> &record, Version version,
                                     TimePoint sentAt, TimePoint now)
{
    isReading_ = false;
    storeHeardAt_ = now;
    RoleActions actions = onRecord(record, version, now);
    if (version < version_)
        return actions;
    const bool isNotWritten = pending_ && pending_->isAnswered_ && version == pending_->expected_;
    if (isNotWritten) {
        // The write may still arrive; onRecord() recognises it by its nonce, and a second claim
        // can take effect only if the first one did not.
        pending_->isAnswered_ = false;
        actions.emplace_back(WriteRole { pending_->record_, pending_->expected_ });
        return actions;
    }
    const bool confirms
        = (phase_ == RolePhase::Holding || phase_ == RolePhase::Succeeding) && isOurs(record);
    if (confirms)
        authority_.onStoreConfirmed(sentAt);
    return actions;
}

RoleActions RoleKeeper::onRecord(const std::optional<RoleRecord> &record, Version version,
                                 TimePoint now)
{
    const bool isNewer = version > version_ || (!record && record_ && version_ == Version {});
    if (!isNewer)
        return {};
    const bool isOurWrite = record && isPending(record->nonce_);
    if (isOurWrite) {
        version_ = version;
        // When the write was applied is unknown; now is later, which only lengthens the wait.
        return settle(now - kStoreAuthority, now);
    }
    record_ = record;
    version_ = version;
    pending_.reset();
    const bool stays
        = phase_ == RolePhase::Idle || (phase_ != RolePhase::Claiming && isOurs(record));
    if (stays)
        return {};
    if (phase_ == RolePhase::Holding)
        return lose();
    phase_ = RolePhase::Idle;
    succession_.reset();
    return {};
}

RoleActions RoleKeeper::lose()
{
    authority_.end();
    succession_.reset();
    // A change of members under the epoch now lost must not bring it back.
    pending_.reset();
    phase_ = RolePhase::Idle;
    vacantSince_.reset();
    membersDifferSince_.reset();
    return { RoleLost { ours_.epoch_ } };
}

void RoleKeeper::confirm(RoleActions &actions, TimePoint now)
{
    if (now < nextConfirm_)
        return;
    nextConfirm_ = now + kConfirmPeriod;
    // Promises renew the authority without a gap; the store is asked less often while they do.
    const bool isReadDue = phase_ != RolePhase::Holding || now >= nextRead_
                           || authority_.until() < now + 3 * kConfirmPeriod / 2;
    if (!isReading_ && isReadDue) {
        nextRead_ = now + kReadPeriod;
        isReading_ = true;
        actions.emplace_back(ReadRole {});
    }
    for (const Member &member : authority_.membersToAsk(now))
        actions.emplace_back(AskPromise { member, ours_.epoch_ });
}

RoleActions RoleKeeper::tickSucceeding(const RoleSurroundings &surroundings, TimePoint now)
{
    RoleActions actions;
    confirm(actions, now);
    // A holder whose process has ended has no authority left to wait out.
    const std::vector<RoleTerm> terms = succession_->terms();
    for (const RoleTerm &term : terms) {
        if (surroundings.stopped_.contains(term.holder_))
            succession_->onHolderStopped(term.holder_);
    }
    for (const Member &member : succession_->unreleased()) {
        if (hasStopped(surroundings, member))
            succession_->onStopped(member, now);
    }
    if (now >= nextReleases_) {
        nextReleases_ = now + kReleasePeriod;
        for (const Member &member : succession_->unreleased())
            actions.emplace_back(AskRelease { member, succession_->replacedEpoch() });
    }
    if (!succession_->mayAct(now) || !authority_.holds(now))
        return actions;
    const bool isFirst = succession_->isFirst();
    phase_ = RolePhase::Holding;
    succession_.reset();
    actions.emplace_back(RoleGained { ours_.epoch_, isFirst });
    return actions;
}

RoleActions RoleKeeper::tickHolding(const RoleSurroundings &surroundings, TimePoint now)
{
    if (!authority_.holds(now) || isAloneWithoutStore(surroundings, now))
        return lose();
    if (!pending_ && isOutranked(surroundings, now))
        return release();
    RoleActions actions;
    confirm(actions, now);
    if (pending_ || !isRecordDue(surroundings, now))
        return actions;
    membersDifferSince_.reset();
    RoleRecord next = ours_;
    next.members_ = chooseMembers(surroundings);
    next.predecessors_.clear();
    next.nonce_ = newNonce();
    authority_.startChange(next.members_);
    pending_ = Pending { next, version_, record_, false };
    actions.emplace_back(WriteRole { next, version_ });
    return actions;
}

// The record has to be written again once the predecessors' terms are over, so that a successor
// need not wait for them, and when other members are to promise.
bool RoleKeeper::isRecordDue(const RoleSurroundings &surroundings, TimePoint now)
{
    if (!ours_.predecessors_.empty())
        return true;
    if (chooseMembers(surroundings) == ours_.members_) {
        membersDifferSince_.reset();
        return false;
    }
    if (!membersDifferSince_)
        membersDifferSince_ = now;
    return now >= *membersDifferSince_ + kMembersDelay;
}

// A weak host took the role while the strong ones were away.
bool RoleKeeper::isOutranked(const RoleSurroundings &surroundings, TimePoint now)
{
    const std::vector<Member> &strongest = surroundings.strongest_;
    const bool isStrong
        = strongest.empty()
          || std::find(strongest.begin(), strongest.end(), self_) != strongest.end();
    if (isStrong) {
        outrankedSince_.reset();
        return false;
    }
    if (!outrankedSince_)
        outrankedSince_ = now;
    return now >= *outrankedSince_ + kGiveWayDelay;
}

// Promises keep the holder in office, but without the store it cannot move anything.
bool RoleKeeper::isAloneWithoutStore(const RoleSurroundings &surroundings, TimePoint now) const
{
    return surroundings.othersHearStore_ && now > storeHeardAt_ + kMostTimeWithoutStore;
}

void RoleKeeper::onPromise(const Member &giver, Epoch epoch, TimePoint sentAt, TimePoint now)
{
    const bool isWanted = phase_ == RolePhase::Holding || phase_ == RolePhase::Succeeding;
    if (isWanted && epoch == ours_.epoch_)
        authority_.onPromise(giver, sentAt, now);
}

void RoleKeeper::onReleased(const Member &giver, Epoch epoch, Duration remaining, TimePoint now)
{
    const bool isWanted = phase_ == RolePhase::Succeeding && succession_->replacedEpoch() == epoch;
    if (isWanted)
        succession_->onReleased(giver, remaining, now);
}

void RoleKeeper::onStepDown(const Member &holder, Epoch epoch)
{
    steppedDownHolder_ = holder;
    steppedDownEpoch_ = epoch;
    if (phase_ == RolePhase::Succeeding)
        succession_->onStepDown(holder, epoch);
}

RoleActions RoleKeeper::resign()
{
    resigned_ = true;
    return release();
}

RoleActions RoleKeeper::release()
{
    const bool wasHolding = phase_ == RolePhase::Holding;
    const bool isRecordOurs = isOurs(record_);
    RoleActions actions;
    if (wasHolding)
        actions = lose();
    phase_ = RolePhase::Idle;
    outrankedSince_.reset();
    succession_.reset();
    pending_.reset();
    if (!isRecordOurs)
        return actions;
    actions.emplace_back(AnnounceStepDown { record_->epoch_ });
    RoleRecord released = *record_;
    released.released_ = true;
    released.nonce_ = newNonce();
    actions.emplace_back(WriteRole { released, version_ });
    return actions;
}

} // namespace pimentostage
