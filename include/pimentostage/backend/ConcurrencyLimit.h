#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace pimentostage {

/// How many requests this host may have in flight at one back end, learned from what it sheds.
///
/// Without sheds there is no limit. A shed cuts the limit, answers while it is reached raise it, so
/// that the hosts together stay about where the back end begins to shed.
class ConcurrencyLimit
{
public:
    /// @return the limit, from 1 to @p most.
    [[nodiscard]] std::uint32_t limit(std::uint32_t most) const;

    /// The back end shed a request for load.
    /// @param inFlight this host's requests there, that one included.
    void onShed(std::uint32_t inFlight, TimePoint now);
    /// The back end answered.
    /// @param inFlight this host's requests there, that one included.
    void onAnswer(std::uint32_t inFlight);

private:
    std::atomic<double> limit_ { 0 }; ///< 0 while nothing was shed
    std::atomic<std::uint32_t> held_ { 0 }; ///< from a shed to the next answer; else 0
    std::mutex mutex_;
    TimePoint cutAt_ {};
};

} // namespace pimentostage
