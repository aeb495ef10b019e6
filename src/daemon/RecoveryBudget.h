#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/backend/RouterFence.h"
#include "pimentostage/backend/RoutingFence.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/RoleTiming.h"

namespace pimentostage {

/// A key is to be served again within this time of a loss.
inline constexpr Duration kRecoveryTarget = std::chrono::seconds(3);
/// Time allowed for the store's writes and the grants of a takeover.
inline constexpr Duration kTakeoverWork = std::chrono::milliseconds(200);

// Owner lost alone: its lease, stamped at the loss at the latest, has to lapse.
static_assert(kClockDrift.stretched(kServerLease) + kTakeoverWork <= kRecoveryTarget);
// Coordinator and owner lost at once: the new coordinator has to wait for the old one's authority
// and then for the lease that the old one may have granted at its very end.
static_assert(kClockDrift.stretched(MembershipTiming {}.detection() + kStoreAuthority
                                    + kServerLease)
                  + kTakeoverWork
              <= kRecoveryTarget);
// Coordinator lost alone: a server's lease, granted up to a period ago with a stamp up to a period
// old, outlasts the takeover.
static_assert(kClockDrift.stretched(MembershipTiming {}.detection() + kStoreAuthority)
                  + kTakeoverWork
              <= kServerLease - 2 * kGrantPeriod);

/// Longest timeout of the routes of a service whose back ends check no fence, if its keys are to be
/// served again within the target.
inline constexpr Duration kMostUncheckedTimeout = std::chrono::milliseconds(1900);
// Such an owner lost alone: it has to be silent, and what was sent to it has to end.
static_assert(kClockDrift.stretched(kProbeSilence + kMostUncheckedTimeout + kMostTransit)
                  + kTakeoverWork
              <= kRecoveryTarget);

} // namespace pimentostage
