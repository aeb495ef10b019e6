#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <functional>
#include <string>

namespace pimentostage {

/// Outcome of an order about a range of keys that was sent to a back end.
enum class RangeOutcome {
    Accepted,
    StaleEpoch, ///< the back end has received a higher epoch for one of the keys
    Malformed, ///< the back end rejected the order for another reason
    Unanswered, ///< no reply in time; the order may still take effect
    Broken, ///< as Unanswered; the connection broke, as it does when the process ends
    NotDelivered, ///< the order did not reach the back end
    ConnectionLost, ///< the connection that the order was bound to is closed; it was not sent
    ProcessGone, ///< nothing listens at the address: the addressed process has ended
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
        EnumName<RangeOutcome> { RangeOutcome::ConnectionLost, "connection-lost" },
        EnumName<RangeOutcome> { RangeOutcome::ProcessGone, "process-gone" },
    };
};

/// An order to hold a range, or to keep holding it.
struct RangeGrantOrder
{
    KeyRange range_;
    Epoch epoch_;
    Duration holdDuration_ {}; ///< counted by the back end from the order's arrival
    std::string handover_; ///< token from the previous holder; empty if there is none
};

/// An order to start no further work on a range.
struct RangeReleaseOrder
{
    KeyRange range_;
    Epoch epoch_;
};

/// What became of an order that was sent to a back end.
struct RangeReply
{
    RangeOutcome outcome_ = RangeOutcome::NotDelivered;
    ConnectionId connection_ = 0; ///< on which the order was sent; 0 if it was not sent
    std::string handover_ {}; ///< of a release: token to pass to the next holder; may be empty
};

/// Sends a coordinator's orders to back ends that hold ranges.
///
/// Callbacks run on the control thread.
class RangeLink
{
public:
    using OnReply = std::function<void(const RangeReply &)>;

    virtual ~RangeLink() = default;

    /// @param connection if not 0, the only connection on which the order may be sent. It leads to
    ///        one process; a new one may lead to another that listens at the address by then.
    virtual void grant(const Address &backend, const RangeGrantOrder &order,
                       ConnectionId connection, OnReply done)
        = 0;
    /// @param done called only after the work that runs on the keys has ended, unless the order
    ///        fails.
    virtual void release(const Address &backend, const RangeReleaseOrder &order, OnReply done) = 0;
};

} // namespace pimentostage
