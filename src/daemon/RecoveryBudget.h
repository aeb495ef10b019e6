#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/backend/RouterFence.h"
#include "pimentostage/backend/RouterLease.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/RoleTiming.h"

namespace pimentostage {

/// Time within which a key must be served again after a loss.
inline constexpr Duration kRecoveryTarget = std::chrono::seconds(3);
/// Time allowed for the store's writes and the grants of a takeover.
inline constexpr Duration kMaxTakeoverWorkTime = std::chrono::milliseconds(200);

// Only the owner is lost: its lease, stamped no later than the loss, has to expire.
static_assert(kClockDrift.stretched(kServerLeaseDuration) + kMaxTakeoverWorkTime
              <= kRecoveryTarget);
// Coordinator and owner are lost at once: the new coordinator has to wait until the old one's
// authority expires, and then for the lease that the old one may have granted at the end of it.
static_assert(kClockDrift.stretched(MembershipTiming {}.maxDetectionTime() + kStoreAuthorityDuration
                                    + kServerLeaseDuration)
                  + kMaxTakeoverWorkTime
              <= kRecoveryTarget);
// Only the coordinator is lost: a back end's lease, granted up to one period ago with a stamp up to
// one period old, must outlast the takeover.
static_assert(kClockDrift.stretched(MembershipTiming {}.maxDetectionTime()
                                    + kStoreAuthorityDuration)
                  + kMaxTakeoverWorkTime
              <= kServerLeaseDuration - 2 * kGrantPeriod);

/// Max timeout of the routes of a service whose back ends do not check the fence, if its keys must
/// be served again within kRecoveryTarget.
inline constexpr Duration kMaxUncheckedTimeout = std::chrono::milliseconds(1900);
// Only the owner of such a service is lost: it has to be detected by unanswered probes, and the
// requests sent to it have to end.
static_assert(kClockDrift.stretched(kBackendLossTimeout + kMaxUncheckedTimeout + kMaxTransitTime)
                  + kMaxTakeoverWorkTime
              <= kRecoveryTarget);

} // namespace pimentostage
