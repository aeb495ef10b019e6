#pragma once

#include "pimentostage/backend/RangeLink.h"

#include <cstdint>
#include <vector>

namespace pimentostage {

/// Number of an order, given by its sender.
using OrderNumber = std::uint64_t;

/// What one process of a back end may hold, as its granter can know it.
///
/// An order that got no answer may still take effect; its hold counts from its arrival, which is at
/// the latest when the sender gave it up.
class GrantLedger
{
public:
    /// Notes a grant that is on its way.
    /// @param hold how long the process may hold the range after its arrival, by our clock.
    void onSent(OrderNumber number, const KeyRange &range, Duration hold);
    /// Notes what became of it.
    void onOutcome(OrderNumber number, RangeOutcome outcome, TimePoint now);
    /// The process gave @p range back. Grants that got no answer may still give it the range.
    void onReleased(const KeyRange &range);
    /// Notes that another granter may have granted @p range until @p until.
    void assume(const KeyRange &range, TimePoint until);
    /// Takes over what @p other may hold: orders meant for it may have reached this process.
    void merge(const GrantLedger &other);
    /// The process has ended and holds nothing.
    void clear() { entries_.clear(); }

    /// @return whether the process may hold a key of @p range at @p now or later.
    [[nodiscard]] bool mayHold(const KeyRange &range, TimePoint now) const;

private:
    enum class State { OnItsWay, Held, Uncertain };

    struct Entry
    {
        KeyRange range_;
        State state_ = State::OnItsWay;
        OrderNumber number_ = 0;
        Duration hold_ {};
        TimePoint until_ {}; ///< unless it is on its way
    };

    void dropLapsed(TimePoint now);

    std::vector<Entry> entries_;
};

} // namespace pimentostage
