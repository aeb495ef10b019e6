#include "pimentostage/backend/OrderedQueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace pimentostage {

namespace {

// Time constant of the rates from which waits are estimated.
constexpr double kRateSeconds = 1;
// Waits are predicted only after requests have been waiting for this long and some were sent.
constexpr Duration kMinBusyPeriod = std::chrono::milliseconds(100);
constexpr std::int64_t kMinDequeued = 3;
constexpr double kMinShare = 1e-3;
// Weight of a new request in the moving average of the work.
constexpr double kWorkWeight = 0.05;
// Counts for a request while no work is known; only the ratio between requests matters.
constexpr double kAssumedWorkSeconds = 0.1;
// Fraction of the throughput that is assumed to be left by requests that go first. With none, a
// request behind them would be expected to wait forever.
constexpr double kMinRateShare = 0.1;
// A repeat that comes sooner finds the queue as it was.
constexpr Duration kMinUntilRoom = std::chrono::milliseconds(50);
// For a request that has not waited, where no wait can be predicted; as with team-shares.
constexpr Duration kUnknownUntilRoom = std::chrono::seconds(1);
// Callers honour Retry-After up to this fraction of the time that they have left.
constexpr int kRetryAfterDivisor = 3;

double workSeconds(const WaitingRequest &request)
{
    return request.work_ > Duration::zero() ? toSeconds(request.work_) : kAssumedWorkSeconds;
}

double shareFor(const WaitingRequest &request)
{
    return std::max(kMinShare, request.share_);
}

/// @return @p request as if it arrived at @p now.
WaitingRequest arrivingAt(TimePoint now, WaitingRequest request)
{
    const Duration age = now - request.since_;
    request.since_ = now;
    request.deadline_ += age;
    if (request.objective_ < TimePoint::max())
        request.objective_ += age;
    return request;
}

} // namespace

OrderedQueue::AcceptedRoute::AcceptedRoute()
    : rate_(kRateSeconds)
{ }

OrderedQueue::OrderedQueue(const AdmissionOrder &order, const FairQueueOptions &options)
    : order_(order)
    , options_(options)
    , dequeuedRate_(kRateSeconds)
{ }

RequestQueue::PushResult OrderedQueue::push(const WaitingRequest &offered, TimePoint now)
{
    beginBusyPeriodIfEmpty(now);
    const WaitingRequest request = withWork(offered);
    if (offered.work_ > Duration::zero())
        updateWork(request);
    if (refusals_.notBefore(request.id_, now))
        return {};
    shares_.onOffered(request.route_, request.priority_, now);
    if (isTooLate(request, now)) {
        rememberRefusal(request, now);
        return {};
    }
    PushResult pushed;
    if (waiting_.size() >= options_.maxWaiting_) {
        pushed.evicted_ = evictFor(request, now);
        if (!pushed.evicted_) {
            rememberRefusal(request, now);
            return {};
        }
    }
    AcceptedRoute &route = accepted_[request.route_];
    route.rate_.add(workSeconds(request), now);
    route.latest_ = request;
    add(request);
    pushed.isAccepted_ = true;
    return pushed;
}

void OrderedQueue::beginBusyPeriodIfEmpty(TimePoint now)
{
    if (!waiting_.empty())
        return;
    busyPeriodStart_ = now;
    dequeued_ = 0;
    dequeuedRate_ = DecayingRate(kRateSeconds);
    accepted_.clear();
}

// A request whose work is unknown counts as a typical one, so that a route without answers is
// neither preferred nor held back.
WaitingRequest OrderedQueue::withWork(const WaitingRequest &request) const
{
    WaitingRequest known = request;
    if (known.work_ == Duration::zero())
        known.work_ = typicalWork_;
    return known;
}

