#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <string>

namespace pimentostage {

/// Name of a rate limit that several hosts share, such as that of a team's contract.
using AccountName = Name<struct AccountTag>;

/// Rate limit of one account: at most rate * time + burst tokens are spent in any period.
struct RateLimit
{
    double rate_ = 0; ///< tokens per second
    double burst_ = 0; ///< in tokens

    auto operator<=>(const RateLimit &) const = default;
};

/// Identifies an allowance lease; orders the leases of one account that one host receives.
struct AllowanceLeaseId
{
    Epoch epoch_; ///< of the role of the host that issued the lease
    std::uint64_t sequence_ = 0;

    auto operator<=>(const AllowanceLeaseId &) const = default;
};

/// A host's request to the holder of an account for a lease and for tokens.
struct AllowanceRequest
{
    AccountName account_;
    AllowanceLeaseId lastLeaseId_; ///< newest lease in use; older ones are no longer used
    double demand_ = 0; ///< recent demand, in tokens per second
    double requestedTokens_ = 0; ///< tokens needed immediately
    double minUsefulTokens_ = 0; ///< with fewer tokens no request can be admitted
    double heldRate_ = 0; ///< rate of the share that the host still holds
    double heldBurst_ = 0; ///< burst of the share that the host still holds
    Duration heldValidity_ {}; ///< time until that share expires
    double returnedTokens_ = 0; ///< tokens returned to the account
};

/// The holder's reply: a share of the rate for a limited time, and tokens for immediate use.
struct AllowanceLease
{
    AccountName account_;
    AllowanceLeaseId id_;
    double rate_ = 0; ///< tokens per second, valid for validity_
    double burst_ = 0; ///< capacity of the share's bucket
    Duration validity_ {}; ///< starts when the host sent its request
    double tokens_ = 0; ///< top-up: to be spent within kTopUpValidity
    Duration retryAfter_ {}; ///< no tokens are available before this time has passed
};

/// How long a share of an account stays valid unless it is renewed.
inline constexpr Duration kShareValidity = std::chrono::milliseconds(2000);
/// How often a host renews its shares.
inline constexpr Duration kShareRenewalPeriod = std::chrono::milliseconds(700);
/// How long the tokens of a top-up may be spent.
inline constexpr Duration kTopUpValidity = std::chrono::milliseconds(100);

} // namespace pimentostage
