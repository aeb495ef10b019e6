#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <string>

namespace pimentostage {

/// Phase of a roll-out.
enum class RolloutPhase {
    Observing, ///< the target gets at most RolloutLimits::maxShare_
    Switching, ///< the target passed the observation and gets the rest of the traffic in steps
    Complete, ///< the target is in force; no host uses the former version any more
    RolledBack, ///< the target gets no requests
};

template <>
struct EnumTable<RolloutPhase>
{
    static constexpr std::array kRows {
        EnumName<RolloutPhase> { RolloutPhase::Observing, "observing" },
        EnumName<RolloutPhase> { RolloutPhase::Switching, "switching" },
        EnumName<RolloutPhase> { RolloutPhase::Complete, "complete" },
        EnumName<RolloutPhase> { RolloutPhase::RolledBack, "rolled-back" },
    };
};

/// Why a roll-out is in its phase.
enum class RolloutReason {
    Ordered, ///< the observation goes on
    Passed, ///< the target is as good as the version in force
    Confirmed, ///< no host uses the former version any more
    Failures, ///< a larger share of failures than the version in force
    Latency, ///< slower than the version in force
    HardStop, ///< too many bad answers beyond the share of the version in force
    TooFewRequests, ///< not enough answers for a verdict at the latest moment
    Unhealthy, ///< back ends of the target fail their health checks
    NotSwitched, ///< the switch could not begin before the end of the roll-out's duration
    Aborted, ///< by an operator or a newer order
};

template <>
struct EnumTable<RolloutReason>
{
    static constexpr std::array kRows {
        EnumName<RolloutReason> { RolloutReason::Ordered, "ordered" },
        EnumName<RolloutReason> { RolloutReason::Passed, "passed" },
        EnumName<RolloutReason> { RolloutReason::Confirmed, "confirmed" },
        EnumName<RolloutReason> { RolloutReason::Failures, "failures" },
        EnumName<RolloutReason> { RolloutReason::Latency, "latency" },
        EnumName<RolloutReason> { RolloutReason::HardStop, "hard-stop" },
        EnumName<RolloutReason> { RolloutReason::TooFewRequests, "too-few-requests" },
        EnumName<RolloutReason> { RolloutReason::Unhealthy, "unhealthy" },
        EnumName<RolloutReason> { RolloutReason::NotSwitched, "not-switched" },
        EnumName<RolloutReason> { RolloutReason::Aborted, "aborted" },
    };
};

/// An operator's order to bring a version of a service into force.
struct RolloutOrder
{
    ServiceName service_;
    std::string target_; ///< the version
    Duration duration_ {}; ///< from the order until the roll-out must be complete
};

/// Limits of every roll-out, from the settings `[rollout]`.
struct RolloutLimits
{
    double maxShare_ = 0; ///< of the service's requests, to the target until the verdict; 0 is off
    std::uint64_t maxExtra_ = 0; ///< requests to the target beyond that share
    Duration rollback_ {}; ///< from the 50th bad answer until nothing is sent to the target
    /// Requests/s at which the target may begin: `WarmupPerS` times its back ends; 0 is no bound.
    double startPerS_ = 0;
    /// Time from the order during which startPerS_ holds and latencies are not compared, because
    /// the target's back ends may be in cold start.
    Duration warmup_ {};
    /// Back ends of the version that has fewer. Fewer back ends make latencies less comparable.
    std::uint32_t backends_ = 8;
};

/// What the holder of the role `rollouts` decides about a roll-out.
struct RolloutVerdict
{
    RolloutPhase phase_ = RolloutPhase::Observing;
    double share_ = 0; ///< of the service's requests that the target may get from now on
    RolloutReason reason_ = RolloutReason::Ordered;
    RouteName route_ {}; ///< route on which the target is worse; empty for all routes together

    bool operator==(const RolloutVerdict &) const = default;
};

} // namespace pimentostage
