#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>

namespace pimentostage {

/// State of a voter: the promises it gave to role holders and the epochs it released.
class PromiseLedger
{
public:
    /// Promises the holder of @p role at @p epoch not to support a successor for kPromiseDuration.
    /// @return false, without a promise, if the epoch was released or a later one was promised.
    bool promise(const RoleName &role, Epoch epoch, TimePoint now);

    /// Releases the epochs of @p role up to @p epoch: no further promises are given for them.
    /// @return how long an earlier promise still binds.
    Duration release(const RoleName &role, Epoch epoch, TimePoint now);

private:
    struct Entry
    {
        Epoch releasedUpTo_;
        Epoch promisedEpoch_;
        TimePoint promisedUntil_ {};
    };

    std::map<RoleName, Entry> entries_;
};

} // namespace pimentostage
