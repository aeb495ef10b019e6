#pragma once

#include "pimentostage/base/Counters.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/sibling/AllowanceLender.h"
#include "pimentostage/sibling/Messages.h"
#include "pimentostage/sibling/RoleKeeper.h"
#include "src/daemon/PurseBook.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pimentostage {

/// Borrows for this host's purses and lends for the accounts that this host holds.
///
/// Accounts are divided into groups; each group has a role whose holder lends. Lives on the
/// control thread.
class AllowanceControl
{
public:
    /// @return whether this host may act in a role at a time.
    using Holds = std::function<bool(const RoleName &, TimePoint)>;

    /// @param groups groups of accounts, each with a holder of its own, equal on all hosts; 0 for a
    ///        number that follows from how many accounts there are.
    AllowanceControl(const HostName &self, PurseBook &purses, SiblingSender &sender,
                     std::uint64_t groups, Holds holds, Counters &counters);

    /// @return the roles of the holders of all groups.
    [[nodiscard]] std::set<RoleName> roles() const;
    /// @return the role of the holder of @p account.
    [[nodiscard]] RoleName roleOf(const AccountName &account) const;

    void onConfig(std::shared_ptr<const Configuration> configuration, TimePoint now);
    void onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now);
    void onRoleLost(const RoleName &role);

    /// Renews shares that are due and asks for tokens that spenders wait for.
    void tick(TimePoint now);
    /// Asks at once for @p account, for which spenders wait.
    void onTokensWanted(const AccountName &account, TimePoint now);

    void onMessage(const HostName &from, const LoanRequests &requests, TimePoint now);
    void onMessage(const LoanReplies &replies, TimePoint now);
    void onMessage(const HostName &from, const LoanRecall &recall, TimePoint now);

private:
    /// A group of accounts that this host holds.
    struct Held
    {
        LenderStart start_;
        std::set<HostName> reported_; ///< hosts that told of all loans they may hold
        std::map<AccountName, AllowanceLender> lenders_;
    };
    struct Asked
    {
        TimePoint at_;
        bool isOpen_ = false; ///< no reply yet
    };

    /// What this host has told a holder of its loans.
    struct Report
    {
        Epoch epoch_; ///< of the holder
        bool isTaken_ = false;
        TimePoint nextAt_ {};
    };

    using Batches = std::map<HostName, LoanRequests>;

    void reportLoans(TimePoint now);
    void noteReport(const HostName &from, const LoanRequests &requests, TimePoint now);
    LoanReplies handle(const HostName &from, const LoanRequests &requests, TimePoint now);
    void ask(TokenPurse &purse, PurseNeed need, TimePoint now, Batches &batches);
    void send(const Batches &batches, TimePoint now);
    void apply(const LoanReplies &replies, TimePoint now);
    LoanReplies lend(const HostName &borrower, const LoanRequests &requests, TimePoint now);
    std::optional<AllowanceLoan> lend(const HostName &borrower, const AllowanceRequest &request,
                                      TimePoint now);
    [[nodiscard]] std::optional<AllowanceTerms> termsOf(const AccountName &account) const;
    [[nodiscard]] std::optional<HostName> holderOf(const AccountName &account) const;
    AllowanceLender &lenderFor(Held &held, const AccountName &account, const AllowanceTerms &terms,
                               TimePoint now);

    const HostName self_;
    PurseBook &purses_;
    SiblingSender &sender_;
    const std::uint64_t statedGroups_; ///< 0 if their number follows from the accounts
    std::uint64_t groups_;
    const Holds holds_;
    std::shared_ptr<const Configuration> configuration_;
    std::map<AccountName, AllowanceTerms> terms_;
    std::map<RoleName, Held> held_;
    std::map<AccountName, Asked> asked_;
    std::map<RoleName, Report> reports_;
    Counter &requests_;
    Counter &loans_;
    Counter &lostAnswers_;
};

} // namespace pimentostage
