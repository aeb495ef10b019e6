#include "pimentostage/sibling/PromiseLedger.h"

#include "pimentostage/sibling/RoleTiming.h"

#include <algorithm>

namespace pimentostage {

bool PromiseLedger::promise(const RoleName &role, Epoch epoch, TimePoint now)
{
    Entry &entry = entries_[role];
    const bool isReleased = epoch <= entry.releasedUpTo_ && entry.releasedUpTo_ != Epoch {};
    if (isReleased || epoch < entry.promisedEpoch_)
        return false;
    entry.promisedEpoch_ = epoch;
    entry.promisedUntil_
        = std::max(entry.promisedUntil_, now + kClockDrift.stretched(kPromiseDuration));
    return true;
}

Duration PromiseLedger::release(const RoleName &role, Epoch epoch, TimePoint now)
{
    Entry &entry = entries_[role];
    entry.releasedUpTo_ = std::max(entry.releasedUpTo_, epoch);
    return std::max(Duration::zero(), Duration(entry.promisedUntil_ - now));
}

} // namespace pimentostage
