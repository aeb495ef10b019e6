#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace pimentostage {

/// Decides whether the holder of a role may act, based on confirmations by the store and promises.
///
/// The holder may act at time t if its last request that the store confirmed was sent less than
/// kStoreAuthorityDuration before t, or if as many members named in the role's record as its rule
/// requires gave promises that were requested less than kPromiseDuration before t, provided that
/// the authority has not lapsed since the last confirmation. Only the store restores a lapsed
/// authority.
class HolderAuthority
{
public:
    /// @param members the members named in the role's record.
    /// @param rule the rule in the role's record.
    explicit HolderAuthority(std::vector<Member> members, TermRule rule = TermRule::Majority);

    /// The store confirmed the role; the confirming request was sent at @p sentAt.
    void onStoreConfirmed(TimePoint sentAt);

    /// @p voter promised; the request was sent at @p sentAt.
    void onPromise(const Member &voter, TimePoint sentAt, TimePoint now);

    /// A record with @p members and @p rule is about to be written. Until finishReconfiguration(),
    /// the promises must satisfy both records, since either may be in force.
    void startReconfiguration(std::vector<Member> members, TermRule rule = TermRule::Majority);
    /// The record with the new members is known to be in force.
    void finishReconfiguration();

    /// Ends the authority permanently.
    void end();

    /// @return whether the holder may act at @p now.
    [[nodiscard]] bool holds(TimePoint now) const { return now < validUntil_; }
    /// @return when the authority ends unless it is renewed.
    [[nodiscard]] TimePoint validUntil() const { return validUntil_; }
    [[nodiscard]] const std::vector<Member> &members() const { return electorate_.members_; }
    /// @return members to request promises from: all of them, or, if the authority is valid for
    ///         at least half of kPromiseDuration, the store has confirmed it recently and no change
    ///         of members is in progress, one more than a majority, the most recent voters first.
    [[nodiscard]] std::vector<Member> membersToRequestFrom(TimePoint now) const;

    /// @return the members of both sets.
    [[nodiscard]] std::vector<Member> allMembers() const;

private:
    /// The members of a record, and how many promises it requires of them.
    struct Electorate
    {
        std::vector<Member> members_;
        TermRule rule_ = TermRule::Majority;
    };

    [[nodiscard]] TimePoint promisedUntil() const;
    [[nodiscard]] TimePoint promisedUntil(const Electorate &electorate) const;
    /// @return until when at least @p count of @p members have promised.
    [[nodiscard]] TimePoint promisedUntil(const std::vector<Member> &members,
                                          std::size_t count) const;

    Electorate electorate_;
    std::optional<Electorate> next_; ///< set while a change is in progress
    std::map<Member, TimePoint> promiseEnds_;
    TimePoint confirmedAt_ {}; ///< when the last request that the store confirmed was sent
    TimePoint validUntil_ {};
    bool ended_ = false;
};

} // namespace pimentostage
