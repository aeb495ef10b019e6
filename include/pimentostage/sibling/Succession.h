#pragma once

#include "pimentostage/platform/Objects.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentostage {

/// Decides when the new holder of a role may act after it has replaced another record in the store.
///
/// The holder of an open term, that is a term not known to have ended, may still act on a
/// confirmation by the store that was requested before the write, or on promises of as many of its
/// members as the term's rule requires. The new holder waits until such a confirmation has expired,
/// and until fewer members of each open term than required may still be bound by a promise. A
/// record that was replaced before its own holder could act passes its inherited open terms to its
/// successor.
///
/// The holder of a term that was undone when the store was restored from a copy notices that within
/// kUndoneTermDuration, from the store or because only it cannot reach the store.
class Succession
{
public:
    /// @param replaced the record that the write replaced; empty if there was none.
    /// @param mayHaveUndoneTerms whether the store was restored since @p replaced was written, so
    ///        that later terms may be open that no record lists.
    /// @param writtenAt when the reply to the write arrived.
    /// @param challengedSince a time after which the store confirmed no open term, because the
    ///        record had a challenger from then on until the write; nullopt if it had none.
    Succession(const std::optional<RoleRecord> &replaced, bool mayHaveUndoneTerms,
               TimePoint writtenAt, std::optional<TimePoint> challengedSince = std::nullopt);

    /// @return the open terms after @p replaced has been replaced.
    static std::vector<RoleTerm> openTerms(const std::optional<RoleRecord> &replaced);

    /// @p member released all earlier epochs; its last promise still binds for @p remaining.
    void onReleased(const Member &member, Duration remaining, TimePoint now);

    /// The process @p member is known to have stopped: it announced that it leaves, its host runs
    /// a newer incarnation, or an operator confirmed it lost. Its last promise may still bind for
    /// kPromiseDuration, because promises remain valid after the voter's process has ended.
    void onMemberStopped(const Member &member, TimePoint now);

    /// @p holder announced that it no longer acts under epochs up to @p epoch.
    void onStepDown(const Member &holder, Epoch epoch);

    /// @return whether the new holder may act at @p now.
    [[nodiscard]] bool mayAct(TimePoint now) const;

    /// The process @p holder has ended; it no longer acts under any epoch.
    void onHolderStopped(const Member &holder);

    /// @return the open terms.
    [[nodiscard]] const std::vector<RoleTerm> &terms() const { return terms_; }

    /// @return members of the open terms that have neither released nor stopped.
    [[nodiscard]] std::vector<Member> unreleasedMembers() const;

    /// @return whether no host held the role before.
    [[nodiscard]] bool isFirst() const { return !replacedEpoch_; }
    /// @return the replaced epoch, which is the highest one to be released.
    [[nodiscard]] Epoch replacedEpoch() const { return replacedEpoch_.value_or(Epoch {}); }

private:
    [[nodiscard]] bool hasEnded(const RoleTerm &term, TimePoint now) const;

    const std::optional<Epoch> replacedEpoch_;
    const bool mayHaveUndoneTerms_;
    const TimePoint writtenAt_;
    const TimePoint unconfirmedSince_; ///< the store has confirmed no open term since
    std::vector<RoleTerm> terms_; ///< the open terms
    std::map<Member, TimePoint> promisesEndAt_; ///< when a member's promises have certainly expired
};

} // namespace pimentostage
