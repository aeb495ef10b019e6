#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"

#include <array>

namespace pimentostage {

/// What a planned stop does at a moment.
enum class StopPhase {
    Notice, ///< serves on, so that the load balancer can remove this host
    Draining, ///< refuses new requests and finishes running ones
    GivingUp, ///< refuses running requests too, so that all answers are sent before the end
    Finished,
};

template <>
struct EnumTable<StopPhase>
{
    static constexpr std::array kRows {
        EnumName<StopPhase> { StopPhase::Notice, "notice" },
        EnumName<StopPhase> { StopPhase::Draining, "draining" },
        EnumName<StopPhase> { StopPhase::GivingUp, "giving-up" },
        EnumName<StopPhase> { StopPhase::Finished, "finished" },
    };
};

/// The phases of a planned stop. All times count from its signal: the platform kills the process a
/// fixed time after it, whatever delayed the stop.
class StopSchedule
{
public:
    /// @param signalledAt when the process received the signal.
    /// @param notice time for the load balancer to detect that the host is not ready.
    /// @param drainTimeout timeout for running requests, after the notice.
    StopSchedule(TimePoint signalledAt, Duration notice, Duration drainTimeout);

    /// @param isDrained whether no request is running and no connection may still carry one.
    /// @return the phase at @p now.
    [[nodiscard]] StopPhase phase(bool isDrained, TimePoint now) const;

    /// @return the end of the notice.
    [[nodiscard]] TimePoint drainsFrom() const { return drainsFrom_; }

private:
    const TimePoint drainsFrom_;
    const TimePoint givesUpFrom_;
    const TimePoint endsAt_;
};

} // namespace pimentostage
