#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/platform/Generation.h"
#include "pimentostage/platform/Objects.h"
#include "pimentostage/sibling/HolderAuthority.h"
#include "pimentostage/sibling/Succession.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// State of one host with respect to one role.
enum class RolePhase { Idle, Claiming, Succeeding, Holding };

template <>
struct EnumTable<RolePhase>
{
    static constexpr std::array kRows {
        EnumName<RolePhase> { RolePhase::Idle, "idle" },
        EnumName<RolePhase> { RolePhase::Claiming, "claiming" },
        EnumName<RolePhase> { RolePhase::Succeeding, "succeeding" },
        EnumName<RolePhase> { RolePhase::Holding, "holding" },
    };
};

/// Why a host writes the record of a role.
enum class RoleWrite {
    Claim, ///< to hold the role
    Change, ///< to change the record of the role that it holds or is about to hold
    Challenge, ///< to learn whether the holder is in touch with the store
    Release, ///< to end its term
};

template <>
struct EnumTable<RoleWrite>
{
    static constexpr std::array kRows {
        EnumName<RoleWrite> { RoleWrite::Claim, "claim" },
        EnumName<RoleWrite> { RoleWrite::Change, "change" },
        EnumName<RoleWrite> { RoleWrite::Challenge, "challenge" },
        EnumName<RoleWrite> { RoleWrite::Release, "release" },
    };
};

/// Read the role's record from the store; report with onRecordRead() or onReadFailed().
struct ReadRole
{ };

/// Write the role's record if the stored version is `expected_`; report with onWritten(),
/// onConflict() or onWriteFailed().
struct WriteRole
{
    RoleRecord record_;
    Version expected_;
    RoleWrite purpose_ = RoleWrite::Claim;
};

/// Request a promise for `epoch_` from `member_`; report a promise with onPromise().
struct RequestPromise
{
    Member member_;
    Epoch epoch_;
};

/// Request that `member_` releases epochs up to `epoch_`; report with onReleased().
struct RequestRelease
{
    Member member_;
    Epoch epoch_;
};

/// This host may now act in the role.
struct RoleGained
{
    Epoch epoch_;
    bool isFirst_ = false; ///< no host held the role before
};

/// This host must no longer act in the role.
struct RoleLost
{
    Epoch epoch_;
};

/// Notify all hosts that this host no longer acts under epochs up to `epoch_`.
struct AnnounceStepDown
{
    Epoch epoch_;
};

using RoleAction = std::variant<ReadRole, WriteRole, RequestPromise, RequestRelease, RoleGained,
                                RoleLost, AnnounceStepDown>;
using RoleActions = std::vector<RoleAction>;

/// State of the other hosts, as last known, on which decisions about a role depend.
struct RoleContext
{
    std::vector<Member> view_; ///< processes assumed to be alive, this one included
    std::vector<Member> highCapacity_; ///< the processes in view_ that are preferred for the role
    std::set<Member> stopped_; ///< processes known to have stopped
    /// The newest incarnation of each host that an operator confirmed as lost.
    std::map<HostName, Incarnation> confirmedLost_;
    std::size_t fleetSize_ = 0; ///< number of hosts known, lost ones included
    /// Whether this host writes records by ruleFor(). Otherwise it writes them as earlier versions
    /// do, which cannot read others, by TermRule::Majority.
    bool boundsTerms_ = true;
    bool othersReachStore_ = false; ///< other hosts recently got a reply from the store
    Generation storeGeneration_; ///< the newest generation of the store that is known
};

/// Leader election for one role: claims it when it is vacant, renews the authority to act in it,
/// and releases it.
///
/// If too few members of the record are in touch for a claim, they may be lost for good, or cut off
/// together with a holder that acts on their promises. The host then writes its name into the
/// record as challenger. A holder in touch with the store writes the record again; one that is not
/// must stop after kMaxTimeOnPromises, and the host claims the role after that time.
///
/// Runs on the control thread. The caller performs the returned actions in order.
class RoleElector
{
public:
    RoleElector(RoleName role, Member self, Random random);

    /// Must be called every few milliseconds.
    RoleActions tick(const RoleContext &context, TimePoint now);

