#include "src/daemon/AllowanceControl.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr const char *kRolePrefix = "accounts.";
// A request to the holder is sent again if no reply arrives in this time.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(20);
// Up to this many accounts form a single group: each further role needs promises of its own.
constexpr std::size_t kMaxSingleGroupAccounts = 16;
// Number of groups for more accounts. A holder with a tenth of a core can then serve 70 hosts.
constexpr std::uint64_t kPartitionedGroupCount = 8;
// A report that the new holder has not acknowledged is sent again after this time.
constexpr Duration kReportRetryPeriod = std::chrono::milliseconds(100);
// Token buckets that have been unused for this long are not renewed.
constexpr Duration kMaxIdleTime = std::chrono::seconds(2);

RoleName roleOfGroup(std::uint64_t group)
{
    return RoleName(kRolePrefix + std::to_string(group));
}

std::uint64_t groupCountFor(std::size_t accounts)
{
    return accounts <= kMaxSingleGroupAccounts ? 1 : kPartitionedGroupCount;
}

} // namespace

AllowanceControl::AllowanceControl(const HostName &self, LocalTokenBuckets &buckets,
                                   SiblingSender &sender, std::uint64_t groupCount,
                                   HoldsRole holdsRole, MetricRegistry &metrics)
    : self_(self)
    , tokenBuckets_(buckets)
    , sender_(sender)
    , configuredGroupCount_(groupCount)
    , groupCount_(std::max<std::uint64_t>(1, groupCount))
    , holdsRole_(std::move(holdsRole))
    , configuration_(std::make_shared<Configuration>())
    , requests_(metrics.counter("pimento_allowance_requests_total",
                                "Requests for loans made to holders of accounts."))
    , leases_(metrics.counter("pimento_allowance_loans_total",
                              "Loans made by this host as holder of accounts."))
    , unansweredRequests_(metrics.counter("pimento_allowance_unanswered_total",
                                          "Requests for loans that got no reply in time."))
{ }

std::set<RoleName> AllowanceControl::roles() const
{
    std::set<RoleName> roles;
    if (configuration_->contracts_.empty())
        return roles;
    for (std::uint64_t group = 0; group < groupCount_; ++group)
        roles.insert(roleOfGroup(group));
    return roles;
}

RoleName AllowanceControl::roleOf(const AccountName &account) const
{
    return roleOfGroup(hash64(account.str()) % groupCount_);
}

void AllowanceControl::onConfig(std::shared_ptr<const Configuration> configuration, TimePoint now)
{
    configuration_ = std::move(configuration);
    const std::uint64_t groupCount = configuredGroupCount_ > 0
                                         ? configuredGroupCount_
                                         : groupCountFor(configuration_->contracts_.size());
    if (groupCount != groupCount_) {
        // Accounts move to other holders: the leases of the former ones have to expire first.
        for (auto &[role, group] : heldGroups_) {
            group.allocators_.clear();
            group.reportedHosts_.clear();
            group.start_.recoveryUntil_ = now + kClockDrift.stretched(kShareValidity);
        }
        groupCount_ = groupCount;
    }
    limits_.clear();
    for (const auto &[team, contract] : configuration_->contracts_)
        limits_[LocalTokenBuckets::accountOf(team)] = RateLimit { contract.rate_, contract.burst_ };
}

std::optional<RateLimit> AllowanceControl::limitOf(const AccountName &account) const
{
    const auto found = limits_.find(account);
    if (found == limits_.end())
        return std::nullopt;
    return found->second;
}

std::optional<HostName> AllowanceControl::holderOf(const AccountName &account) const
{
    const auto record = configuration_->roles_.find(roleOf(account));
    if (record == configuration_->roles_.end())
        return std::nullopt;
    return record->second.holder_.host_;
}

void AllowanceControl::onRoleGained(const RoleName &role, const RoleGained &gained, TimePoint now)
{
    if (role.str().rfind(kRolePrefix, 0) != 0)
        return;
    AccountGroup group;
    group.start_.epoch_ = gained.epoch_;
    group.start_.since_ = now;
    group.start_.recoveryUntil_
        = gained.isFirst_ ? now : now + kClockDrift.stretched(kShareValidity);
    heldGroups_[role] = std::move(group);
}

