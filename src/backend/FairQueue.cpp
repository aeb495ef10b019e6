#include "pimentostage/backend/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// Time constant of the rates from which waits and progress are estimated.
constexpr double kRateSeconds = 1;
// Waits are predicted only after requests have been waiting for this long.
constexpr Duration kMinBusyPeriod = std::chrono::milliseconds(100);
constexpr double kMinShare = 1e-3;

} // namespace

FairQueue::Team::Team()
    : requestedRate_(kRateSeconds)
    , servedRate_(kRateSeconds)
{ }

double FairQueue::Team::progress(TimePoint now) const
{
    const double requested = requestedRate_.at(now);
    return requested <= 0 ? 1 : std::min(1.0, servedRate_.at(now) / requested);
}

FairQueue::FairQueue(const FairQueueOptions &options)
    : options_(options)
    , policy_(policyFor(options.sharing_))
    , dequeuedRate_(kRateSeconds)
{ }

RequestQueue::PushResult FairQueue::push(const WaitingRequest &request, TimePoint now)
{
    beginBusyPeriodIfEmpty(now);
    Team &team = teams_[request.team_];
    team.share_ = std::max(kMinShare, request.share_);
    team.requestedRate_.add(request.cost_, now);
    const std::optional<Duration> wait = expectedWait(request, now);
    const bool isTooLate
        = wait && now + *wait >= std::min(request.deadline_, request.since_ + options_.maxWait_);
    if (isTooLate)
        return {};
    PushResult pushed;
    if (size_ >= options_.maxWaiting_) {
        pushed.evicted_ = evictFor(request);
        if (!pushed.evicted_)
            return {};
    }
    // A team without waiting requests accumulates no credit for capacity that it did not use.
    if (team.requests_.empty())
        team.virtualTime_ = std::max(team.virtualTime_, currentVirtualTime_);
    team.requests_.push_back(request);
    team.backlog_ += request.cost_;
    ++size_;
    pushed.isAccepted_ = true;
    return pushed;
}

void FairQueue::beginBusyPeriodIfEmpty(TimePoint now)
{
    if (size_ > 0)
        return;
    busyPeriodStart_ = now;
    dequeuedRate_ = DecayingRate(kRateSeconds);
}

// Evicts the newest request of the team with the largest backlog relative to its share, unless
// that is the team of the new request.
std::optional<QueueTicket> FairQueue::evictFor(const WaitingRequest &request)
{
    const auto normalizedBacklog = [](const Team &team) { return team.backlog_ / team.share_; };
    const auto largest
        = std::max_element(teams_.begin(), teams_.end(), [&](const auto &a, const auto &b) {
              return normalizedBacklog(a.second) < normalizedBacklog(b.second);
          });
    Team &team = largest->second;
    if (largest->first == request.team_ || team.requests_.empty())
        return std::nullopt;
    const WaitingRequest evicted = team.requests_.back();
    team.requests_.pop_back();
    team.backlog_ -= evicted.cost_;
    --size_;
    return evicted.ticket_;
}

std::optional<WaitingRequest> FairQueue::take(TimePoint now)
{
    std::vector<WaitingTeam> waiting;
    std::vector<Team *> teams;
    for (auto &[name, team] : teams_) {
        if (team.requests_.empty())
            continue;
        waiting.push_back({ team.virtualTime_, team.progress(now), team.requests_.front().since_ });
        teams.push_back(&team);
    }
    if (teams.empty())
        return std::nullopt;
    Team &team = *teams[policy_.pick(waiting)];
    const WaitingRequest request = team.requests_.front();
    team.requests_.pop_front();
    team.backlog_ -= request.cost_;
    --size_;
    currentVirtualTime_ = std::max(currentVirtualTime_, team.virtualTime_);
    team.virtualTime_ += request.cost_ / team.share_;
    team.servedRate_.add(request.cost_, now);
    dequeuedRate_.add(request.cost_, now);
    return request;
}

void FairQueue::putBack(const WaitingRequest &request, TimePoint now)
{
    beginBusyPeriodIfEmpty(now);
    Team &team = teams_[request.team_];
    team.requests_.push_front(request);
    team.backlog_ += request.cost_;
    ++size_;
    team.virtualTime_ -= request.cost_ / team.share_;
    team.servedRate_.add(-request.cost_, now);
    dequeuedRate_.add(-request.cost_, now);
}

bool FairQueue::isExpired(const WaitingRequest &request, TimePoint now) const
{
    return now >= std::min(request.deadline_, request.since_ + options_.maxWait_);
}

std::vector<QueueTicket> FairQueue::takeExpired(TimePoint now)
{
    std::vector<QueueTicket> expired;
    for (auto &[name, team] : teams_) {
        for (const WaitingRequest &request : team.requests_) {
            if (!isExpired(request, now))
                continue;
            expired.push_back(request.ticket_);
            team.backlog_ -= request.cost_;
            --size_;
        }
        std::erase_if(team.requests_,
                      [&](const WaitingRequest &request) { return isExpired(request, now); });
    }
    return expired;
}

// The decaying rate starts at zero, which makes it too low by a known factor early in a busy
// period. The division corrects this.
double FairQueue::drainRate(TimePoint now) const
{
    const double busyFor = toSeconds(now - *busyPeriodStart_);
    return dequeuedRate_.at(now) / (1 - std::exp(-busyFor / kRateSeconds));
}

std::optional<Duration> FairQueue::expectedWait(const WaitingRequest &request, TimePoint now) const
{
    const bool isPredictable
        = busyPeriodStart_ && now >= *busyPeriodStart_ + kMinBusyPeriod && size_ > 0;
    if (!isPredictable)
        return std::nullopt;
    const double share = std::max(kMinShare, request.share_);
    double totalShare = share;
    double costAhead = request.cost_;
    for (const auto &[name, team] : teams_) {
        if (name == request.team_)
            costAhead += team.backlog_;
        else if (!team.requests_.empty())
            totalShare += team.share_;
    }
    const double rate = drainRate(now) * share / totalShare;
    if (rate <= 0)
        return std::nullopt;
    return fromSeconds(costAhead / rate);
}

} // namespace pimentostage
