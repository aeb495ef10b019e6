#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <limits>

namespace pimentostage {

/// Time for which a host may send to the target without a newer lease.
inline constexpr Duration kExposureLease = std::chrono::seconds(1);

/// Time for which a host may send to the version in force without a newer lease while a roll-out
/// runs. Longer than the election of a new holder, shorter than the time that a roll-out has for
/// its switch: `Complete` waits this long for a host that is out of touch.
inline constexpr Duration kCurrentLease = std::chrono::seconds(3);

/// One host's process reports how much of its leases it has used.
struct ExposureUse
{
    Incarnation incarnation_; ///< of the reporting process
    Epoch epoch_; ///< of the holder for which the report is; leases of earlier ones are void
    std::uint64_t used_ = 0; ///< requests that the process sent to the target in this roll-out
    std::uint64_t requests_ = 0; ///< requests of the service at the process in this roll-out
    std::uint64_t sequence_
        = 0; ///< of the newest lease of that holder that the process has applied
    bool hasLeftCurrent_ = false; ///< the process begins no more requests at the version in force

    bool operator==(const ExposureUse &) const = default;
};

/// What one host's process may send until its next lease.
///
/// Limits are cumulative, so a lost, late or repeated lease never adds to what the holder lent, and
/// what a process has not used is lent to it again by its next lease.
/// The lease begins when the host sent the report that it answers.
struct ExposureLease
{
    Incarnation incarnation_; ///< of the process that may use the lease
    Epoch epoch_; ///< of the holder
    std::uint64_t sequence_ = 0; ///< increases with each lease of the holder; 0 announces the epoch
    std::uint64_t limit_
        = 0; ///< of ExposureUse::used_; kUnlimited while isCurrentAllowed_ is false
    Duration targetFor_ {}; ///< time for which the limit holds
    Duration currentFor_ {}; ///< time for which the process may use the version in force
    bool isCurrentAllowed_ = true; ///< false: all requests go to the target

    static constexpr std::uint64_t kUnlimited = std::numeric_limits<std::uint64_t>::max();

    bool operator==(const ExposureLease &) const = default;
};

} // namespace pimentostage
