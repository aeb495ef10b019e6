#include "src/daemon/StopSchedule.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Time to send the answers to requests that are given up at the end of a stop.
constexpr Duration kFlushTime = std::chrono::milliseconds(200);

} // namespace

StopSchedule::StopSchedule(TimePoint signalledAt, Duration notice, Duration drainTimeout)
    : drainsFrom_(signalledAt + notice)
    , givesUpFrom_(drainsFrom_ + std::max(Duration::zero(), drainTimeout - kFlushTime))
    , endsAt_(drainsFrom_ + drainTimeout)
{ }

StopPhase StopSchedule::phase(bool isDrained, TimePoint now) const
{
    if (now < drainsFrom_)
        return StopPhase::Notice;
    if (isDrained || now >= endsAt_)
        return StopPhase::Finished;
    return now < givesUpFrom_ ? StopPhase::Draining : StopPhase::GivingUp;
}

} // namespace pimentostage
