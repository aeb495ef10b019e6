#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <functional>
#include <string>

namespace pimentostage {

/// What became of an order to a back end about a range of keys.
enum class RangeOutcome {
    Accepted,
    StaleEpoch, ///< the back end has seen a higher epoch on one of the keys
    Malformed, ///< the back end does not take such an order
    Unanswered, ///< it may have arrived, and may still take effect
    Broken, ///< as Unanswered; its connection broke, as it does when the process ends
    NotDelivered, ///< it did not arrive
    ProcessGone, ///< nothing listens there: the process that was meant has ended
};

template <>
struct EnumTable<RangeOutcome>
{
    static constexpr std::array kRows {
        EnumName<RangeOutcome> { RangeOutcome::Accepted, "accepted" },
        EnumName<RangeOutcome> { RangeOutcome::StaleEpoch, "stale-epoch" },
        EnumName<RangeOutcome> { RangeOutcome::Malformed, "malformed" },
        EnumName<RangeOutcome> { RangeOutcome::Unanswered, "unanswered" },
        EnumName<RangeOutcome> { RangeOutcome::Broken, "broken" },
        EnumName<RangeOutcome> { RangeOutcome::NotDelivered, "not-delivered" },
        EnumName<RangeOutcome> { RangeOutcome::ProcessGone, "process-gone" },
    };
};

/// An order to hold a range, or to hold it on.
struct RangeGrantOrder
{
    KeyRange range_;
    Epoch epoch_;
    Duration hold_ {}; ///< counted by the back end from the order's arrival
    std::string handover_; ///< from the former holder; empty if there is none
};

/// An order to stop new work on a range.
struct RangeReleaseOrder
{
    KeyRange range_;
    Epoch epoch_;
};

/// A coordinator's way to back ends that hold ranges. Results come on the control thread.
class RangeLink
{
public:
    using OnGranted = std::function<void(RangeOutcome)>;
    /// @param handover to be passed to the next holder; empty if there is none.
    using OnReleased = std::function<void(RangeOutcome, const std::string &handover)>;

    virtual ~RangeLink() = default;

    virtual void grant(const Address &backend, const RangeGrantOrder &order, OnGranted done) = 0;
    /// The answer comes once the work that runs on the keys has ended.
    virtual void release(const Address &backend, const RangeReleaseOrder &order, OnReleased done)
        = 0;
};

} // namespace pimentostage
