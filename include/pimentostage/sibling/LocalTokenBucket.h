#pragma once

#include "pimentostage/base/DecayingRate.h"
#include "pimentostage/base/EnumNames.h"
#include "pimentostage/sibling/Allowance.h"

#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace pimentostage {

/// Outcome of an attempt to spend tokens.
enum class SpendResult { Spent, Refused, Waiting, Unavailable };

template <>
struct EnumTable<SpendResult>
{
    static constexpr std::array kRows {
        EnumName<SpendResult> { SpendResult::Spent, "spent" },
        EnumName<SpendResult> { SpendResult::Refused, "refused" },
        EnumName<SpendResult> { SpendResult::Waiting, "waiting" },
        EnumName<SpendResult> { SpendResult::Unavailable, "unavailable" },
    };
};

/// Why a host requests a new lease, which determines how much of the current share it keeps.
enum class RequestKind { Regular, Reclaim };

/// One host's local token bucket for an account: its share of the rate, and top-ups.
///
/// Traffic threads spend from it and the control thread renews it.
class LocalTokenBucket
{
public:
    /// Called once with Spent, Refused or Unavailable if spend() returned Waiting.
    using Callback = std::function<void(SpendResult)>;

    explicit LocalTokenBucket(AccountName account);

    /// Spends @p tokens, or queues a waiter for the holder's reply if too few are available.
    /// @param callback stored and called later only if the result is Waiting.
    SpendResult spend(double tokens, TimePoint now, Callback callback);

    /// Reduces the share to what is needed. A Regular request returns only a large surplus; a
    /// Reclaim request returns everything beyond the current demand.
    /// @return the request to send to the holder now.
    AllowanceRequest request(TimePoint now, RequestKind kind = RequestKind::Regular);

    /// From now on ignores leases of holders whose epoch is below @p epoch.
    void rejectLeasesBefore(Epoch epoch);

    /// Applies a lease that replies to a request sent at @p sentAt, and serves waiters. A lease
    /// that is not newer than the current one is ignored.
    void applyLease(const AllowanceLease &lease, TimePoint sentAt, TimePoint now);

    /// Serves waiters from the tokens that are available at @p now.
    void serveWaiters(TimePoint now);

    /// Completes waiters that have waited for kMaxWait with Unavailable.
    void expireWaiters(TimePoint now);

    /// Withdraws the account: completes all waiters with Refused, and refuses all later attempts.
    void close();

    /// @return whether a share or a top-up is still valid.
    [[nodiscard]] bool holdsLease(TimePoint now) const;

    [[nodiscard]] bool hasWaiters() const;
    /// @return the time of the last call of spend().
    [[nodiscard]] TimePoint lastUsedAt() const;
    [[nodiscard]] const AccountName &account() const { return account_; }

    /// Maximum time that a waiter waits for the holder's reply.
    static constexpr Duration kMaxWait = std::chrono::milliseconds(150);
    /// Maximum number of waiters; further attempts are refused.
    static constexpr std::size_t kMaxWaiters = 1024;

private:
    static constexpr double kDemandTimeConstantSeconds = 0.5;
    static constexpr double kRecentTimeConstantSeconds = 0.1;

    struct Waiter
    {
        double tokens_ = 0;
        TimePoint since_;
        Callback callback_;
    };
    struct Completion
    {
        Callback callback_;
        SpendResult result_ = SpendResult::Refused;
    };

    void refill(TimePoint now);
    bool takeTokens(double tokens);

    double shrink(double rate, double burst);
    std::vector<Completion> completeWaiters(TimePoint now);

    const AccountName account_;
    mutable std::mutex mutex_;
    AllowanceLeaseId lastLeaseId_;
    Epoch minEpoch_; ///< of leases that are accepted
    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    TimePoint validUntil_ {};
    TimePoint refilledAt_ {};
    double topUp_ = 0;
    TimePoint topUpUntil_ {};
    TimePoint noTokensUntil_ {}; ///< the holder has no tokens before then
    DecayingRate demand_ { kDemandTimeConstantSeconds };
    DecayingRate recentDemand_ { kRecentTimeConstantSeconds };
    TimePoint lastUsedAt_ {};
    std::deque<Waiter> waiters_;
    bool isClosed_ = false;
};

} // namespace pimentostage