void AllowanceControl::onRoleLost(const RoleName &role)
{
    heldGroups_.erase(role);
}

// Reports all leases in use to a new holder, so that its recovery ends before they would have
// expired.
void AllowanceControl::reportLeases(TimePoint now)
{
    // The store may still have the records of holders from when there were contracts.
    if (configuration_->contracts_.empty())
        return;
    for (const auto &[role, record] : configuration_->roles_) {
        if (role.str().rfind(kRolePrefix, 0) != 0)
            continue;
        ReportState &report = reportStates_[role];
        if (report.epoch_ != record.epoch_)
            report = ReportState { record.epoch_, false, now };
        if (report.isAcknowledged_ || now < report.nextAttemptAt_)
            continue;
        report.nextAttemptAt_ = now + kReportRetryPeriod;
        AllowanceRequests requests;
        requests.role_ = role;
        requests.reportEpoch_ = record.epoch_;
        for (const auto &[team, bucket] : tokenBuckets_.tokenBuckets()) {
            if (roleOf(bucket->account()) != role)
                continue;
            bucket->rejectLeasesBefore(record.epoch_);
            if (!bucket->holdsLease(now) && !bucket->hasWaiters())
                continue;
            requests.requests_.push_back(bucket->request(now, RequestKind::Regular));
        }
        send({ { record.holder_.host_, requests } }, now);
    }
}

void AllowanceControl::recordReport(const HostName &from, const AllowanceRequests &requests,
                                    TimePoint now)
{
    const auto group = heldGroups_.find(requests.role_);
    if (group == heldGroups_.end() || group->second.start_.epoch_ != requests.reportEpoch_)
        return;
    group->second.reportedHosts_.insert(from);
    const auto hasReported
        = [&](const auto &entry) { return group->second.reportedHosts_.contains(entry.first); };
    const auto &hosts = configuration_->entryHosts_;
    const bool isComplete = !hosts.empty() && std::all_of(hosts.begin(), hosts.end(), hasReported);
    if (!isComplete || group->second.start_.recoveryUntil_ <= now)
        return;
    group->second.start_.recoveryUntil_ = now;
    for (auto &[account, allocator] : group->second.allocators_)
        allocator.endRecovery(now);
}

AllowanceReplies AllowanceControl::handleRequests(const HostName &from,
                                                  const AllowanceRequests &requests, TimePoint now)
{
    AllowanceReplies replies = allocate(from, requests, now);
    const auto group = heldGroups_.find(requests.role_);
    const bool isReport
        = group != heldGroups_.end() && group->second.start_.epoch_ == requests.reportEpoch_;
    if (!isReport)
        return replies;
    recordReport(from, requests, now);
    replies.role_ = requests.role_;
    replies.reportEpoch_ = requests.reportEpoch_;
    return replies;
}

void AllowanceControl::tick(TimePoint now)
{
    reportLeases(now);
    Batches batches;
    for (const auto &[team, bucket] : tokenBuckets_.tokenBuckets()) {
        if (bucket->hasWaiters()) {
            bucket->serveWaiters(now);
            bucket->expireWaiters(now);
        }
        RequestState &state = requestStates_[bucket->account()];
        const bool hasTimedOut = state.isPending_ && now >= state.sentAt_ + kReplyTimeout;
        if (hasTimedOut) {
            state.isPending_ = false;
            unansweredRequests_.add();
        }
        const bool isRenewalDue = now >= state.sentAt_ + kShareRenewalPeriod
                                  && now < bucket->lastUsedAt() + kMaxIdleTime;
        if (!state.isPending_ && (isRenewalDue || bucket->hasWaiters()))
            addRequest(*bucket, RequestKind::Regular, now, batches);
    }
    send(batches, now);
}

void AllowanceControl::onTokensNeeded(const AccountName &account, TimePoint now)
{
    LocalTokenBucket *bucket = tokenBuckets_.find(account);
    if (!bucket || requestStates_[account].isPending_ || !bucket->hasWaiters())
        return;
    Batches batches;
    addRequest(*bucket, RequestKind::Regular, now, batches);
    send(batches, now);
}

