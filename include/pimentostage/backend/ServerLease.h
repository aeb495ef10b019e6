#pragma once

#include "pimentostage/backend/Grant.h"

namespace pimentostage {

/// A server's side of fenced grants: which units it may serve, and until when.
///
/// A server embeds it and asks it in the same call in which it acts.
class ServerLease
{
public:
    explicit ServerLease(Incarnation incarnation)
        : incarnation_(incarnation)
    { }

    /// Takes @p grant if it is the newest.
    /// @return what became of it; draining_ is left to the server, which knows what runs.
    GrantReply apply(const Grant &grant, TimePoint now);

    /// @return whether a request for @p unit under @p epoch may act at @p now.
    [[nodiscard]] bool covers(const UnitName &unit, Epoch epoch, TimePoint now) const;

    /// @return a number that rises when a lease lapses before it is renewed.
    [[nodiscard]] std::uint64_t term() const { return term_; }

    /// @return whether work that began when term() was @p term may still act at @p now. A unit
    ///         withdrawn meanwhile is not given to another server before such work has ended; but
    ///         once the lease has lapsed it may have been.
    [[nodiscard]] bool mayFinish(std::uint64_t term, TimePoint now) const
    {
        return term == term_ && now < until_;
    }

    /// @return when the lease ends; the clock's origin if there was no grant.
    [[nodiscard]] TimePoint until() const { return until_; }
    [[nodiscard]] const GrantedUnits &units() const { return units_; }

private:
    [[nodiscard]] GrantResult check(const Grant &grant, TimePoint now) const;

    const Incarnation incarnation_;
    Epoch roleEpoch_;
    std::uint64_t sequence_ = 0;
    std::uint64_t term_ = 0;
    TimePoint until_ {};
    GrantedUnits units_;
    std::uint64_t digest_ = 0;
};

} // namespace pimentostage
