#include "pimentostage/sibling/RoomDigest.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <limits>

namespace pimentostage {

namespace {

// Each observation is passed on this many times by each host that learns of it: with two receivers
// a message, it reaches all hosts in about log3(hosts) periods, and is not sent for ever.
constexpr std::uint32_t kMaxTransmissions = 2;
// Receivers use observations of up to this age for limits (RoomEstimate), so older ones are of no
// use to them.
constexpr Duration kMaxSentAge = std::chrono::seconds(1);

// Longer than a message takes between two data centres, from one control thread to the other.
constexpr Duration kTransitTime = std::chrono::milliseconds(20);

std::uint16_t clamped(double value)
{
    constexpr double kMax = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, kMax));
}

} // namespace

BackendNumber backendNumberOf(std::string_view name)
{
    return static_cast<BackendNumber>(hash64(name));
}

bool RoomDigest::add(BackendNumber backend, const RoomObservation &observation)
{
    return addIfNewerBy(Duration::zero(), backend, observation);
}

bool RoomDigest::addReceived(BackendNumber backend, const RoomObservation &observation)
{
    return addIfNewerBy(kTransitTime, backend, observation);
}

bool RoomDigest::addIfNewerBy(Duration difference, BackendNumber backend,
                              const RoomObservation &observation)
{
    const auto [entry, isNew] = entries_.try_emplace(backend);
    if (!isNew && observation.at_ <= entry->second.observation_.at_ + difference)
        return false;
    entry->second = { observation, 0 };
    return true;
}

std::vector<RoomDelta> RoomDigest::take(std::size_t count, TimePoint now)
{
    std::erase_if(entries_, [now](const auto &item) {
        return item.second.observation_.at_ + kMaxSentAge <= now;
    });
    std::vector<std::pair<BackendNumber, Entry *>> due;
    for (auto &[backend, entry] : entries_) {
        if (entry.timesSent_ < kMaxTransmissions)
            due.emplace_back(backend, &entry);
    }
    const auto last = due.begin() + static_cast<std::ptrdiff_t>(std::min(count, due.size()));
    std::partial_sort(due.begin(), last, due.end(), [](const auto &first, const auto &second) {
        return first.second->observation_.at_ > second.second->observation_.at_;
    });
    std::vector<RoomDelta> deltas;
    for (auto next = due.begin(); next != last; ++next) {
        const RoomObservation &observation = next->second->observation_;
        ++next->second->timesSent_;
        deltas.push_back({ next->first, clamped(observation.running_),
                           clamped(observation.waiting_), clamped(100 * observation.pace_),
                           observation.isFull_,
                           clamped(static_cast<double>(toMilliseconds(now - observation.at_))) });
    }
    return deltas;
}

RoomObservation RoomDigest::observationOf(const RoomDelta &delta, TimePoint now)
{
    return { delta.running_, delta.waiting_, delta.pacePercent_ / 100.0, delta.isFull_,
             now - std::chrono::milliseconds(delta.ageMs_) };
}

} // namespace pimentostage
