#include "pimentostage/sibling/RoleElector.h"

#include "pimentostage/platform/Generation.h"
#include "pimentostage/sibling/HostRanking.h"
#include "pimentostage/sibling/RoleTiming.h"
#include "pimentostage/sibling/TermRules.h"

#include <algorithm>
#include <iterator>

namespace pimentostage {

namespace {

// Hosts with a lower preference wait longer, so that usually only one claims a vacant role.
constexpr Duration kClaimDelayPerRank = std::chrono::milliseconds(300);
// A holder whose authority is renewed by promises still reads its record once per period, because
// isOnlyHostWithoutStore() depends on replies from the store.
constexpr Duration kReadPeriod = std::chrono::milliseconds(900);
constexpr Duration kReleaseRequestPeriod = std::chrono::milliseconds(50);
// The members in the record are replaced after they differed from those of chooseMembers() for this
// time.
constexpr Duration kMembersChangeDelay = std::chrono::seconds(1);
// A holder yields to hosts with more capacity that were in its view for this time.
constexpr Duration kYieldDelay = std::chrono::seconds(2);
// After the store was restored, time for the holder of an undone term to write its record again.
constexpr Duration kUndoneClaimDelay = std::chrono::milliseconds(1500);
// A host that is cut off only from the others may challenge a holder that answers. Together with
// the wait for the next holder, this stays within the platform's recovery bound of 15 s.
constexpr Duration kChallengePeriod = std::chrono::seconds(2);
// Number of preferred hosts that look for the record in the store, after it was restored or while
// the record has a challenger.
constexpr std::size_t kRecordReaders = 2;

void append(RoleActions &actions, RoleActions added)
{
    actions.insert(actions.end(), std::make_move_iterator(added.begin()),
                   std::make_move_iterator(added.end()));
}

/// @return whether @p member is known to have stopped or was confirmed lost by an operator.
bool hasStopped(const RoleContext &context, const Member &member)
{
    const auto confirmed = context.confirmedLost_.find(member.host_);
    const bool isConfirmedLost
        = confirmed != context.confirmedLost_.end() && member.incarnation_ <= confirmed->second;
    return isConfirmedLost || context.stopped_.contains(member);
}

} // namespace

// A released record is not waited for.
const RoleElector::CompletionRow RoleElector::kCompletions[] = {
    { RoleWrite::Claim, &RoleElector::completeClaim },
    { RoleWrite::Change, &RoleElector::completeChange },
    { RoleWrite::Challenge, &RoleElector::completeChallenge },
};

RoleElector::RoleElector(RoleName role, Member self, Random random)
    : role_(std::move(role))
    , self_(std::move(self))
    , random_(random)
{ }

bool RoleElector::holds(TimePoint now) const
{
    return phase_ == RolePhase::Holding && authority_.holds(now);
}

std::vector<Member> RoleElector::blockedBy(TimePoint now) const
{
    if (phase_ == RolePhase::Idle)
        return missingMembers_;
    const bool isBlocked = phase_ == RolePhase::Succeeding && !succession_->mayAct(now);
    return isBlocked ? succession_->unreleasedMembers() : std::vector<Member> {};
}

RoleActions RoleElector::tick(const RoleContext &context, TimePoint now)
{
    RoleActions actions;
    if (resigned_)
        return actions;
    storeGeneration_
        = std::max({ storeGeneration_, context.storeGeneration_, generationOf(version_) });
    resolvePendingWrite(actions, now);
    switch (phase_) {
    case RolePhase::Idle:
        append(actions, tickIdle(context, now));
        break;
    case RolePhase::Claiming:
        break;
    case RolePhase::Succeeding:
        append(actions, tickSucceeding(context, now));
        break;
    case RolePhase::Holding:
        append(actions, tickHolding(context, now));
        break;
    }
    return actions;
}

RoleActions RoleElector::tickIdle(const RoleContext &context, TimePoint now)
{
    missingMembers_.clear();
    RoleActions actions;
    readRestoredRecord(actions, context, now);
    if (!isVacant(context, now)) {
        vacantSince_.reset();
        return actions;
    }
    if (!vacantSince_)
        vacantSince_ = now;
    const auto rank = static_cast<std::int64_t>(rankIn(context));
    announceStepDown(actions, now);
    const Duration delay
        = rank * kClaimDelayPerRank + (mayHaveUndoneTerms() ? kUndoneClaimDelay : Duration::zero());
    const bool isDue = !pendingWrite_ && now >= *vacantSince_ + delay;
    if (!isDue)
        return actions;
    const bool isUnanswered = isChallengeUnanswered(context, now);
    missingMembers_
        = membersMissingForClaim(context, isUnanswered ? &quorumAfterwards : &quorumOnPromises);
    if (!isUnanswered)
        readChallengedRecord(actions, context, now);
    if (missingMembers_.empty())
        append(actions, claim(context, now));
    else if (!isChallenged() && now >= nextChallengeAt_
             && membersMissingForClaim(context, &quorumAfterwards).empty())
        append(actions, challenge(now));
    return actions;
}

// The record still names this host as holder although it no longer acts. The announcement lets
// other hosts claim the role without waiting.
void RoleElector::announceStepDown(RoleActions &actions, TimePoint now)
{
    const bool isNamed = record_ && record_->holder_ == self_ && !record_->released_;
    if (!isNamed || now < nextAnnouncementAt_)
        return;
    nextAnnouncementAt_ = now + kRenewalPeriod;
    actions.emplace_back(AnnounceStepDown { record_->epoch_ });
}

bool RoleElector::hasSteppedDown(const RoleRecord &record) const
{
    return record.holder_ == steppedDownHolder_ && record.epoch_ <= steppedDownEpoch_;
}

// Other hosts may know a newer record that was undone, and pass it on; the holder that it names and
// the one in the store would each take the other for the holder.
void RoleElector::readRestoredRecord(RoleActions &actions, const RoleContext &context,
                                     TimePoint now)
{
    if (!mayHaveUndoneTerms()) {
        undoneSince_.reset();
        return;
    }
    if (!undoneSince_)
        undoneSince_ = now;
    const bool isInStore = generationOf(version_) == storeGeneration_;
    if (isInStore || isReading_ || now < nextReadAt_ || rankIn(context) >= kRecordReaders)
        return;
    nextReadAt_ = now + kReadPeriod;
    isReading_ = true;
    actions.emplace_back(ReadRole {});
}

bool RoleElector::isVacant(const RoleContext &context, TimePoint now) const
{
    // Neither the holder of an undone term nor a successor has written the record again.
    if (undoneSince_ && now >= *undoneSince_ + kUndoneTermDuration + kUndoneClaimDelay)
        return true;
    if (!record_ || record_->released_ || record_->holder_ == self_ || hasSteppedDown(*record_))
        return true;
    const auto &view = context.view_;
    return std::find(view.begin(), view.end(), record_->holder_) == view.end();
}

bool RoleElector::mayHaveUndoneTerms() const
{
    const Generation listed = record_ ? record_->generation_ : Generation {};
    return listed < storeGeneration_;
}

bool RoleElector::precedesOwnRecord(const std::optional<RoleRecord> &record, Version version) const
{
    if (generationOf(version) <= generationOf(version_))
        return false;
    return !record || (record->epoch_ <= ownRecord_.epoch_ && record->nonce_ != ownRecord_.nonce_);
}

bool RoleElector::isChallengeUnanswered(const RoleContext &context, TimePoint now) const
{
    if (!challengedSince_)
        return false;
    const auto rank = static_cast<std::int64_t>(rankIn(context));
    return now >= *challengedSince_ + kClockDrift.stretched(kMaxTimeOnPromises)
                      + rank * kClaimDelayPerRank;
}

// The record may have been replaced since; a wait for the answer to a challenge that is no longer
// in the store would be in vain.
void RoleElector::readChallengedRecord(RoleActions &actions, const RoleContext &context,
                                       TimePoint now)
{
    const bool isDue = isChallenged() && !isReading_ && now >= nextReadAt_;
    if (!isDue || rankIn(context) >= kRecordReaders)
        return;
    nextReadAt_ = now + kChallengePeriod;
    isReading_ = true;
    actions.emplace_back(ReadRole {});
}

// A claim ends the authority of the current holder. A host that cannot reach enough voters of the
// open terms, for instance because it is isolated from the other hosts, could not act after its
// claim, so it does not make one.
std::vector<Member> RoleElector::membersMissingForClaim(
    const RoleContext &context, std::size_t (*quorumOf)(TermRule rule, std::size_t members)) const
{
    const auto isReachable = [&](const Member &member) {
        const auto &view = context.view_;
        return std::find(view.begin(), view.end(), member) != view.end()
               || hasStopped(context, member);
    };
    std::vector<Member> missing;
    for (const RoleTerm &term : Succession::openTerms(record_)) {
        const bool hasEnded
            = term.holder_ == self_ || context.stopped_.contains(term.holder_)
              || (term.holder_ == steppedDownHolder_ && term.epoch_ <= steppedDownEpoch_);
        if (hasEnded)
            continue;
        std::vector<Member> absent;
        std::remove_copy_if(term.members_.begin(), term.members_.end(), std::back_inserter(absent),
                            isReachable);
        if (absent.size() >= quorumOf(term.rule_, term.members_.size()))
            missing.insert(missing.end(), absent.begin(), absent.end());
    }
    return missing;
}

std::size_t RoleElector::rankIn(const RoleContext &context) const
{
    const bool isNamedHolder = record_ && record_->holder_ == self_ && !record_->released_;
    if (isNamedHolder)
        return 0;
    const std::vector<Member> ranked = rankedFor(role_, context.view_, context.highCapacity_);
    const auto found = std::find(ranked.begin(), ranked.end(), self_);
    return static_cast<std::size_t>(found - ranked.begin());
}

std::vector<Member> RoleElector::chooseMembers(const RoleContext &context) const
{
    std::vector<Member> members = rankedFor(role_, context.view_, context.highCapacity_);
    std::erase(members, self_);
    members.insert(members.begin(), self_);
    members.resize(std::min(members.size(), kMaxVoters));
    std::sort(members.begin(), members.end());
    return members;
}

TermRule RoleElector::chooseRule(const RoleContext &context, const std::vector<Member> &members)
{
    return context.boundsTerms_ ? ruleFor(members.size(), context.fleetSize_) : TermRule::Majority;
}

std::string RoleElector::newNonce()
{
    return self_.host_.str() + '-' + std::to_string(random_.engine()());
}

void RoleElector::setRecord(const std::optional<RoleRecord> &record, TimePoint now)
{
    record_ = record;
    challengedSince_ = isChallenged() ? std::optional(now) : std::nullopt;
}

RoleActions RoleElector::write(RoleRecord record, RoleWrite purpose, TimePoint now)
{
    record.nonce_ = newNonce();
    pendingWrite_ = PendingWrite {
        record, version_, purpose, now, record_, challengedSince_, mayHaveUndoneTerms(), false
    };
    return { WriteRole { std::move(record), version_, purpose } };
}

// The holder, if it is in touch with the store, does not take a record with a challenger for its
// confirmation. So the last confirmation that any holder got was requested before this write.
RoleActions RoleElector::challenge(TimePoint now)
{
    nextChallengeAt_ = now + kChallengePeriod;
    RoleRecord challenged = *record_;
    challenged.challenger_ = self_.host_;
    return write(std::move(challenged), RoleWrite::Challenge, now);
}

RoleActions RoleElector::answerChallenge(TimePoint now)
{
    RoleRecord next = ownRecord_;
    next.challenger_ = HostName();
    return write(std::move(next), RoleWrite::Change, now);
}

RoleActions RoleElector::changeRecord(const RoleContext &context, TimePoint now)
{
    membersDifferSince_.reset();
    RoleRecord next = ownRecord_;
    next.members_ = chooseMembers(context);
    next.rule_ = chooseRule(context, next.members_);
    next.predecessors_.clear();
    next.generation_ = storeGeneration_;
    next.challenger_ = HostName();
    authority_.startReconfiguration(next.members_, next.rule_);
    return write(std::move(next), RoleWrite::Change, now);
}

RoleActions RoleElector::claim(const RoleContext &context, TimePoint now)
{
    ownRecord_ = RoleRecord {};
    ownRecord_.role_ = role_;
    ownRecord_.epoch_ = nextEpoch(record_ ? record_->epoch_ : Epoch {}, storeGeneration_);
    // Only once this host may act have all terms ended that its record does not list.
    ownRecord_.generation_ = record_ ? record_->generation_ : Generation {};
    ownRecord_.holder_ = self_;
    ownRecord_.members_ = chooseMembers(context);
    ownRecord_.rule_ = chooseRule(context, ownRecord_.members_);
    ownRecord_.predecessors_ = Succession::openTerms(record_);
    phase_ = RolePhase::Claiming;
    RoleActions actions = write(ownRecord_, RoleWrite::Claim, now);
    ownRecord_ = pendingWrite_->record_;
    return actions;
}

void RoleElector::resolvePendingWrite(RoleActions &actions, TimePoint now)
{
    const bool isUnknown = pendingWrite_ && pendingWrite_->isOutcomeUnknown_;
    if (!isUnknown || isReading_ || now < nextPendingReadAt_)
        return;
    nextPendingReadAt_ = now + kRenewalPeriod;
    isReading_ = true;
    actions.emplace_back(ReadRole {});
}

bool RoleElector::isPendingWrite(const std::string &nonce) const
{
    return pendingWrite_ && pendingWrite_->record_.nonce_ == nonce;
}

RoleActions RoleElector::onWritten(const std::string &nonce, Version version, TimePoint sentAt,
                                   TimePoint now)
{
    if (!isPendingWrite(nonce))
        return {};
    version_ = std::max(version_, version);
    completeWrite(sentAt, now);
    return {};
}

// Called once the pending write is known to have taken effect.
void RoleElector::completeWrite(TimePoint sentAt, TimePoint now)
{
    const PendingWrite written = std::move(*pendingWrite_);
    pendingWrite_.reset();
    setRecord(written.record_, now);
    const auto row = std::find_if(
        std::begin(kCompletions), std::end(kCompletions),
        [&](const CompletionRow &candidate) { return candidate.purpose_ == written.purpose_; });
    if (row != std::end(kCompletions))
        (this->*row->complete_)(written, sentAt, now);
}

void RoleElector::completeClaim(const PendingWrite &written, TimePoint sentAt, TimePoint now)
{
    phase_ = RolePhase::Succeeding;
    ownRecord_ = written.record_;
    authority_ = HolderAuthority(ownRecord_.members_, ownRecord_.rule_);
    authority_.onStoreConfirmed(sentAt);
    lastStoreReplyAt_ = now;
    succession_.emplace(written.replacedRecord_, written.mayHaveUndoneTerms_, now,
                        written.challengedSince_);
    succession_->onStepDown(self_, ownRecord_.epoch_);
    succession_->onStepDown(steppedDownHolder_, steppedDownEpoch_);
    nextRenewalAt_ = now;
    nextReleaseRequestsAt_ = now;
}

void RoleElector::completeChange(const PendingWrite &written, TimePoint sentAt, TimePoint)
{
    ownRecord_ = written.record_;
    authority_.finishReconfiguration();
    authority_.onStoreConfirmed(sentAt);
}

void RoleElector::completeChallenge(const PendingWrite &, TimePoint, TimePoint) { }

RoleActions RoleElector::onConflict(const std::string &nonce,
                                    const std::optional<RoleRecord> &current, Version version,
                                    TimePoint sentAt, TimePoint now)
{
    if (!isPendingWrite(nonce))
        return {};
    // The write may have been retried after a lost reply, and the first attempt took effect.
    const bool isOwnWrite = current && current->nonce_ == nonce;
    if (isOwnWrite) {
        version_ = std::max(version_, version);
        completeWrite(sentAt, now);
        return {};
    }
    pendingWrite_.reset();
    const bool isUndone = precedesOwnRecord(current, version);
    setRecord(current, now);
    version_ = version;
    undoneSince_.reset();
    if (phase_ == RolePhase::Holding && isUndone)
        return {};
    if (phase_ == RolePhase::Holding) {
        if (!isOwnRecord(current))
            return loseRole();
        adoptOwnRecord(*current);
        return {};
    }
    phase_ = RolePhase::Idle;
    vacantSince_.reset();
    return {};
}

void RoleElector::adoptOwnRecord(const RoleRecord &record)
{
    ownRecord_ = record;
    authority_.startReconfiguration(ownRecord_.members_, ownRecord_.rule_);
    authority_.finishReconfiguration();
}

void RoleElector::onWriteFailed(const std::string &nonce)
{
    if (isPendingWrite(nonce))
        pendingWrite_->isOutcomeUnknown_ = true;
}

void RoleElector::onReadFailed()
{
    isReading_ = false;
}

bool RoleElector::isOwnRecord(const std::optional<RoleRecord> &record) const
{
    return record && record->holder_ == self_ && record->epoch_ == ownRecord_.epoch_
           && !record->released_;
}

RoleActions RoleElector::onRecordRead(const std::optional<RoleRecord> &record, Version version,
                                      TimePoint sentAt, TimePoint now)
{
    isReading_ = false;
    lastStoreReplyAt_ = now;
    RoleActions actions = onRecord(record, version, now);
    if (version < version_)
        return actions;
    const bool isNotWritten
        = pendingWrite_ && pendingWrite_->isOutcomeUnknown_ && version == pendingWrite_->expected_;
    if (isNotWritten) {
        // The first attempt may still reach the store. onRecord() recognises it by its nonce, and
        // the retry takes effect only if the first attempt did not, because both expect the same
        // version.
        pendingWrite_->isOutcomeUnknown_ = false;
        actions.emplace_back(WriteRole { pendingWrite_->record_, pendingWrite_->expected_,
                                         pendingWrite_->purpose_ });
        return actions;
    }
    // An older record of this host may name other voters, whom a successor would ask for releases.
    const bool isCurrent = isOwnRecord(record) && record->nonce_ == ownRecord_.nonce_
                           && record->challenger_.isEmpty();
    const bool confirms
        = (phase_ == RolePhase::Holding || phase_ == RolePhase::Succeeding) && isCurrent;
    if (confirms)
        authority_.onStoreConfirmed(sentAt);
    return actions;
}

RoleActions RoleElector::onRecord(const std::optional<RoleRecord> &record, Version version,
                                  TimePoint now)
{
    const bool isNewer = version > version_ || (!record && record_ && version_ == Version {});
    if (!isNewer)
        return {};
    const bool isOwnWrite = record && isPendingWrite(record->nonce_);
    if (isOwnWrite) {
        version_ = version;
        // When the write was applied is unknown. The current time is later, so using it as the time
        // of the reply can only prolong the wait.
        completeWrite(pendingWrite_->sentAt_, now);
        return {};
    }
    // The holder goes on, and writes its own record again.
    const bool isUndone = phase_ == RolePhase::Holding && precedesOwnRecord(record, version);
    setRecord(record, now);
    version_ = version;
    undoneSince_.reset();
    pendingWrite_.reset();
    if (phase_ == RolePhase::Idle || isUndone)
        return {};
    if (phase_ != RolePhase::Claiming && isOwnRecord(record)) {
        adoptOwnRecord(*record);
        return {};
    }
    if (phase_ == RolePhase::Holding)
        return loseRole();
    phase_ = RolePhase::Idle;
    succession_.reset();
    return {};
}

RoleActions RoleElector::loseRole()
{
    authority_.end();
    succession_.reset();
    // A pending change of members under the lost epoch must not restore the role.
    pendingWrite_.reset();
    phase_ = RolePhase::Idle;
    vacantSince_.reset();
    membersDifferSince_.reset();
    return { RoleLost { ownRecord_.epoch_ } };
}

void RoleElector::renewAuthority(RoleActions &actions, TimePoint now)
{
    if (now < nextRenewalAt_)
        return;
    nextRenewalAt_ = now + kRenewalPeriod;
    // While promises renew the authority without a gap, the store is read less often.
    const bool isReadDue = phase_ != RolePhase::Holding || now >= nextReadAt_
                           || authority_.validUntil() < now + 3 * kRenewalPeriod / 2;
    if (!isReading_ && isReadDue) {
        nextReadAt_ = now + kReadPeriod;
        isReading_ = true;
        actions.emplace_back(ReadRole {});
    }
    for (const Member &member : authority_.membersToRequestFrom(now))
        actions.emplace_back(RequestPromise { member, ownRecord_.epoch_ });
}

RoleActions RoleElector::tickSucceeding(const RoleContext &context, TimePoint now)
{
    RoleActions actions;
    renewAuthority(actions, now);
    if (isChallenged() && !pendingWrite_)
        append(actions, answerChallenge(now));
    // A holder whose process has ended no longer has any authority that could delay a successor.
    const std::vector<RoleTerm> terms = succession_->terms();
    for (const RoleTerm &term : terms) {
        if (context.stopped_.contains(term.holder_))
            succession_->onHolderStopped(term.holder_);
    }
    for (const Member &member : succession_->unreleasedMembers()) {
        if (hasStopped(context, member))
            succession_->onMemberStopped(member, now);
    }
    if (now >= nextReleaseRequestsAt_) {
        nextReleaseRequestsAt_ = now + kReleaseRequestPeriod;
        for (const Member &member : succession_->unreleasedMembers())
            actions.emplace_back(RequestRelease { member, succession_->replacedEpoch() });
    }
    if (!succession_->mayAct(now) || !authority_.holds(now))
        return actions;
    const bool isFirst = succession_->isFirst();
    phase_ = RolePhase::Holding;
    succession_.reset();
    actions.emplace_back(RoleGained { ownRecord_.epoch_, isFirst });
    return actions;
}

RoleActions RoleElector::tickHolding(const RoleContext &context, TimePoint now)
{
    if (!authority_.holds(now) || isOnlyHostWithoutStore(context, now))
        return loseRole();
    if (!pendingWrite_ && isOutranked(context, now))
        return releaseRole();
    RoleActions actions;
    renewAuthority(actions, now);
    if (!pendingWrite_ && isRecordWriteDue(context, now))
        append(actions, changeRecord(context, now));
    return actions;
}

// The record is rewritten once the predecessors' terms have ended, so that a successor does not
// wait for them, when it was undone as the store was restored, when another host has challenged it,
// and when the set of voters has to change.
bool RoleElector::isRecordWriteDue(const RoleContext &context, TimePoint now)
{
    const bool isUndone = !record_ || record_->nonce_ != ownRecord_.nonce_;
    if (!ownRecord_.predecessors_.empty() || ownRecord_.generation_ < storeGeneration_ || isUndone
        || isChallenged())
        return true;
    const std::vector<Member> members = chooseMembers(context);
    const bool isRuleInForce = chooseRule(context, members) == ownRecord_.rule_;
    if (members == ownRecord_.members_ && isRuleInForce) {
        membersDifferSince_.reset();
        return false;
    }
    if (!membersDifferSince_)
        membersDifferSince_ = now;
    return now >= *membersDifferSince_ + kMembersChangeDelay;
}

// A host with little capacity may have claimed the role while the preferred hosts were absent.
bool RoleElector::isOutranked(const RoleContext &context, TimePoint now)
{
    const std::vector<Member> &preferred = context.highCapacity_;
    const bool isPreferred
        = preferred.empty()
          || std::find(preferred.begin(), preferred.end(), self_) != preferred.end();
    if (isPreferred) {
        outrankedSince_.reset();
        return false;
    }
    if (!outrankedSince_)
        outrankedSince_ = now;
    return now >= *outrankedSince_ + kYieldDelay;
}

// Promises renew the authority even without the store, but the holder cannot change any placement
// without it.
bool RoleElector::isOnlyHostWithoutStore(const RoleContext &context, TimePoint now) const
{
    return context.othersReachStore_ && now > lastStoreReplyAt_ + kMaxTimeWithoutStore;
}

void RoleElector::onPromise(const Member &voter, Epoch epoch, TimePoint sentAt, TimePoint now)
{
    const bool isExpected = phase_ == RolePhase::Holding || phase_ == RolePhase::Succeeding;
    if (isExpected && epoch == ownRecord_.epoch_)
        authority_.onPromise(voter, sentAt, now);
}

void RoleElector::onReleased(const Member &voter, Epoch epoch, Duration remaining, TimePoint now)
{
    const bool isExpected
        = phase_ == RolePhase::Succeeding && succession_->replacedEpoch() == epoch;
    if (isExpected)
        succession_->onReleased(voter, remaining, now);
}

void RoleElector::onStepDown(const Member &holder, Epoch epoch)
{
    steppedDownHolder_ = holder;
    steppedDownEpoch_ = epoch;
    if (phase_ == RolePhase::Succeeding)
        succession_->onStepDown(holder, epoch);
}

RoleActions RoleElector::resign()
{
    resigned_ = true;
    return releaseRole();
}

RoleActions RoleElector::releaseRole()
{
    const bool wasHolding = phase_ == RolePhase::Holding;
    const bool isNamedHolder = isOwnRecord(record_);
    RoleActions actions;
    if (wasHolding)
        actions = loseRole();
    phase_ = RolePhase::Idle;
    outrankedSince_.reset();
    succession_.reset();
    pendingWrite_.reset();
    if (!isNamedHolder)
        return actions;
    actions.emplace_back(AnnounceStepDown { record_->epoch_ });
    RoleRecord released = *record_;
    released.released_ = true;
    released.nonce_ = newNonce();
    released.challenger_ = HostName();
    actions.emplace_back(WriteRole { released, version_, RoleWrite::Release });
    return actions;
}

} // namespace pimentostage
