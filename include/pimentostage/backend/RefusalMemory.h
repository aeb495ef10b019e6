#pragma once

#include "pimentostage/base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace pimentostage {

/// The requests that a queue refused lately, and when each may come again.
///
/// Without it a caller that repeats at once is answered more often than one that waits, because
/// each repeat is another chance to find room (admission_bench: 0.99 of its requests instead of
/// 0.61 at twice the capacity).
class RefusalMemory
{
public:
    /// Records a refusal.
    /// @param id hash of the request's id; a repeat has the same.
    /// @param notBefore when there is expected to be room for it.
    void onRefused(std::uint64_t id, TimePoint notBefore, TimePoint now);

    /// @return when @p id may come again; std::nullopt if it may come now.
    [[nodiscard]] std::optional<TimePoint> notBefore(std::uint64_t id, TimePoint now) const;

    /// Refusals remembered for each queue; the oldest one is forgotten for a new one. A host has up
    /// to 234 queues, one for each owner, and 20 MB for all of them would be too much.
    static constexpr std::size_t kMaxRequests = 256;

private:
    std::unordered_map<std::uint64_t, TimePoint> notBefore_;
    std::deque<std::uint64_t> ids_; ///< oldest first
};

} // namespace pimentostage
