#include "tests/fakes/AllowanceFleet.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr std::uint64_t kAccountGroups = 4;

} // namespace

/// Sends the messages of one host over the simulated network.
class AllowanceFleet::Sender : public SiblingSender
{
public:
    Sender(AllowanceFleet &fleet, std::size_t host)
        : fleet_(fleet)
        , host_(host)
    { }

    void send(const HostName &host, const SiblingMessage &message) override
    {
        fleet_.deliver(host_, fleet_.indexOf(host), message);
    }

private:
    AllowanceFleet &fleet_;
    const std::size_t host_;
};

AllowanceFleet::AllowanceFleet(std::size_t hosts, const RateLimit &limit, std::uint64_t seed)
    : random_(seed)
    , limit_(limit)
{
    const std::int64_t kDriftPpm = 400;
    for (std::size_t i = 0; i < hosts; ++i) {
        auto host = std::make_unique<Host>();
        host->name_ = HostName("host-" + std::to_string(i));
        host->clock_ = DriftingClock(std::chrono::seconds(100 + 7 * static_cast<std::int64_t>(i)),
                                     i % 2 == 0 ? kDriftPpm : -kDriftPpm);
        host->sender_ = std::make_unique<Sender>(*this, i);
        host->control_ = std::make_unique<AllowanceControl>(
            host->name_, host->tokenBuckets_, *host->sender_, kAccountGroups,
            [this, i](const RoleName &, TimePoint) { return hasHolder_ && holder_ == i; },
            metrics_);
        hosts_.push_back(std::move(host));
    }
    changeHolder(0, Duration::zero());
    for (std::size_t i = 0; i < hosts; ++i)
        scheduleTick(i);
}

AllowanceFleet::~AllowanceFleet() = default;

std::size_t AllowanceFleet::indexOf(const HostName &name) const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i]->name_ == name)
            return i;
    }
    return hosts_.size();
}

void AllowanceFleet::publish()
{
    auto configuration = std::make_shared<Configuration>();
    Contract contract;
    contract.team_ = team_;
    contract.rate_ = limit_.rate_;
    contract.burst_ = limit_.burst_;
    configuration->contracts_[team_] = contract;
    RoleRecord record;
    record.role_ = hosts_.front()->control_->roleOf(LocalTokenBuckets::accountOf(team_));
    record.epoch_ = epoch_;
    record.holder_.host_ = hosts_[holder_]->name_;
    configuration->roles_[record.role_] = record;
    for (const auto &host : hosts_) {
        host->tokenBuckets_.update(*configuration);
        host->control_->onConfig(configuration, TimePoint {});
    }
}

void AllowanceFleet::changeHolder(std::size_t host, Duration gap)
{
    const RoleName role = hosts_.front()->control_->roleOf(LocalTokenBuckets::accountOf(team_));
    hosts_[holder_]->control_->onRoleLost(role);
    hasHolder_ = false;
    events_.after(gap, [this, host, role] {
        hosts_[holder_]->control_->onRoleLost(role);
        const bool isFirst = epoch_ == Epoch {};
        epoch_ = epoch_.next();
        holder_ = host;
        hasHolder_ = true;
        hosts_[host]->control_->onRoleGained(role, RoleGained { epoch_, isFirst },
                                             hosts_[host]->clock_.at(events_.now()));
        publish();
    });
}

void AllowanceFleet::scheduleTick(std::size_t index)
{
    events_.after(kTickPeriod, [this, index] {
        Host &host = *hosts_[index];
        if (!host.isDead_ && !host.isPaused_)
            host.control_->tick(host.clock_.at(events_.now()));
        scheduleTick(index);
    });
}

void AllowanceFleet::deliver(std::size_t from, std::size_t to, const SiblingMessage &message)
{
    ++messages_;
    if (to >= hosts_.size() || random_.unit() < network_.loss_)
        return;
    const Duration jitter = fromSeconds(random_.unit() * toSeconds(network_.jitter_));
    events_.after(network_.delay_ + jitter,
                  [this, from, to, message] { receive(from, to, message); });
}

void AllowanceFleet::receive(std::size_t from, std::size_t to, const SiblingMessage &message)
{
    Host &host = *hosts_[to];
    if (host.isDead_ || hosts_[from]->isDead_)
        return;
    if (host.isPaused_) {
        events_.after(kTickPeriod, [this, from, to, message] { receive(from, to, message); });
        return;
    }
    const TimePoint now = host.clock_.at(events_.now());
    if (const auto *requests = std::get_if<AllowanceRequests>(&message))
        host.control_->onMessage(hosts_[from]->name_, *requests, now);
    if (const auto *replies = std::get_if<AllowanceReplies>(&message))
        host.control_->onMessage(*replies, now);
    if (const auto *reclaim = std::get_if<AllowanceReclaim>(&message))
        host.control_->onMessage(hosts_[from]->name_, *reclaim, now);
}

void AllowanceFleet::offer(std::size_t index, double tokens)
{
    Host &host = *hosts_[index];
    if (host.isDead_ || host.isPaused_ || host.tokenBuckets_.tokenBuckets().empty())
        return;
    const std::size_t number = offered_.size();
    offered_.push_back(OfferedRequest { events_.now(), tokens, SpendResult::Waiting, {} });
    const auto decided = [this, number](SpendResult result) {
        offered_[number].result_ = result;
        offered_[number].decidedAt_ = events_.now();
    };
    LocalTokenBucket &bucket = *host.tokenBuckets_.tokenBuckets().at(team_);
    const TimePoint now = host.clock_.at(events_.now());
    const SpendResult result = bucket.spend(tokens, now, decided);
    if (result == SpendResult::Waiting)
        host.control_->onTokensNeeded(bucket.account(), now);
    else
        decided(result);
}

void AllowanceFleet::run(Duration duration)
{
    events_.runUntil(events_.now() + duration, [] {});
}

double AllowanceFleet::maxExcess() const
{
    std::vector<OfferedRequest> spent;
    for (const OfferedRequest &offered : offered_) {
        if (offered.result_ == SpendResult::Spent)
            spent.push_back(offered);
    }
    std::sort(spent.begin(), spent.end(), [](const OfferedRequest &a, const OfferedRequest &b) {
        return a.decidedAt_ < b.decidedAt_;
    });
    // Leaky bucket that drains at the rate limit: its maximum level is the smallest burst that
    // would have allowed all of these requests.
    double level = 0;
    double maxLevel = 0;
    Duration last {};
    for (const OfferedRequest &offered : spent) {
        level = std::max(0.0, level - limit_.rate_ * toSeconds(offered.decidedAt_ - last));
        last = offered.decidedAt_;
        level += offered.tokens_;
        maxLevel = std::max(maxLevel, level);
    }
    return maxLevel - limit_.burst_;
}

} // namespace pimentostage