// The waiting requests of the route get the newest estimate as well. Otherwise its noise would
// change their order of arrival, and some would wait until they expire: admission_bench measured
// up to 445 ms in the queue for each request that was lost instead of 225 ms.
void OrderedQueue::updateWork(const WaitingRequest &request)
{
    const double typical = toSeconds(typicalWork_);
    const double weight = typical > 0 ? kWorkWeight : 1;
    typicalWork_ = fromSeconds(typical + weight * (toSeconds(request.work_) - typical));
    for (WaitingRequest &other : waiting_) {
        if (other.route_ == request.route_)
            other.work_ = request.work_;
    }
}

TimePoint OrderedQueue::latestStart(const WaitingRequest &request) const
{
    return std::min({ request.admitBy_, request.since_ + options_.maxWait_,
                      request.deadline_ - request.work_ });
}

bool OrderedQueue::isTooLate(const WaitingRequest &request, TimePoint now) const
{
    if (now >= latestStart(request))
        return true;
    // A route below the floor is served next, so that the wait behind others does not apply.
    const bool isNext
        = !waitingByRoute_.contains(request.route_) && shares_.isBehind(request.route_, now);
    if (isNext)
        return false;
    const std::optional<Duration> wait = expectedWait(request, now);
    return wait && now + *wait >= latestStart(request);
}

std::optional<QueueTicket> OrderedQueue::evictFor(const WaitingRequest &request, TimePoint now)
{
    const auto cheapest = std::min_element(waiting_.begin(), waiting_.end(),
                                           [](const WaitingRequest &a, const WaitingRequest &b) {
                                               if (a.hasRun_ != b.hasRun_)
                                                   return b.hasRun_;
                                               return isCheaperToRefuse(a, b);
                                           });
    const bool mayEvict = cheapest != waiting_.end() && !cheapest->hasRun_
                          && (request.hasRun_ || isCheaperToRefuse(*cheapest, request));
    if (!mayEvict)
        return std::nullopt;
    const WaitingRequest evicted = remove(cheapest);
    rememberRefusal(evicted, now);
    return evicted.ticket_;
}

void OrderedQueue::rememberRefusal(const WaitingRequest &request, TimePoint now)
{
    if (request.id_ != 0)
        refusals_.onRefused(request.id_, now + *untilRoom(request, now), now);
}

void OrderedQueue::add(const WaitingRequest &request)
{
    // A team without waiting requests accumulates no credit for capacity that it did not use.
    const bool isFirstOfTeam
        = std::none_of(waiting_.begin(), waiting_.end(),
                       [&](const WaitingRequest &other) { return other.team_ == request.team_; });
    double &virtualTime = virtualTimes_[request.team_];
    if (isFirstOfTeam)
        virtualTime = std::max(virtualTime, currentVirtualTime_);
    waiting_.push_back(request);
    ++waitingByRoute_[request.route_];
}

WaitingRequest OrderedQueue::remove(Requests::iterator position)
{
    const WaitingRequest removed = *position;
    waiting_.erase(position);
    const auto count = waitingByRoute_.find(removed.route_);
    if (--count->second == 0)
        waitingByRoute_.erase(count);
    return removed;
}

std::optional<WaitingRequest> OrderedQueue::take(TimePoint now)
{
    if (waiting_.empty())
        return std::nullopt;
    const WaitingRequest request = remove(next(now));
    double &virtualTime = virtualTimes_[request.team_];
    currentVirtualTime_ = std::max(currentVirtualTime_, virtualTime);
    virtualTime += workSeconds(request) / shareFor(request);
    shares_.onServed(request.route_, 1, now);
    dequeuedRate_.add(workSeconds(request), now);
    ++dequeued_;
    return request;
}

OrderedQueue::Requests::iterator OrderedQueue::next(TimePoint now)
{
    const std::optional<RouteName> due = shares_.due(waitingByRoute_, now);
    const auto position = [&](const WaitingRequest &request) {
        const AdmissionRank rank = order_.rank(request, now);
        const bool isDue = due && request.route_ == *due;
        return std::tuple(!isDue, rank.level_, virtualTimes_[request.team_], rank);
    };
    auto best = waiting_.begin();
    auto bestPosition = position(*best);
    for (auto it = std::next(best); it != waiting_.end(); ++it) {
        const auto candidate = position(*it);
        if (candidate >= bestPosition)
            continue;
        best = it;
        bestPosition = candidate;
    }
    return best;
}