    /// Updates the record with a version received from any source; older versions are ignored.
    RoleActions onRecord(const std::optional<RoleRecord> &record, Version version, TimePoint now);

    /// Reports the result of ReadRole. @param sentAt when the read was sent.
    RoleActions onRecordRead(const std::optional<RoleRecord> &record, Version version,
                             TimePoint sentAt, TimePoint now);
    void onReadFailed();

    /// @param nonce nonce of the record that was written.
    /// @param sentAt when the write was sent.
    RoleActions onWritten(const std::string &nonce, Version version, TimePoint sentAt,
                          TimePoint now);
    /// As onWritten(). @param current the record that is stored instead.
    RoleActions onConflict(const std::string &nonce, const std::optional<RoleRecord> &current,
                           Version version, TimePoint sentAt, TimePoint now);
    /// The reply to the write was lost: the write may or may not have taken effect.
    void onWriteFailed(const std::string &nonce);

    void onPromise(const Member &voter, Epoch epoch, TimePoint sentAt, TimePoint now);
    void onReleased(const Member &voter, Epoch epoch, Duration remaining, TimePoint now);
    /// @p holder announced that it no longer acts under epochs up to @p epoch.
    void onStepDown(const Member &holder, Epoch epoch);

    /// Releases the role permanently, for a planned stop.
    RoleActions resign();

    /// @return whether this host may act in the role at @p now.
    [[nodiscard]] bool holds(TimePoint now) const;
    [[nodiscard]] RolePhase phase() const { return phase_; }
    /// @return the epoch under which this host holds or claims the role.
    [[nodiscard]] Epoch epoch() const { return ownRecord_.epoch_; }
    [[nodiscard]] const RoleName &role() const { return role_; }
    /// @return the newest record known, regardless of its holder.
    [[nodiscard]] const std::optional<RoleRecord> &record() const { return record_; }
    /// @return members whose release is required before this host may act; while it is idle, the
    ///         unreachable members that prevent a claim.
    [[nodiscard]] std::vector<Member> blockedBy(TimePoint now) const;

private:
    /// A write of the record whose outcome is not known yet.
    struct PendingWrite
    {
        RoleRecord record_;
        Version expected_;
        RoleWrite purpose_;
        TimePoint sentAt_; ///< when it was sent first
        std::optional<RoleRecord> replacedRecord_;
        std::optional<TimePoint> challengedSince_; ///< of the replaced record
        bool mayHaveUndoneTerms_ = false; ///< see mayHaveUndoneTerms()
        bool isOutcomeUnknown_ = false; ///< the reply was an error; a read decides
    };
    using Completion
        = void (RoleElector::*)(const PendingWrite &written, TimePoint sentAt, TimePoint now);
    struct CompletionRow
    {
        RoleWrite purpose_;
        Completion complete_;
    };
    static const CompletionRow kCompletions[];

