#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>

namespace pimentostage {

/// Until when a host may act on its configuration for requests that need a team's key.
///
/// The control thread moves the time on; traffic threads ask in the call that decides on a request,
/// so that a process that was frozen does not act on what it last heard before.
class ConfigTrust
{
public:
    void setUntil(TimePoint until) { until_ = until.time_since_epoch(); }
    [[nodiscard]] bool holds(TimePoint now) const { return now.time_since_epoch() < until_.load(); }

private:
    std::atomic<Duration> until_ { Duration::max() };
};

} // namespace pimentostage
