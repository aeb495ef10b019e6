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
/// A holder that cannot reach the store although others can steps down after this time.
inline constexpr Duration kMaxTimeWithoutStore = std::chrono::seconds(2);
/// Time after which no host acts any more in a term that was undone when the store was restored:
/// that of the last authority is added to the time in which its holder steps down.
inline constexpr Duration kUndoneTermDuration
    = kMaxTimeWithoutStore + kStoreAuthorityDuration + std::chrono::milliseconds(400);
/// Maximum time for which promises of a majority replace the store's confirmation, from the time
/// when the last confirmed request was sent. A lost holder is replaced after it, and everything
/// else must be served again within the 15 s of the platform's recovery bound.
inline constexpr Duration kMaxTimeOnPromises = std::chrono::seconds(10);
/// Maximum number of members whose promises count for a role.
inline constexpr std::size_t kMaxVoters = 7;

} // namespace pimentostage
