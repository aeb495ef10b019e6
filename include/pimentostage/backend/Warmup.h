#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace pimentostage {

/// How much a back end in cold start gets from this host.
///
/// One entry host, the same for all, warms a cold back end up: it starts with one request at a time
/// and raises the limit while the back end keeps up. The other hosts send it nothing meanwhile.
class Warmup
{
public:
    /// What became of the back end through an answer.
    enum class Change { None, Warm };

    /// Begins a cold start. Without effect while one is under way.
    /// @param isOurs whether this host warms the back end up.
    /// @param slots requests that it runs at once when warm.
    /// @return whether it was warm before.
    bool start(bool isOurs, std::uint32_t slots, TimePoint now);

    /// Ends the cold start.
    void finish() { cold_.store(false, std::memory_order_release); }

    [[nodiscard]] bool isCold() const { return cold_.load(std::memory_order_acquire); }

    /// @return requests that this host may have in flight while the back end is cold.
    [[nodiscard]] std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }

    /// Counts an answer. @return Warm if the back end has borne all of its slots.
    Change onAnswer(TimePoint now);

    /// The back end shed a request: it bears less.
    void onShed(TimePoint now);

    /// Ends a cold start of which nothing was heard for kMostCold, as of another host's.
    void expire(TimePoint now);

    /// Time for which a limit must be borne before it is raised.
    static constexpr Duration kRaisePeriod = std::chrono::milliseconds(500);
    /// Time after which another host's cold start counts as over.
    static constexpr Duration kMostCold = std::chrono::seconds(10);

private:
    std::atomic<bool> cold_ { false };
    std::atomic<std::uint32_t> limit_ { 0 };
    std::mutex mutex_;
    std::uint32_t slots_ = 1;
    bool isOurs_ = false;
    TimePoint startedAt_ {};
    TimePoint raiseAt_ {};
};

} // namespace pimentostage