    RoleActions tickIdle(const RoleContext &context, TimePoint now);
    RoleActions tickSucceeding(const RoleContext &context, TimePoint now);
    RoleActions tickHolding(const RoleContext &context, TimePoint now);
    void resolvePendingWrite(RoleActions &actions, TimePoint now);
    void renewAuthority(RoleActions &actions, TimePoint now);
    void announceStepDown(RoleActions &actions, TimePoint now);
    bool isRecordWriteDue(const RoleContext &context, TimePoint now);
    [[nodiscard]] bool hasSteppedDown(const RoleRecord &record) const;
    [[nodiscard]] bool isOutranked(const RoleContext &context, TimePoint now);
    RoleActions releaseRole();
    [[nodiscard]] bool isOnlyHostWithoutStore(const RoleContext &context, TimePoint now) const;
    RoleActions claim(const RoleContext &context, TimePoint now);
    RoleActions challenge(TimePoint now);
    /// Writes this host's own record with the members and the rule that are due.
    RoleActions changeRecord(const RoleContext &context, TimePoint now);
    /// Writes this host's own record again, without the challenger.
    RoleActions answerChallenge(TimePoint now);
    RoleActions write(RoleRecord record, RoleWrite purpose, TimePoint now);
    void completeWrite(TimePoint sentAt, TimePoint now);
    void completeClaim(const PendingWrite &written, TimePoint sentAt, TimePoint now);
    void completeChange(const PendingWrite &written, TimePoint sentAt, TimePoint now);
    void completeChallenge(const PendingWrite &written, TimePoint sentAt, TimePoint now);
    /// Sets record_, a version that was not known before.
    void setRecord(const std::optional<RoleRecord> &record, TimePoint now);
    /// Takes over @p record, which is this host's own with another host's change.
    void adoptOwnRecord(const RoleRecord &record);
    RoleActions loseRole();
    void readRestoredRecord(RoleActions &actions, const RoleContext &context, TimePoint now);
    void readChallengedRecord(RoleActions &actions, const RoleContext &context, TimePoint now);
    [[nodiscard]] bool isVacant(const RoleContext &context, TimePoint now) const;
    /// @return whether terms that began after record_ was written may have been undone when the
    ///         store was restored, and may still be open.
    [[nodiscard]] bool mayHaveUndoneTerms() const;
    /// @return whether @p record was written before this host's own, which was undone when the
    ///         store was restored.
    [[nodiscard]] bool precedesOwnRecord(const std::optional<RoleRecord> &record,
                                         Version version) const;
    [[nodiscard]] bool isPendingWrite(const std::string &nonce) const;
    [[nodiscard]] bool isOwnRecord(const std::optional<RoleRecord> &record) const;
    [[nodiscard]] std::size_t rankIn(const RoleContext &context) const;
    /// @param quorumOf quorumOnPromises() or quorumAfterwards().
    /// @return the members of open terms that this host does not reach, if they are so many that
    ///         one of these terms could stay open.
    [[nodiscard]] std::vector<Member> membersMissingForClaim(
        const RoleContext &context,
        std::size_t (*quorumOf)(TermRule rule, std::size_t members)) const;
    [[nodiscard]] bool isChallenged() const { return record_ && !record_->challenger_.isEmpty(); }
    /// @return whether the record has had a challenger for so long that its holder, and those of
    ///         the terms that it lists, no longer act on promises of a majority.
    [[nodiscard]] bool isChallengeUnanswered(const RoleContext &context, TimePoint now) const;
    /// @return the rule for a record with @p members.
    [[nodiscard]] static TermRule chooseRule(const RoleContext &context,
                                             const std::vector<Member> &members);
    [[nodiscard]] std::vector<Member> chooseMembers(const RoleContext &context) const;
    [[nodiscard]] std::string newNonce();

    const RoleName role_;
    const Member self_;
    Random random_;
    RolePhase phase_ = RolePhase::Idle;
    std::optional<RoleRecord> record_;
    Version version_;
    Generation storeGeneration_; ///< the newest generation of the store that is known
    RoleRecord ownRecord_; ///< the record under which this host holds or claims the role
    HolderAuthority authority_ { {} };
    std::optional<Succession> succession_;
    std::optional<PendingWrite> pendingWrite_;
    std::optional<TimePoint> vacantSince_;
    /// Since when the host has been idle with a record for which mayHaveUndoneTerms().
    std::optional<TimePoint> undoneSince_;
    std::vector<Member> missingMembers_; ///< unreachable, and required for a claim
    /// When this host first knew the record with its present challenger.
    std::optional<TimePoint> challengedSince_;
    TimePoint nextChallengeAt_ {};
    Member steppedDownHolder_;
    Epoch steppedDownEpoch_; ///< steppedDownHolder_ no longer acts under epochs up to it
    TimePoint lastStoreReplyAt_ {};
    TimePoint nextAnnouncementAt_ {};
    std::optional<TimePoint> membersDifferSince_;
    std::optional<TimePoint> outrankedSince_; ///< since when preferred hosts are in the view
    TimePoint nextRenewalAt_ {};
    TimePoint nextReadAt_ {};
    TimePoint nextPendingReadAt_ {};
    TimePoint nextReleaseRequestsAt_ {};
    bool isReading_ = false;
    bool resigned_ = false;
};

} // namespace pimentostage
