#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>

namespace pimentostage {

/// A member's side of promises: what it promised to holders, and what it released.
class PromiseLedger
{
public:
    /// Promises the holder of @p role at @p epoch not to help a successor for kPromiseLife.
    /// @return false if the epoch was released; then nothing is promised.
    bool promise(const RoleName &role, Epoch epoch, TimePoint now);

    /// Promises nothing any more for epochs of @p role up to @p epoch.
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
