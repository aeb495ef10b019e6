#pragma once

#include "pimentostage/backend/RangeLink.h"

#include <cstdint>
#include <vector>

namespace pimentostage {

/// Number of an order, assigned by its sender.
using OrderNumber = std::uint64_t;

/// Tracks the ranges that one back-end process may hold, as far as the coordinator knows.
///
/// An order without a reply may still take effect. Its hold time counts from its arrival, which is
/// no later than the time at which the sender gave up on it.
class GrantLedger
{
public:
    /// Records a grant that was sent.
    /// @param hold how long the process may hold the range after the grant's arrival, by the
    ///        coordinator's clock.
    void onSent(OrderNumber number, const KeyRange &range, Duration hold);
    /// Records the outcome of the grant @p number.
    void onOutcome(OrderNumber number, RangeOutcome outcome, TimePoint now);
    /// Records that the process released @p range. An earlier grant without a
    /// reply may still take effect.
    /// @param number of the release; grants sent after it remain.
    void onReleased(OrderNumber number, const KeyRange &range);
    /// Records that an earlier coordinator may have granted @p range until @p until.
    void assumeGranted(const KeyRange &range, TimePoint until);
    /// Adds the entries of @p other, whose orders may have reached this process instead.
    void merge(const GrantLedger &other);
    /// Records that the process has ended. A grant in flight may reach the next one at its address.
    void onProcessEnded();

    /// @return whether the process may hold a key of @p range at @p now or later.
    [[nodiscard]] bool mayHold(const KeyRange &range, TimePoint now) const;

private:
    enum class State { InFlight, Held, Uncertain };

    struct Entry
    {
        KeyRange range_;
        State state_ = State::InFlight;
        OrderNumber number_ = 0;
        Duration holdDuration_ {};
        TimePoint expiresAt_ {}; ///< not set while the grant is in flight
    };

    void removeExpired(TimePoint now);

    std::vector<Entry> entries_;
};

} // namespace pimentostage