void OrderedQueue::putBack(const WaitingRequest &request, TimePoint now)
{
    // The request was not sent, so that the busy period which its removal may have ended goes on.
    add(request);
    virtualTimes_[request.team_] -= workSeconds(request) / shareFor(request);
    shares_.onServed(request.route_, -1, now);
    dequeuedRate_.add(-workSeconds(request), now);
    dequeued_ = std::max<std::int64_t>(0, dequeued_ - 1);
}

std::vector<QueueTicket> OrderedQueue::takeExpired(TimePoint now)
{
    Requests expired;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (now >= latestStart(*it))
            expired.push_back(remove(it));
        else
            ++it;
    }
    std::vector<QueueTicket> tickets;
    for (const WaitingRequest &request : expired) {
        rememberRefusal(request, now);
        tickets.push_back(request.ticket_);
    }
    return tickets;
}

std::optional<Duration> OrderedQueue::expectedWait(const WaitingRequest &offered,
                                                   TimePoint now) const
{
    const bool isPredictable = busyPeriodStart_ && now >= *busyPeriodStart_ + kMinBusyPeriod
                               && dequeued_ >= kMinDequeued && !waiting_.empty();
    if (!isPredictable)
        return std::nullopt;
    const WaitingRequest request = withWork(offered);
    const AdmissionRank rank = order_.rank(request, now);
    double ahead = workSeconds(request);
    for (const WaitingRequest &other : waiting_) {
        const bool isAhead = other.team_ == request.team_ && other.ticket_ != request.ticket_
                             && order_.rank(other, now) < rank;
        ahead += isAhead ? workSeconds(other) : 0;
    }
    const double rate = rateFor(request, now) * shareOf(request);
    return rate > 0 ? std::optional(fromSeconds(ahead / rate)) : std::nullopt;
}

std::optional<Duration> OrderedQueue::untilRoom(const WaitingRequest &request, TimePoint now) const
{
    if (const auto notBefore = refusals_.notBefore(request.id_, now))
        return *notBefore - now;
    const Duration waited = now - request.since_;
    const Duration unknown = waited > Duration::zero() ? waited : kUnknownUntilRoom;
    const Duration wait = std::max(kMinUntilRoom, expectedWait(request, now).value_or(unknown));
    const Duration left = std::max(Duration::zero(), request.deadline_ - now);
    return std::min(wait, left / kRetryAfterDivisor);
}

// Requests that arrive later go first as well if their rank will be lower.
double OrderedQueue::rateFor(const WaitingRequest &request, TimePoint now) const
{
    // Decaying rates start at zero, which makes them too low by a known factor early in a busy
    // period. The division corrects this.
    const double correction = 1 - std::exp(-toSeconds(now - *busyPeriodStart_) / kRateSeconds);
    const double drained = dequeuedRate_.at(now) / correction;
    const AdmissionRank rank = order_.rank(request, now);
    double before = 0;
    for (const auto &[name, route] : accepted_) {
        const bool goesFirst
            = name != request.route_ && order_.rank(arrivingAt(now, route.latest_), now) < rank;
        before += goesFirst ? route.rate_.at(now) / correction : 0;
    }
    return std::max(kMinRateShare * drained, drained - before);
}

/// @return the fraction of the throughput that the team of @p request gets of the waiting teams.
double OrderedQueue::shareOf(const WaitingRequest &request) const
{
    std::map<TeamName, double> shares { { request.team_, shareFor(request) } };
    for (const WaitingRequest &other : waiting_)
        shares.try_emplace(other.team_, shareFor(other));
    double total = 0;
    for (const auto &[team, share] : shares)
        total += share;
    return shareFor(request) / total;
}

} // namespace pimentostage
