#pragma once

#include "pimentostage/sibling/Allowance.h"

#include <map>
#include <vector>

namespace pimentostage {

/// When and under which epoch a host became the holder of an account.
struct AllocatorStart
{
    Epoch epoch_; ///< epoch of the host's role
    TimePoint since_;
    TimePoint recoveryUntil_; ///< leases of an earlier holder may be in use until then
};

/// A lease, and the hosts from which to reclaim unused allowance.
struct AllocationResult
{
    AllowanceLease allowanceLease_;
    std::vector<HostName> reclaimFrom_;
};

/// Allocates parts of one account's rate limit to hosts so that their sum never exceeds it.
///
/// At any time, the tokens in the central bucket, the unexpired top-ups and the bucket capacities
/// of all shares that may be in use add up to at most the burst. The rates of these shares and the
/// refill rate of the central bucket add up to at most the rate.
class AllowanceAllocator
{
public:
    /// @param start if there was an earlier holder, the central bucket starts empty, and until all
    ///        leases of that holder have expired, only the part of the limit that is never
    ///        allocated as shares is available.
    AllowanceAllocator(const RateLimit &limit, const AllocatorStart &start, TimePoint now);

    /// Processes @p request from @p host.
    /// @return the lease, and the hosts from which to reclaim unused allowance.
    AllocationResult allocate(const HostName &host, const AllowanceRequest &request, TimePoint now);

    /// Ends recovery early, once every host has reported its leases of earlier holders.
    void endRecovery(TimePoint now);

    /// Replaces the limit. A lower limit takes full effect once leases under the former limit have
    /// expired.
    void setLimit(const RateLimit &limit, TimePoint now);

    [[nodiscard]] const RateLimit &limit() const { return limit_; }
    /// @return tokens in the central bucket as of the last call.
    [[nodiscard]] double level() const { return level_; }

private:
    struct Share
    {
        AllowanceLeaseId id_;
        double rate_ = 0;
        double burst_ = 0;
        TimePoint expiresAt_;
    };
    struct HostState
    {
        std::vector<Share> shares_; ///< newest last; more than one until acknowledged
        double demand_ = 0;
        TimePoint lastRequestAt_;
        TimePoint lastReclaimAt_ {};
    };
    struct TopUp
    {
        double tokens_ = 0;
        TimePoint expiresAt_;
    };

    void advance(TimePoint now);
    void refill(TimePoint until);
    [[nodiscard]] TimePoint nextExpiry(TimePoint until) const;
    void dropExpired(TimePoint now);
    void acknowledge(HostState &state, const AllowanceRequest &request);
    std::vector<HostName> chooseReclaims(const HostName &except, TimePoint now);
    void adoptPriorShare(HostState &state, const AllowanceRequest &request, TimePoint now);
    [[nodiscard]] Share chooseShare(const HostName &host, const HostState &state,
                                    TimePoint now) const;
    double takeTokens(const AllowanceRequest &request, TimePoint now);
    [[nodiscard]] Duration retryAfter(const AllowanceRequest &request, TimePoint now) const;
    [[nodiscard]] double allocatedRate() const;
    [[nodiscard]] double allocatedBurst() const;
    [[nodiscard]] double centralRate(TimePoint now) const;
    [[nodiscard]] double centralCap() const;

    RateLimit limit_;
    AllocatorStart start_;
    double level_ = 0;
    TimePoint advancedTo_;
    std::uint64_t lastSequence_ = 0;
    std::map<HostName, HostState> hosts_;
    std::vector<TopUp> topUps_;
};

} // namespace pimentostage
