#include "src/daemon/StopSchedule.h"

namespace pimentostage {

StopSchedule::StopSchedule(TimePoint signalledAt, Duration notice, Duration drainTimeout)
    : drainsFrom_(signalledAt + notice)
    , endsAt_(drainsFrom_ + drainTimeout)
{ }

StopPhase StopSchedule::phase(bool isDrained, TimePoint now) const
{
    if (now < drainsFrom_)
        return StopPhase::Notice;
    return isDrained || now >= endsAt_ ? StopPhase::Finished : StopPhase::Draining;
}

} // namespace pimentostage
