#pragma once

#include "pimentostage/backend/RoomEstimate.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimentostage {

/// Number by which hosts name a back end to each other: a hash of its name, which is several times
/// shorter than the name.
using BackendNumber = std::uint32_t;

/// @return the number of the back end named @p name.
BackendNumber backendNumberOf(std::string_view name);

/// One observation of a back end, as hosts send it to each other.
struct RoomDelta
{
    BackendNumber backend_ = 0;
    std::uint16_t running_ = 0;
    std::uint16_t waiting_ = 0;
    std::uint16_t pacePercent_ = 100;
    bool isFull_ = false;
    std::uint16_t ageMs_ = 0; ///< at the time of sending
};

/// The newest observation of each back end that this host has made or heard of, and what is to be
/// sent to siblings next.
class RoomDigest
{
public:
    /// Adds an observation of this host.
    /// @return whether it is newer than the one known.
    bool add(BackendNumber backend, const RoomObservation &observation);
    /// Adds an observation that a sibling has sent.
    /// @return whether it is newer than the one known. Its age lacks the times that it spent on the
    ///         way, so that one known already may seem newer; a small difference does not count.
    bool addReceived(BackendNumber backend, const RoomObservation &observation);

    /// @return the @p count newest observations that were sent least often, newest first; each call
    ///         counts as one transmission of those returned. Expired ones are dropped.
    std::vector<RoomDelta> take(std::size_t count, TimePoint now);

    /// @return the observation of @p delta, received at @p now.
    static RoomObservation observationOf(const RoomDelta &delta, TimePoint now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    bool addIfNewerBy(Duration difference, BackendNumber backend,
                      const RoomObservation &observation);

    struct Entry
    {
        RoomObservation observation_;
        std::uint32_t timesSent_ = 0;
    };

    std::unordered_map<BackendNumber, Entry> entries_;
};

} // namespace pimentostage
