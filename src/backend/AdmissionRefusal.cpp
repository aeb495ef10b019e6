#include "pimentostage/backend/AdmissionRefusal.h"

namespace pimentostage {

Duration spreadRetryAfter(Duration untilRoom, double spread)
{
    constexpr double kMaxSpread = 0.5;
    return fromSeconds(toSeconds(untilRoom) * (1 + kMaxSpread * spread));
}

} // namespace pimentostage
