#pragma once

#include "pimentostage/base/Random.h"
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

/// Where one host stands with one role.
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

/// Read the role's record from the store; report with onRecordRead() or onReadFailed().
struct ReadRole
{ };

/// Write the role's record if its version is `expected_`; report with onWritten(), onConflict()
/// or onWriteFailed().
struct WriteRole
{
    RoleRecord record_;
    Version expected_;
};

/// Ask `member_` to promise for `epoch_`; report a promise with onPromise().
struct AskPromise
{
    Member member_;
    Epoch epoch_;
};

/// Ask `member_` to release epochs up to `epoch_`; report with onReleased().
struct AskRelease
{
    Member member_;
    Epoch epoch_;
};

/// This host may now act in the role.
struct RoleGained
{
    Epoch epoch_;
    bool isFirst_ = false; ///< nobody held the role before
};

/// This host must no longer act in the role.
struct RoleLost
{
    Epoch epoch_;
};

/// Tell all hosts that this host acts no more under epochs up to `epoch_`.
struct AnnounceStepDown
{
    Epoch epoch_;
};

using RoleAction = std::variant<ReadRole, WriteRole, AskPromise, AskRelease, RoleGained, RoleLost,
                                AnnounceStepDown>;
using RoleActions = std::vector<RoleAction>;

/// What a host knows of the others when it decides on a role.
struct RoleSurroundings
{
    std::vector<Member> view_; ///< processes believed to be alive, this one included
    std::vector<Member> strongest_; ///< those of them to which the role goes first
    std::set<Member> stopped_; ///< processes known to have stopped
    std::map<HostName, Incarnation> vouchedLost_; ///< processes up to which an operator vouched
    bool othersHearStore_ = false; ///< other hosts had an answer of the store lately
};

/// One host's part in one role: claims it when it is vacant, keeps its authority, gives it up.
///
/// Lives on the control thread. The caller performs the returned actions in order.
class RoleKeeper
{
public:
    RoleKeeper(RoleName role, Member self, Random random);

    /// Must be called every few milliseconds.
    RoleActions tick(const RoleSurroundings &surroundings, TimePoint now);

    /// Notes a version of the record that came by any way; older ones are ignored.
    RoleActions onRecord(const std::optional<RoleRecord> &record, Version version, TimePoint now);

    /// Reports what ReadRole read. @param sentAt when the read was sent.
    RoleActions onRecordRead(const std::optional<RoleRecord> &record, Version version,
                             TimePoint sentAt, TimePoint now);
    void onReadFailed();

    /// @param nonce nonce of the record that was written.
    /// @param sentAt when the write was sent.
    RoleActions onWritten(const std::string &nonce, Version version, TimePoint sentAt,
                          TimePoint now);
    /// As onWritten(). @param current what is in the store instead.
    RoleActions onConflict(const std::string &nonce, const std::optional<RoleRecord> &current,
                           Version version, TimePoint sentAt, TimePoint now);
    /// The write's answer was lost: it may or may not have taken effect.
    void onWriteFailed(const std::string &nonce);

    void onPromise(const Member &giver, Epoch epoch, TimePoint sentAt, TimePoint now);
    void onReleased(const Member &giver, Epoch epoch, Duration remaining, TimePoint now);
    /// @p holder says that it acts no more under epochs up to @p epoch.
    void onStepDown(const Member &holder, Epoch epoch);

    /// Gives the role up for good, for a planned stop.
    RoleActions resign();

    /// @return whether this host may act in the role at @p now.
    [[nodiscard]] bool holds(TimePoint now) const;
    [[nodiscard]] RolePhase phase() const { return phase_; }
    /// @return the epoch under which this host holds or claims the role.
    [[nodiscard]] Epoch epoch() const { return ours_.epoch_; }
    [[nodiscard]] const RoleName &role() const { return role_; }
    /// @return the newest record known, whoever holds the role.
    [[nodiscard]] const std::optional<RoleRecord> &record() const { return record_; }
    /// @return members whose release is wanted before this host may act, or before it may even
    ///         claim the role.
    [[nodiscard]] std::vector<Member> blockedBy(TimePoint now) const;

private:
    /// A write whose outcome is not known yet.
    struct Pending
    {
        RoleRecord record_;
        Version expected_;
        std::optional<RoleRecord> replaced_;
        bool isAnswered_ = false; ///< the answer was an error: read to find out
    };

    RoleActions tickIdle(const RoleSurroundings &surroundings, TimePoint now);
    RoleActions tickSucceeding(const RoleSurroundings &surroundings, TimePoint now);
    RoleActions tickHolding(const RoleSurroundings &surroundings, TimePoint now);
    void findOutPending(RoleActions &actions, TimePoint now);
    void confirm(RoleActions &actions, TimePoint now);
    void announceStepDown(RoleActions &actions, TimePoint now);
    bool isRecordDue(const RoleSurroundings &surroundings, TimePoint now);
    [[nodiscard]] bool hasSteppedDown(const RoleRecord &record) const;
    [[nodiscard]] bool isOutranked(const RoleSurroundings &surroundings, TimePoint now);
    RoleActions release();
    [[nodiscard]] bool isAloneWithoutStore(const RoleSurroundings &surroundings,
                                           TimePoint now) const;
    RoleActions claim(const RoleSurroundings &surroundings);
    RoleActions settle(TimePoint sentAt, TimePoint now);
    RoleActions lose();
    [[nodiscard]] bool isVacant(const RoleSurroundings &surroundings) const;
    [[nodiscard]] bool isPending(const std::string &nonce) const;
    [[nodiscard]] bool isOurs(const std::optional<RoleRecord> &record) const;
    [[nodiscard]] std::size_t rankIn(const RoleSurroundings &surroundings) const;
    [[nodiscard]] std::vector<Member> missingFor(const RoleSurroundings &surroundings) const;
    [[nodiscard]] std::vector<Member> chooseMembers(const RoleSurroundings &surroundings) const;
    [[nodiscard]] std::string newNonce();

    const RoleName role_;
    const Member self_;
    Random random_;
    RolePhase phase_ = RolePhase::Idle;
    std::optional<RoleRecord> record_;
    Version version_;
    RoleRecord ours_; ///< the record under which this host holds or claims the role
    HolderAuthority authority_ { {} };
    std::optional<Succession> succession_;
    std::optional<Pending> pending_;
    std::optional<TimePoint> vacantSince_;
    std::vector<Member> missing_; ///< without them a claim could not succeed
    Member steppedDownHolder_;
    Epoch steppedDownEpoch_; ///< steppedDownHolder_ acts no more up to here
    TimePoint storeHeardAt_ {};
    TimePoint nextAnnouncement_ {};
    std::optional<TimePoint> membersDifferSince_;
    std::optional<TimePoint> outrankedSince_; ///< holds the role although stronger hosts are there
    TimePoint nextConfirm_ {};
    TimePoint nextRead_ {};
    TimePoint nextFindOut_ {};
    TimePoint nextReleases_ {};
    bool isReading_ = false;
    bool resigned_ = false;
};

} // namespace pimentostage
