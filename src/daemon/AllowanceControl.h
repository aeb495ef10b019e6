#pragma once

#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/sibling/AllowanceAllocator.h"
#include "pimentostage/sibling/Messages.h"
#include "pimentostage/sibling/RoleElector.h"
#include "src/daemon/LocalTokenBuckets.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pimentostage {

/// Requests allowance leases for this host's token buckets and allocates them for the accounts that
/// this host holds.
///
/// Accounts are divided into groups; the holder of a group's role allocates for its accounts. Used
/// only on the control thread.
class AllowanceControl
{
public:
    /// @return whether this host may act in a role at the given time.
    using HoldsRole = std::function<bool(const RoleName &, TimePoint)>;

    /// @param groupCount number of account groups, each with its own holder; must be equal on all
    ///        hosts. 0 to derive it from the number of accounts.
    AllowanceControl(const HostName &self, LocalTokenBuckets &buckets, SiblingSender &sender,
                     std::uint64_t groupCount, HoldsRole holdsRole, MetricRegistry &metrics);

    /// @return the roles of the holders of all groups; none if there is no contract.
    [[nodiscard]] std::set<RoleName> roles() const;
    /// @return the role of the holder of @p account.
    [[nodiscard]] RoleName roleOf(const AccountName &account) const;

    void onConfig(std::shared_ptr<const Configuration> configuration, TimePoint now);
    void onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now);
    void onRoleLost(const RoleName &role);

    /// Renews shares that are due, requests tokens for waiters and expires overdue waiters.
    void tick(TimePoint now);
    /// Requests tokens for the waiters of @p account immediately, unless a request is pending.
    void onTokensNeeded(const AccountName &account, TimePoint now);

    void onMessage(const HostName &from, const AllowanceRequests &requests, TimePoint now);
    void onMessage(const AllowanceReplies &replies, TimePoint now);
    void onMessage(const HostName &from, const AllowanceReclaim &reclaim, TimePoint now);

private:
    /// Allocation state of a group of accounts that this host holds.
    struct AccountGroup
    {
        AllocatorStart start_;
        std::set<HostName> reportedHosts_; ///< hosts that sent a complete report of their leases
        std::map<AccountName, AllowanceAllocator> allocators_;
    };
    /// The last request for an account.
    struct RequestState
    {
        TimePoint sentAt_;
        bool isPending_ = false; ///< no reply received yet
    };

    /// Progress of reporting this host's leases to the holder of a role.
    struct ReportState
    {
        Epoch epoch_; ///< of the holder
        bool isAcknowledged_ = false;
        TimePoint nextAttemptAt_ {};
    };

    using Batches = std::map<HostName, AllowanceRequests>;

    void reportLeases(TimePoint now);
    void recordReport(const HostName &from, const AllowanceRequests &requests, TimePoint now);
    AllowanceReplies handleRequests(const HostName &from, const AllowanceRequests &requests,
                                    TimePoint now);
    void addRequest(LocalTokenBucket &bucket, RequestKind kind, TimePoint now, Batches &batches);
    void send(const Batches &batches, TimePoint now);
    void apply(const AllowanceReplies &replies, TimePoint now);
    AllowanceReplies allocate(const HostName &host, const AllowanceRequests &requests,
                              TimePoint now);
    std::optional<AllowanceLease> allocate(const HostName &host, const AllowanceRequest &request,
                                           TimePoint now);
    [[nodiscard]] std::optional<RateLimit> limitOf(const AccountName &account) const;
    [[nodiscard]] std::optional<HostName> holderOf(const AccountName &account) const;
    AllowanceAllocator &allocatorFor(AccountGroup &group, const AccountName &account,
                                     const RateLimit &limit, TimePoint now);

    const HostName self_;
    LocalTokenBuckets &tokenBuckets_;
    SiblingSender &sender_;
    const std::uint64_t configuredGroupCount_; ///< 0 to derive it from the number of accounts
    std::uint64_t groupCount_;
    const HoldsRole holdsRole_;
    std::shared_ptr<const Configuration> configuration_;
    std::map<AccountName, RateLimit> limits_;
    std::map<RoleName, AccountGroup> heldGroups_;
    std::map<AccountName, RequestState> requestStates_;
    std::map<RoleName, ReportState> reportStates_;
    Counter &requests_;
    Counter &leases_;
    Counter &unansweredRequests_;
};

} // namespace pimentostage