void AllowanceControl::addRequest(LocalTokenBucket &bucket, RequestKind kind, TimePoint now,
                                  Batches &batches)
{
    const auto holder = holderOf(bucket.account());
    if (!holder)
        return;
    requestStates_[bucket.account()] = RequestState { now, true };
    batches[*holder].requests_.push_back(bucket.request(now, kind));
    requests_.add();
}

void AllowanceControl::send(const Batches &batches, TimePoint now)
{
    for (const auto &[holder, batch] : batches) {
        AllowanceRequests requests = batch;
        requests.sentAt_ = now.time_since_epoch();
        if (holder == self_)
            apply(handleRequests(self_, requests, now), now);
        else
            sender_.send(holder, requests);
    }
}

void AllowanceControl::onMessage(const HostName &from, const AllowanceRequests &requests,
                                 TimePoint now)
{
    const AllowanceReplies replies = handleRequests(from, requests, now);
    if (!replies.leases_.empty() || replies.reportEpoch_ != Epoch {})
        sender_.send(from, replies);
}

AllowanceReplies AllowanceControl::allocate(const HostName &host, const AllowanceRequests &requests,
                                            TimePoint now)
{
    AllowanceReplies replies;
    replies.sentAt_ = requests.sentAt_;
    for (const AllowanceRequest &request : requests.requests_) {
        if (auto lease = allocate(host, request, now))
            replies.leases_.push_back(std::move(*lease));
    }
    return replies;
}

std::optional<AllowanceLease> AllowanceControl::allocate(const HostName &host,
                                                         const AllowanceRequest &request,
                                                         TimePoint now)
{
    const RoleName role = roleOf(request.account_);
    const auto group = heldGroups_.find(role);
    const auto limit = limitOf(request.account_);
    if (group == heldGroups_.end() || !limit || !holdsRole_(role, now))
        return std::nullopt;
    AllowanceAllocator &allocator = allocatorFor(group->second, request.account_, *limit, now);
    leases_.add();
    AllocationResult result = allocator.allocate(host, request, now);
    for (const HostName &other : result.reclaimFrom_) {
        const AllowanceReclaim reclaim { { request.account_ } };
        if (other == self_)
            onMessage(self_, reclaim, now);
        else
            sender_.send(other, reclaim);
    }
    return result.allowanceLease_;
}

AllowanceAllocator &AllowanceControl::allocatorFor(AccountGroup &group, const AccountName &account,
                                                   const RateLimit &limit, TimePoint now)
{
    const auto found = group.allocators_.find(account);
    if (found != group.allocators_.end()) {
        if (found->second.limit() != limit)
            found->second.setLimit(limit, now);
        return found->second;
    }
    return group.allocators_.emplace(account, AllowanceAllocator(limit, group.start_, now))
        .first->second;
}

void AllowanceControl::onMessage(const AllowanceReplies &replies, TimePoint now)
{
    apply(replies, now);
    // Waiters that were added while the request was in flight need another request.
    Batches batches;
    for (const AllowanceLease &lease : replies.leases_) {
        LocalTokenBucket *bucket = tokenBuckets_.find(lease.account_);
        if (bucket && bucket->hasWaiters())
            addRequest(*bucket, RequestKind::Regular, now, batches);
    }
    send(batches, now);
}

void AllowanceControl::onMessage(const HostName &from, const AllowanceReclaim &reclaim,
                                 TimePoint now)
{
    Batches batches;
    for (const AccountName &account : reclaim.accounts_) {
        LocalTokenBucket *bucket = tokenBuckets_.find(account);
        if (bucket && holderOf(account) == from)
            addRequest(*bucket, RequestKind::Reclaim, now, batches);
    }
    send(batches, now);
}

void AllowanceControl::apply(const AllowanceReplies &replies, TimePoint now)
{
    const TimePoint sentAt { replies.sentAt_ };
    if (sentAt > now)
        return;
    const auto report = reportStates_.find(replies.role_);
    if (report != reportStates_.end() && report->second.epoch_ == replies.reportEpoch_)
        report->second.isAcknowledged_ = true;
    for (const AllowanceLease &lease : replies.leases_) {
        LocalTokenBucket *bucket = tokenBuckets_.find(lease.account_);
        if (!bucket)
            continue;
        requestStates_[lease.account_].isPending_ = false;
        bucket->applyLease(lease, sentAt, now);
    }
}

} // namespace pimentostage
