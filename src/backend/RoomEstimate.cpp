#include "pimentostage/backend/RoomEstimate.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// An older observation only limits a host to its part of the room: the back end may be full.
constexpr Duration kFreshAge = std::chrono::seconds(1);
// Time constant of a host's rate to one back end. With 88 hosts and 130 back ends a host sends one
// request in 20 s to each, so that a shorter one would give zero almost always.
constexpr double kRateSeconds = 10;
// Time constant of a host's rate to a service: the forecast has to follow a surge.
constexpr double kServiceRateSeconds = 1;

/// @return @p rate after it has decayed for @p elapsed.
double decayed(double rate, Duration elapsed, double timeConstant)
{
    return rate * std::exp(-std::max(0.0, toSeconds(elapsed)) / timeConstant);
}

/// @return a number in [0, 1) that depends on all bits of @p value (finalizer of SplitMix64).
double unitHash(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return std::ldexp(static_cast<double>(value ^ (value >> 31U)), -64);
}

} // namespace

bool RoomSharing::isActive(TimePoint now) const
{
    const Duration::rep at = reportedAt_.load(std::memory_order_relaxed);
    return hosts() >= 2 && at != 0 && now - TimePoint(Duration(at)) < kRoomExpiry;
}

void RoomSharing::onSent(TimePoint now)
{
    const TimePoint at { Duration(sentAt_.load(std::memory_order_relaxed)) };
    const double rate
        = decayed(rate_.load(std::memory_order_relaxed), now - at, kServiceRateSeconds);
    rate_.store(rate + 1 / kServiceRateSeconds, std::memory_order_relaxed);
    sentAt_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

Rivals RoomSharing::rivals(double ownRate, TimePoint now) const
{
    const std::size_t choices = choices_.load(std::memory_order_relaxed);
    if (choices > 0) {
        const TimePoint at { Duration(sentAt_.load(std::memory_order_relaxed)) };
        ownRate = decayed(rate_.load(std::memory_order_relaxed), now - at, kServiceRateSeconds)
                  / static_cast<double>(choices);
    }
    return { hosts(), static_cast<double>(hosts() - 1) * ownRate, salt_ };
}

void RoomEstimate::onObservation(const RoomObservation &observation)
{
    const Duration::rep at = observation.at_.time_since_epoch().count();
    if (at <= observedAt_.load(std::memory_order_relaxed))
        return;
    running_.store(observation.running_, std::memory_order_relaxed);
    waiting_.store(observation.waiting_, std::memory_order_relaxed);
    pace_.store(observation.pace_, std::memory_order_relaxed);
    isFull_.store(observation.isFull_, std::memory_order_relaxed);
    observedAt_.store(at, std::memory_order_relaxed);
    if (!observation.isFull_)
        answeredAt_.store(at, std::memory_order_relaxed);
    // Requests sent after the observation stay counted; without their times, all that are counted
    // since the one before are taken for later ones.
    if (sentAt_.load(std::memory_order_relaxed) <= at)
        sentSince_.store(0, std::memory_order_relaxed);
}

void RoomEstimate::onFull(TimePoint now)
{
    RoomObservation full = newest();
    full.isFull_ = true;
    full.at_ = now;
    onObservation(full);
}

void RoomEstimate::onSent(TimePoint now)
{
    sentSince_.fetch_add(1, std::memory_order_relaxed);
    rate_.store(ownRate(now) + 1 / kRateSeconds, std::memory_order_relaxed);
    sentAt_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

bool RoomEstimate::hasKnownRoom(double limit, std::uint32_t inFlight, TimePoint now) const
{
    return age(now) < kFreshAge && !isFull_.load(std::memory_order_relaxed)
           && knownLoad(inFlight) < limit;
}

RoomObservation RoomEstimate::newest() const
{
    RoomObservation observation;
    observation.running_ = running_.load(std::memory_order_relaxed);
    observation.waiting_ = waiting_.load(std::memory_order_relaxed);
    observation.pace_ = pace_.load(std::memory_order_relaxed);
    observation.isFull_ = isFull_.load(std::memory_order_relaxed);
    observation.at_ = TimePoint(Duration(observedAt_.load(std::memory_order_relaxed)));
    return observation;
}

double RoomEstimate::knownLoad(std::uint32_t inFlight) const
{
    const double reported = static_cast<double>(running_.load(std::memory_order_relaxed))
                            + waiting_.load(std::memory_order_relaxed);
    return reported + std::min(sentSince_.load(std::memory_order_relaxed), inFlight);
}

double RoomEstimate::load(std::uint32_t inFlight, const Rivals &rivals, Duration latency,
                          TimePoint now) const
{
    const double seconds = toSeconds(std::min(age(now), kRoomExpiry));
    const double running = running_.load(std::memory_order_relaxed);
    const double others = rivals.rate_ * seconds;
    // The answers include the time in the back end's queue, so this is rather too low.
    const double ended = latency > Duration::zero() ? running * seconds / toSeconds(latency) : 0;
    // Those that ended are at most replaced: the other hosts know the same load.
    return knownLoad(inFlight) + std::max(0.0, others - ended);
}

// Under overload requests wait at all hosts, and each observation that shows room makes all of them
// send at once. The forecast holds them back; so that the room is used nevertheless, a few hosts,
// drawn anew with each observation, may send one request.
bool RoomEstimate::hasRoom(double limit, std::uint32_t inFlight, const Rivals &rivals,
                           Duration latency, TimePoint now) const
{
    const double known = knownLoad(inFlight);
    const bool isFull = isFull_.load(std::memory_order_relaxed) || known >= limit;
    if (age(now) >= kFreshAge) {
        // The back end may still be full, and one request of each host would be too many.
        const bool mayBeFull = isFull && age(now) < kRoomExpiry;
        const double part = limit / static_cast<double>(rivals.hosts_);
        return inFlight < std::max(1.0, part) && (!mayBeFull || hasTicket(limit, rivals));
    }
    return !isFull
           && (load(inFlight, rivals, latency, now) < limit || hasTicket(limit - known, rivals));
}

bool RoomEstimate::hasTicket(double room, const Rivals &rivals) const
{
    const auto observation
        = static_cast<std::uint64_t>(observedAt_.load(std::memory_order_relaxed));
    return sentSince_.load(std::memory_order_relaxed) == 0
           && unitHash(observation ^ rivals.salt_) * static_cast<double>(rivals.hosts_) < room;
}

Duration RoomEstimate::age(TimePoint now) const
{
    const Duration::rep at = observedAt_.load(std::memory_order_relaxed);
    return at == 0 ? kRoomExpiry : now - TimePoint(Duration(at));
}

double RoomEstimate::ownRate(TimePoint now) const
{
    const TimePoint at { Duration(sentAt_.load(std::memory_order_relaxed)) };
    return decayed(rate_.load(std::memory_order_relaxed), now - at, kRateSeconds);
}

} // namespace pimentostage
