#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <vector>

namespace pimentostage {

/// Decides whether the holder of a role may act, based on confirmations by the store and promises.
///
/// The holder may act at time t if its last request that the store confirmed was sent less than
/// kStoreAuthorityDuration before t, or if a majority of the members named in the role's record
/// gave promises that were requested less than kPromiseDuration before t, provided that the
/// authority has not lapsed since the last confirmation. Only the store restores a lapsed
/// authority.
class HolderAuthority
{
public:
    /// @param members the members named in the role's record.
    explicit HolderAuthority(std::vector<Member> members);

    /// The store confirmed the role; the confirming request was sent at @p sentAt.
    void onStoreConfirmed(TimePoint sentAt);

    /// @p voter promised; the request was sent at @p sentAt.
    void onPromise(const Member &voter, TimePoint sentAt, TimePoint now);

    /// A record with @p members is about to be written. Until finishReconfiguration(), promises
    /// are required from a majority of both sets, since either set may be in force.
    void startReconfiguration(std::vector<Member> members);
    /// The record with the new members is known to be in force.
    void finishReconfiguration();

    /// Ends the authority permanently.
    void end();

    /// @return whether the holder may act at @p now.
    [[nodiscard]] bool holds(TimePoint now) const { return now < validUntil_; }
    /// @return when the authority ends unless it is renewed.
    [[nodiscard]] TimePoint validUntil() const { return validUntil_; }
    [[nodiscard]] const std::vector<Member> &members() const { return members_; }
    /// @return members to request promises from: all of them, or, if the authority is valid for
    ///         at least half of kPromiseDuration and no change of members is in progress, one more
    ///         than a majority, the most recent voters first.
    [[nodiscard]] std::vector<Member> membersToRequestFrom(TimePoint now) const;

    /// @return the members of both sets.
    [[nodiscard]] std::vector<Member> allMembers() const;

private:
    [[nodiscard]] TimePoint promisedUntil() const;
    [[nodiscard]] TimePoint promisedUntil(const std::vector<Member> &members) const;

    std::vector<Member> members_;
    std::vector<Member> nextMembers_; ///< empty if no change is in progress
    std::map<Member, TimePoint> promiseEnds_;
    TimePoint validUntil_ {};
    bool ended_ = false;
};

/// @return the size of a majority of @p members.
constexpr std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

} // namespace pimentostage
