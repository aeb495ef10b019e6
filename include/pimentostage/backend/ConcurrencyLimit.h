#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace pimentostage {

/// Limit on this host's requests in flight at one back end, estimated from shed requests.
///
/// There is no limit until a request is shed. A shed request lowers the limit, and answers raise it
/// while it is reached, so that all hosts together stay near the load at which the back end sheds.
class ConcurrencyLimit
{
public:
    /// @return the limit, from 1 to @p maxLimit.
    [[nodiscard]] std::uint32_t limit(std::uint32_t maxLimit) const;

    /// Records that the back end shed a request because of its load.
    /// @param inFlight this host's requests at the back end, including the shed one.
    void onShed(std::uint32_t inFlight, TimePoint now);
    /// Records that the back end answered a request.
    /// @param inFlight this host's requests at the back end, including the answered one.
    void onAnswer(std::uint32_t inFlight);

private:
    std::atomic<double> limit_ { 0 }; ///< 0 until a request is shed
    std::atomic<std::uint32_t> temporaryLimit_ { 0 }; ///< from a shed to the next answer; else 0
    std::mutex mutex_;
    TimePoint decreasedAt_ {};
};

} // namespace pimentostage
