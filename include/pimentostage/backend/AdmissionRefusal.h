#pragma once

#include "pimentostage/backend/AdmissionOrder.h"
#include "pimentostage/base/Time.h"

#include <optional>
#include <string>

namespace pimentostage {

/// What a queue knew when it refused a request.
struct AdmissionRefusal
{
    AdmissionRule rule_ = AdmissionRule::TeamShares;
    std::string queue_; ///< the service, and the owner if the service is keyed
    std::optional<Duration> expectedWait_; ///< empty if it could not be estimated
    std::optional<Duration> retryAfter_; ///< empty if the rule does not derive it
};

/// @param untilRoom time after which there is expected to be room.
/// @param spread random number in [0, 1), which keeps refused callers from returning together.
/// @return the delay that the caller is told, longer by up to a half.
Duration spreadRetryAfter(Duration untilRoom, double spread);

} // namespace pimentostage
