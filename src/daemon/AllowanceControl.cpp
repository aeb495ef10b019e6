#include "src/daemon/AllowanceControl.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr const char *kRolePrefix = "accounts.";
// A request to the holder that got no reply in this time is sent again.
constexpr Duration kAnswerWait = std::chrono::milliseconds(20);
// Up to this many accounts one holder lends all: each further role costs its own promises.
constexpr std::size_t kFewAccounts = 16;
// Groups beyond that; a holder on a tenth of a core then lends to 70 hosts.
constexpr std::uint64_t kGroupsOfMany = 8;
// A report to a new holder that was not taken is sent again.
constexpr Duration kReportPeriod = std::chrono::milliseconds(100);
// Purses not used for this long are not renewed.
constexpr Duration kUnusedTime = std::chrono::seconds(2);

RoleName roleOfGroup(std::uint64_t group)
{
    return RoleName(kRolePrefix + std::to_string(group));
}

std::uint64_t groupsFor(std::size_t accounts)
{
    return accounts <= kFewAccounts ? 1 : kGroupsOfMany;
}

} // namespace

AllowanceControl::AllowanceControl(const HostName &self, PurseBook &purses, SiblingSender &sender,
                                   std::uint64_t groups, Holds holds, Counters &counters)
    : self_(self)
    , purses_(purses)
    , sender_(sender)
    , statedGroups_(groups)
    , groups_(std::max<std::uint64_t>(1, groups))
    , holds_(std::move(holds))
    , configuration_(std::make_shared<Configuration>())
    , requests_(counters.counter("pimento_allowance_requests_total",
                                 "Requests for loans made to holders of accounts."))
    , loans_(counters.counter("pimento_allowance_loans_total",
                              "Loans made by this host as holder of accounts."))
    , lostAnswers_(counters.counter("pimento_allowance_unanswered_total",
                                    "Requests for loans that got no reply in time."))
{ }

std::set<RoleName> AllowanceControl::roles() const
{
    std::set<RoleName> roles;
    for (std::uint64_t group = 0; group < groups_; ++group)
        roles.insert(roleOfGroup(group));
    return roles;
}

RoleName AllowanceControl::roleOf(const AccountName &account) const
{
    return roleOfGroup(hash64(account.str()) % groups_);
}

void AllowanceControl::onConfig(std::shared_ptr<const Configuration> configuration, TimePoint now)
{
    configuration_ = std::move(configuration);
    const std::uint64_t groups
        = statedGroups_ > 0 ? statedGroups_ : groupsFor(configuration_->contracts_.size());
    if (groups != groups_) {
        // Accounts change their holders: what the former ones lent has to lapse.
        for (auto &[role, held] : held_) {
            held.lenders_.clear();
            held.reported_.clear();
            held.start_.unseenUntil_ = now + kClockDrift.stretched(kShareValidity);
        }
        groups_ = groups;
    }
    terms_.clear();
    for (const auto &[team, contract] : configuration_->contracts_)
        terms_[PurseBook::accountOf(team)] = AllowanceTerms { contract.rate_, contract.burst_ };
}

std::optional<AllowanceTerms> AllowanceControl::termsOf(const AccountName &account) const
{
    const auto found = terms_.find(account);
    if (found == terms_.end())
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
    Held held;
    held.start_.epoch_ = gained.epoch_;
    held.start_.since_ = now;
    held.start_.unseenUntil_ = gained.isFirst_ ? now : now + kClockDrift.stretched(kShareValidity);
    held_[role] = std::move(held);
}

void AllowanceControl::onRoleLost(const RoleName &role)
{
    held_.erase(role);
}

// Tells a new holder of all loans in use, so that it need not wait until they have surely lapsed.
void AllowanceControl::reportLoans(TimePoint now)
{
    for (const auto &[role, record] : configuration_->roles_) {
        if (role.str().rfind(kRolePrefix, 0) != 0)
            continue;
        Report &report = reports_[role];
        if (report.epoch_ != record.epoch_)
            report = Report { record.epoch_, false, now };
        if (report.isTaken_ || now < report.nextAt_)
            continue;
        report.nextAt_ = now + kReportPeriod;
        LoanRequests requests;
        requests.role_ = role;
        requests.completeFor_ = record.epoch_;
        for (const auto &[team, purse] : purses_.purses()) {
            if (roleOf(purse->account()) != role)
                continue;
            purse->refuseBefore(record.epoch_);
            if (!purse->holdsLoan(now) && !purse->hasWaiters())
                continue;
            requests.requests_.push_back(purse->request(now, PurseNeed::Usual));
        }
        send({ { record.holder_.host_, requests } }, now);
    }
}

void AllowanceControl::noteReport(const HostName &from, const LoanRequests &requests, TimePoint now)
{
    const auto held = held_.find(requests.role_);
    if (held == held_.end() || held->second.start_.epoch_ != requests.completeFor_)
        return;
    held->second.reported_.insert(from);
    const auto hasReported
        = [&](const auto &entry) { return held->second.reported_.contains(entry.first); };
    const auto &hosts = configuration_->entryHosts_;
    const bool isComplete = !hosts.empty() && std::all_of(hosts.begin(), hosts.end(), hasReported);
    if (!isComplete || held->second.start_.unseenUntil_ <= now)
        return;
    held->second.start_.unseenUntil_ = now;
    for (auto &[account, lender] : held->second.lenders_)
        lender.endUnseen(now);
}

