#include "pimentostage/backend/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// Time constant of the rates by which waits and progress are judged.
constexpr double kRateSeconds = 1;
// Waits are predicted only once requests have been waiting for this long.
constexpr Duration kLeastBusy = std::chrono::milliseconds(100);
constexpr double kLeastShare = 1e-3;

} // namespace

FairQueue::Team::Team()
    : asked_(kRateSeconds)
    , given_(kRateSeconds)
{ }

double FairQueue::Team::progress(TimePoint now) const
{
    const double asked = asked_.at(now);
    return asked <= 0 ? 1 : std::min(1.0, given_.at(now) / asked);
}

FairQueue::FairQueue(const FairQueueOptions &options)
    : options_(options)
    , policy_(policyFor(options.sharing_))
    , drained_(kRateSeconds)
{ }

FairQueue::Pushed FairQueue::push(const WaitingRequest &request, TimePoint now)
{
    beginBusy(now);
    Team &team = teams_[request.team_];
    team.share_ = std::max(kLeastShare, request.share_);
    team.asked_.add(request.cost_, now);
    const std::optional<Duration> wait = expectedWait(request, now);
    const bool isTooLate
        = wait && now + *wait >= std::min(request.deadline_, request.since_ + options_.mostWait_);
    if (isTooLate)
        return {};
    Pushed pushed;
    if (size_ >= options_.mostWaiting_) {
        pushed.displaced_ = displaceFor(request);
        if (!pushed.displaced_)
            return {};
    }
    // A team that did not wait has no claim to what it did not use.
    if (team.requests_.empty())
        team.served_ = std::max(team.served_, serviceLevel_);
    team.requests_.push_back(request);
    team.backlog_ += request.cost_;
    ++size_;
    pushed.isAccepted_ = true;
    return pushed;
}

void FairQueue::beginBusy(TimePoint now)
{
    if (size_ > 0)
        return;
    busySince_ = now;
    drained_ = DecayingRate(kRateSeconds);
}

// The newest request of the team that waits longest for its share makes room.
std::optional<QueueTicket> FairQueue::displaceFor(const WaitingRequest &request)
{
    const auto burden = [](const Team &team) { return team.backlog_ / team.share_; };
    const auto longest
        = std::max_element(teams_.begin(), teams_.end(), [&](const auto &a, const auto &b) {
              return burden(a.second) < burden(b.second);
          });
    Team &team = longest->second;
    if (longest->first == request.team_ || team.requests_.empty())
        return std::nullopt;
    const WaitingRequest displaced = team.requests_.back();
    team.requests_.pop_back();
    team.backlog_ -= displaced.cost_;
    --size_;
    return displaced.ticket_;
}

std::optional<WaitingRequest> FairQueue::take(TimePoint now)
{
    std::vector<WaitingTeam> waiting;
    std::vector<Team *> teams;
    for (auto &[name, team] : teams_) {
        if (team.requests_.empty())
            continue;
        waiting.push_back({ team.served_, team.progress(now), team.requests_.front().since_ });
        teams.push_back(&team);
    }
    if (teams.empty())
        return std::nullopt;
    Team &team = *teams[policy_.pick(waiting)];
    const WaitingRequest request = team.requests_.front();
    team.requests_.pop_front();
    team.backlog_ -= request.cost_;
    --size_;
    serviceLevel_ = std::max(serviceLevel_, team.served_);
    team.served_ += request.cost_ / team.share_;
    team.given_.add(request.cost_, now);
    drained_.add(request.cost_, now);
    return request;
}

void FairQueue::putBack(const WaitingRequest &request, TimePoint now)
{
    beginBusy(now);
    Team &team = teams_[request.team_];
    team.requests_.push_front(request);
    team.backlog_ += request.cost_;
    ++size_;
    team.served_ -= request.cost_ / team.share_;
    team.given_.add(-request.cost_, now);
    drained_.add(-request.cost_, now);
}

bool FairQueue::isExpired(const WaitingRequest &request, TimePoint now) const
{
    return now >= std::min(request.deadline_, request.since_ + options_.mostWait_);
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

// The rate decays from nothing, so that it is too low by a known part while the time is short.
double FairQueue::drainRate(TimePoint now) const
{
    const double busyFor = toSeconds(now - *busySince_);
    return drained_.at(now) / (1 - std::exp(-busyFor / kRateSeconds));
}

std::optional<Duration> FairQueue::expectedWait(const WaitingRequest &request, TimePoint now) const
{
    const bool canTell = busySince_ && now >= *busySince_ + kLeastBusy && size_ > 0;
    if (!canTell)
        return std::nullopt;
    const double share = std::max(kLeastShare, request.share_);
    double shares = share;
    double ahead = request.cost_;
    for (const auto &[name, team] : teams_) {
        if (name == request.team_)
            ahead += team.backlog_;
        else if (!team.requests_.empty())
            shares += team.share_;
    }
    const double rate = drainRate(now) * share / shares;
    if (rate <= 0)
        return std::nullopt;
    return fromSeconds(ahead / rate);
}

} // namespace pimentostage
