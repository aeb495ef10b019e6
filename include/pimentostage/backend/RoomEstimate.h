#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace pimentostage {

/// Load of a back end, in running and waiting requests per slot, at which it gets no new requests.
inline constexpr double kMaxLoadPerSlot = 1.7;
/// As kMaxLoadPerSlot, of a back end that alone may run the requests for its keys: waiting there is
/// no worse than elsewhere. Back ends queue four requests per slot; the rest is a margin for what
/// other hosts send before they know.
inline constexpr double kMaxOwnerLoadPerSlot = 3;

/// An older observation, or sharing without reports for this time, counts as none.
inline constexpr Duration kRoomExpiry = std::chrono::seconds(2);

/// A back end's load as one host observed it.
struct RoomObservation
{
    std::uint32_t running_ = 0; ///< requests being executed, from all hosts
    std::uint32_t waiting_ = 0; ///< requests queued at the back end
    double pace_ = 1; ///< processing time relative to the usual one
    bool isFull_ = false; ///< it closed a connection because it has no room; the load is unknown
    TimePoint at_ {}; ///< when it was observed, by this host's clock
};

/// The other hosts that send to the same back ends, as far as this host can tell.
struct Rivals
{
    std::size_t hosts_ = 1; ///< number of hosts, this one included
    double rate_ = 0; ///< requests/s that all others are expected to send to one back end
    std::uint64_t salt_ = 0; ///< differs between hosts
};

/// What one service's back ends have in common for the estimates of their room: whether the hosts
/// share their observations, and how much this host sends. Thread-safe.
class RoomSharing
{
public:
    /// @param salt differs between hosts.
    explicit RoomSharing(std::uint64_t salt = 0)
        : salt_(salt)
    { }

    /// Records that a sibling has sent observations.
    void onReport(TimePoint now)
    {
        reportedAt_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    }
    /// Sets the number of hosts that send to the same back ends, this one included.
    void setHosts(std::size_t hosts) { hosts_.store(hosts, std::memory_order_relaxed); }
    /// Records that this host has sent a request.
    void onSent(TimePoint now);
    /// Records between how many back ends this host could last choose.
    void setChoices(std::size_t choices) { choices_.store(choices, std::memory_order_relaxed); }

    /// @return whether a sibling has sent observations lately. If none has, requests are sent as if
    ///         there were no sharing.
    [[nodiscard]] bool isActive(TimePoint now) const;
    [[nodiscard]] std::size_t hosts() const { return hosts_.load(std::memory_order_relaxed); }

    /// The others are expected to send as much as this host, and to choose between the same back
    /// ends, since they know the same.
    /// @param ownRate requests/s that this host sends to the back end in question; counts only
    ///        where there is no choice.
    [[nodiscard]] Rivals rivals(double ownRate, TimePoint now) const;

private:
    const std::uint64_t salt_;
    std::atomic<Duration::rep> reportedAt_ { 0 };
    std::atomic<std::size_t> hosts_ { 1 };
    std::atomic<std::size_t> choices_ { 0 }; ///< 0 if requests have no choice
    std::atomic<Duration::rep> sentAt_ { 0 };
    std::atomic<double> rate_ { 0 }; ///< requests/s of this host, at sentAt_
};

/// Estimates before a request is sent whether one back end has room for it, from the newest
/// observation of any host and from what was sent since. Thread-safe.
class RoomEstimate
{
public:
    /// Records an observation of this host or of a sibling; one that is older than the newest known
    /// is ignored.
    void onObservation(const RoomObservation &observation);
    /// Records that the back end closed a connection because it has no room.
    void onFull(TimePoint now);
    /// Records that this host has sent a request.
    void onSent(TimePoint now);

    /// @return when the back end last answered a host; TimePoint {} if it has not.
    [[nodiscard]] TimePoint answeredAt() const
    {
        return TimePoint(Duration(answeredAt_.load(std::memory_order_relaxed)));
    }

    /// @return the newest observation.
    [[nodiscard]] RoomObservation newest() const;

    /// @param inFlight this host's requests at the back end.
    /// @return the number of requests that run or wait there if no other host has sent one since
    ///         the newest observation.
    [[nodiscard]] double knownLoad(std::uint32_t inFlight) const;

    /// @param latency mean time of its answers; zero if unknown.
    /// @return knownLoad(), with what the others are expected to have sent since the observation.
    [[nodiscard]] double load(std::uint32_t inFlight, const Rivals &rivals, Duration latency,
                              TimePoint now) const;

    /// @param limit load at which the back end gets no more requests.
    /// @return whether one more request may be sent.
    [[nodiscard]] bool hasRoom(double limit, std::uint32_t inFlight, const Rivals &rivals,
                               Duration latency, TimePoint now) const;

    /// @return whether an observation that is younger than 1 s shows room.
    [[nodiscard]] bool hasKnownRoom(double limit, std::uint32_t inFlight, TimePoint now) const;

    /// @return requests/s that this host sends there.
    [[nodiscard]] double ownRate(TimePoint now) const;

private:
    [[nodiscard]] Duration age(TimePoint now) const;
    [[nodiscard]] bool hasTicket(double room, const Rivals &rivals) const;

    std::atomic<std::uint32_t> running_ { 0 };
    std::atomic<std::uint32_t> waiting_ { 0 };
    std::atomic<double> pace_ { 1 };
    std::atomic<bool> isFull_ { false };
    std::atomic<Duration::rep> observedAt_ { 0 }; ///< 0 before the first observation
    std::atomic<Duration::rep> answeredAt_ { 0 }; ///< the newest one without isFull_
    std::atomic<std::uint32_t> sentSince_ { 0 }; ///< by this host since the newest observation
    std::atomic<Duration::rep> sentAt_ { 0 };
    std::atomic<double> rate_ { 0 }; ///< requests/s of this host, at sentAt_
};

} // namespace pimentostage