LoanReplies AllowanceControl::handle(const HostName &from, const LoanRequests &requests,
                                     TimePoint now)
{
    LoanReplies replies = lend(from, requests, now);
    const auto held = held_.find(requests.role_);
    const bool isReport
        = held != held_.end() && held->second.start_.epoch_ == requests.completeFor_;
    if (!isReport)
        return replies;
    noteReport(from, requests, now);
    replies.role_ = requests.role_;
    replies.completeFor_ = requests.completeFor_;
    return replies;
}

void AllowanceControl::tick(TimePoint now)
{
    reportLoans(now);
    Batches batches;
    for (const auto &[team, purse] : purses_.purses()) {
        if (purse->hasWaiters()) {
            purse->serveWaiters(now);
            purse->expireWaiters(now);
        }
        Asked &asked = asked_[purse->account()];
        const bool isLost = asked.isOpen_ && now >= asked.at_ + kAnswerWait;
        if (isLost) {
            asked.isOpen_ = false;
            lostAnswers_.add();
        }
        const bool isRenewalDue
            = now >= asked.at_ + kShareRenewal && now < purse->usedAt() + kUnusedTime;
        if (!asked.isOpen_ && (isRenewalDue || purse->hasWaiters()))
            ask(*purse, PurseNeed::Usual, now, batches);
    }
    send(batches, now);
}

void AllowanceControl::onTokensWanted(const AccountName &account, TimePoint now)
{
    TokenPurse *purse = purses_.find(account);
    if (!purse || asked_[account].isOpen_ || !purse->hasWaiters())
        return;
    Batches batches;
    ask(*purse, PurseNeed::Usual, now, batches);
    send(batches, now);
}

void AllowanceControl::ask(TokenPurse &purse, PurseNeed need, TimePoint now, Batches &batches)
{
    const auto holder = holderOf(purse.account());
    if (!holder)
        return;
    asked_[purse.account()] = Asked { now, true };
    batches[*holder].requests_.push_back(purse.request(now, need));
    requests_.add();
}

void AllowanceControl::send(const Batches &batches, TimePoint now)
{
    for (const auto &[holder, batch] : batches) {
        LoanRequests requests = batch;
        requests.sentAt_ = now.time_since_epoch();
        if (holder == self_)
            apply(handle(self_, requests, now), now);
        else
            sender_.send(holder, requests);
    }
}

void AllowanceControl::onMessage(const HostName &from, const LoanRequests &requests, TimePoint now)
{
    const LoanReplies replies = handle(from, requests, now);
    if (!replies.loans_.empty() || replies.completeFor_ != Epoch {})
        sender_.send(from, replies);
}

LoanReplies AllowanceControl::lend(const HostName &borrower, const LoanRequests &requests,
                                   TimePoint now)
{
    LoanReplies replies;
    replies.sentAt_ = requests.sentAt_;
    for (const AllowanceRequest &request : requests.requests_) {
        if (auto loan = lend(borrower, request, now))
            replies.loans_.push_back(std::move(*loan));
    }
    return replies;
}

std::optional<AllowanceLoan> AllowanceControl::lend(const HostName &borrower,
                                                    const AllowanceRequest &request, TimePoint now)
{
    const RoleName role = roleOf(request.account_);
    const auto held = held_.find(role);
    const auto terms = termsOf(request.account_);
    if (held == held_.end() || !terms || !holds_(role, now))
        return std::nullopt;
    AllowanceLender &lender = lenderFor(held->second, request.account_, *terms, now);
    loans_.add();
    LendResult result = lender.lend(borrower, request, now);
    for (const HostName &host : result.recallFrom_) {
        const LoanRecall recall { { request.account_ } };
        if (host == self_)
            onMessage(self_, recall, now);
        else
            sender_.send(host, recall);
    }
    return result.loan_;
}

AllowanceLender &AllowanceControl::lenderFor(Held &held, const AccountName &account,
                                             const AllowanceTerms &terms, TimePoint now)
{
    const auto found = held.lenders_.find(account);
    if (found != held.lenders_.end()) {
        if (found->second.terms() != terms)
            found->second.setTerms(terms, now);
        return found->second;
    }
    return held.lenders_.emplace(account, AllowanceLender(terms, held.start_, now)).first->second;
}

void AllowanceControl::onMessage(const LoanReplies &replies, TimePoint now)
{
    apply(replies, now);
    // Spenders that came while the request was on its way need one more.
    Batches batches;
    for (const AllowanceLoan &loan : replies.loans_) {
        TokenPurse *purse = purses_.find(loan.account_);
        if (purse && purse->hasWaiters())
            ask(*purse, PurseNeed::Usual, now, batches);
    }
    send(batches, now);
}

void AllowanceControl::onMessage(const HostName &from, const LoanRecall &recall, TimePoint now)
{
    Batches batches;
    for (const AccountName &account : recall.accounts_) {
        TokenPurse *purse = purses_.find(account);
        if (purse && holderOf(account) == from)
            ask(*purse, PurseNeed::Recalled, now, batches);
    }
    send(batches, now);
}

void AllowanceControl::apply(const LoanReplies &replies, TimePoint now)
{
    const TimePoint sentAt { replies.sentAt_ };
    if (sentAt > now)
        return;
    const auto report = reports_.find(replies.role_);
    if (report != reports_.end() && report->second.epoch_ == replies.completeFor_)
        report->second.isTaken_ = true;
    for (const AllowanceLoan &loan : replies.loans_) {
        TokenPurse *purse = purses_.find(loan.account_);
        if (!purse)
            continue;
        asked_[loan.account_].isOpen_ = false;
        purse->applyLoan(loan, sentAt, now);
    }
}

} // namespace pimentostage
