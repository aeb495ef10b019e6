#pragma once

#include "pimentostage/base/Time.h"

#include <cstddef>

namespace pimentostage {

/// How long a holder's authority lasts after a confirming request to the store was sent.
inline constexpr Duration kStoreAuthority = std::chrono::milliseconds(600);
/// How long a member's promise lasts after the request for it was sent.
inline constexpr Duration kPromiseLife = std::chrono::milliseconds(600);
/// How often a holder has its authority confirmed by the store and by promises.
inline constexpr Duration kConfirmPeriod = std::chrono::milliseconds(200);
/// Most members whose promises count for a role.
inline constexpr std::size_t kMostPromisers = 7;

} // namespace pimentostage
