#pragma once

#include "pimentostage/base/DecayingRate.h"
#include "pimentostage/base/EnumNames.h"
#include "pimentostage/sibling/Allowance.h"

#include <deque>
#include <functional>
#include <mutex>
#include <vector>

namespace pimentostage {

/// What became of an attempt to spend tokens.
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

/// What a purse keeps when it asks the holder anew.
enum class PurseNeed { Usual, Recalled };

/// One host's part of an account: the share it holds and the tokens it was lent.
///
/// Used by traffic threads to spend and by the control thread to renew.
class TokenPurse
{
public:
    /// Called once with Spent, Refused or Unavailable for a spender that had to wait.
    using Waiter = std::function<void(SpendResult)>;

    explicit TokenPurse(AccountName account);

    /// Spends @p tokens, or waits for the holder's answer if the purse is short.
    /// @param waiter kept and called later only if the result is Waiting.
    SpendResult spend(double tokens, TimePoint now, Waiter waiter);

    /// @return the request to send to the holder now. Gives back what the purse does not need: a
    ///         little if it is only renewed, all but the demand of the moment if it is recalled.
    AllowanceRequest request(TimePoint now, PurseNeed need = PurseNeed::Usual);

    /// Takes no loan of a holder whose epoch is below @p epoch any more.
    void refuseBefore(Epoch epoch);

    /// Takes a loan that answers a request sent at @p sentAt and serves the waiting spenders.
    void applyLoan(const AllowanceLoan &loan, TimePoint sentAt, TimePoint now);

    /// Serves spenders that wait from what the share has gained since.
    void serveWaiters(TimePoint now);

    /// Tells spenders that have waited longer than kMostWait that the holder is not available.
    void expireWaiters(TimePoint now);

    /// @return whether it may still spend from a loan.
    [[nodiscard]] bool holdsLoan(TimePoint now) const;

    /// @return whether spenders wait for tokens.
    [[nodiscard]] bool hasWaiters() const;
    /// @return when a spender last came.
    [[nodiscard]] TimePoint usedAt() const;
    [[nodiscard]] const AccountName &account() const { return account_; }

    /// Longest time that a spender waits for the holder.
    static constexpr Duration kMostWait = std::chrono::milliseconds(150);
    /// Most spenders that wait at once.
    static constexpr std::size_t kMostWaiters = 1024;

private:
    static constexpr double kDemandSeconds = 0.5;
    static constexpr double kRecentSeconds = 0.1;

    struct Waiting
    {
        double tokens_ = 0;
        TimePoint since_;
        Waiter waiter_;
    };
    struct Decided
    {
        Waiter waiter_;
        SpendResult result_ = SpendResult::Refused;
    };

    void refill(TimePoint now);
    bool take(double tokens);

    double shrink(double rate, double burst);
    std::vector<Decided> decideWaiters(TimePoint now);

    const AccountName account_;
    mutable std::mutex mutex_;
    LoanNumber lastLoan_;
    Epoch leastEpoch_; ///< of loans that are taken
    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    TimePoint validUntil_ {};
    TimePoint refilledAt_ {};
    double topUp_ = 0;
    TimePoint topUpUntil_ {};
    TimePoint emptyUntil_ {};
    DecayingRate demand_ { kDemandSeconds };
    DecayingRate recentDemand_ { kRecentSeconds };
    TimePoint usedAt_ {};
    std::deque<Waiting> waiting_;
};

} // namespace pimentostage
