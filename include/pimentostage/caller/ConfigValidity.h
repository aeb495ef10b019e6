#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>

namespace pimentostage {

/// Time until which a host may use its configuration for requests that require a team key.
///
/// The control thread extends the time. Traffic threads check it in the call that decides on a
/// request, so that a process that was frozen does not decide by an outdated configuration.
class ConfigValidity
{
public:
    void setValidUntil(TimePoint until) { validUntil_ = until.time_since_epoch(); }
    [[nodiscard]] bool isValid(TimePoint now) const
    {
        return now.time_since_epoch() < validUntil_.load();
    }

private:
    std::atomic<Duration> validUntil_ { Duration::max() };
};

} // namespace pimentostage
