#pragma once

#include "pimentostage/backend/Grant.h"

namespace pimentostage {

/// The server's side of fenced grants: the units that it may serve, and until when.
///
/// A server embeds this class and checks it in the same call in which the request takes effect.
class ServerLease
{
public:
    explicit ServerLease(Incarnation incarnation)
        : incarnation_(incarnation)
    { }

    /// Applies @p grant if it is newer than the last.
    /// @return the reply without draining_, which the server fills in from its running requests.
    GrantReply apply(const Grant &grant, TimePoint now);

    /// @return whether a request for @p unit under @p epoch may take effect at @p now.
    [[nodiscard]] bool covers(const UnitName &unit, Epoch epoch, TimePoint now) const;

    /// @return a number that increases when a lease is granted after the previous one expired.
    [[nodiscard]] std::uint64_t term() const { return term_; }

    /// @return whether work started when term() was @p term may still take effect at @p now. A unit
    ///         withdrawn since then gets no other owner before such work has ended, unless the
    ///         lease has expired in between.
    [[nodiscard]] bool mayFinish(std::uint64_t term, TimePoint now) const
    {
        return term == term_ && now < expiresAt_;
    }

    /// @return the end of the lease; the clock's origin if there was no grant.
    [[nodiscard]] TimePoint expiresAt() const { return expiresAt_; }
    [[nodiscard]] const GrantedUnits &units() const { return units_; }

private:
    [[nodiscard]] GrantResult check(const Grant &grant, TimePoint now) const;

    const Incarnation incarnation_;
    Epoch roleEpoch_;
    std::uint64_t sequence_ = 0;
    std::uint64_t term_ = 0;
    TimePoint expiresAt_ {};
    GrantedUnits units_;
    std::uint64_t digest_ = 0;
};

} // namespace pimentostage
