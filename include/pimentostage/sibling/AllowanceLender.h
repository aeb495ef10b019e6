#pragma once

#include "pimentostage/sibling/Allowance.h"

#include <map>
#include <vector>

namespace pimentostage {

/// Lends parts of one account's bound to hosts so that their sum never exceeds it.
///
/// At every moment the tokens in the central bucket, the tokens lent and not yet lapsed, and the
/// caps of all shares that may be in use add up to at most the burst, and the rates of all shares
/// and of the central bucket to at most the rate.
class AllowanceLender
{
public:
    /// @param epoch epoch under which the holder has its role.
    /// @param unseenUntil until when loans of an earlier holder may be in use; the bucket starts
    ///        empty and fills from then on.
    /// @param level tokens in the bucket at @p now.
    AllowanceLender(const AllowanceTerms &terms, Epoch epoch, TimePoint unseenUntil, double level,
                    TimePoint now);

    /// Answers @p request of @p borrower.
    AllowanceLoan lend(const HostName &borrower, const AllowanceRequest &request, TimePoint now);

    /// Replaces the bound. A lower one is reached as loans under the former one lapse.
    void setTerms(const AllowanceTerms &terms, TimePoint now);

    [[nodiscard]] const AllowanceTerms &terms() const { return terms_; }
    /// @return tokens in the central bucket as of the last call.
    [[nodiscard]] double level() const { return level_; }

private:
    struct Share
    {
        LoanNumber number_;
        double rate_ = 0;
        double burst_ = 0;
        TimePoint until_;
    };
    struct Borrower
    {
        std::vector<Share> shares_; ///< the newest last; more than one while unacknowledged
        double demand_ = 0;
        TimePoint seenAt_;
    };
    struct TopUp
    {
        double tokens_ = 0;
        TimePoint until_;
    };

    void advance(TimePoint now);
    void refill(TimePoint until);
    [[nodiscard]] TimePoint nextLapse(TimePoint until) const;
    void dropLapsed(TimePoint now);
    void adopt(Borrower &borrower, const AllowanceRequest &request, TimePoint now);
    [[nodiscard]] Share chooseShare(const HostName &name, const Borrower &borrower,
                                    TimePoint now) const;
    double takeTokens(const AllowanceRequest &request, TimePoint now);
    [[nodiscard]] Duration emptyFor(const AllowanceRequest &request, TimePoint now) const;
    [[nodiscard]] double lentRate() const;
    [[nodiscard]] double lentBurst() const;
    [[nodiscard]] double centralRate(TimePoint now) const;
    [[nodiscard]] double centralCap() const;

    AllowanceTerms terms_;
    const Epoch epoch_;
    const TimePoint unseenUntil_;
    double level_;
    TimePoint advancedTo_;
    std::uint64_t lastSequence_ = 0;
    std::map<HostName, Borrower> borrowers_;
    std::vector<TopUp> topUps_;
};

} // namespace pimentostage
