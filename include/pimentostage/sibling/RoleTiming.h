#pragma once

#include "pimentostage/base/Time.h"

#include <cstddef>

namespace pimentostage {

/// Duration of a holder's authority, from the time when a request that the store confirmed was
/// sent.
inline constexpr Duration kStoreAuthorityDuration = std::chrono::milliseconds(600);
/// Duration of a member's promise, from the time when the request for it was sent.
inline constexpr Duration kPromiseDuration = std::chrono::milliseconds(600);
/// Period at which a holder renews its authority by promises and the store.
inline constexpr Duration kRenewalPeriod = std::chrono::milliseconds(200);
/// Maximum number of members whose promises count for a role.
inline constexpr std::size_t kMaxVoters = 7;

} // namespace pimentostage
