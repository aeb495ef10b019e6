#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace pimentostage {

/// Limits the requests that this host sends to a back end in cold start.
///
/// One entry host, on which all hosts agree, warms up a cold back end: it starts with one request
/// at a time and raises the limit while the back end keeps up. The other hosts send it no requests.
class Warmup
{
public:
    /// Change of the back end's state on an answer.
    enum class Change { None, Warm };

    /// Begins a cold start. Has no effect while one is in progress.
    /// @param isWarmedHere whether this host warms the back end up.
    /// @param slots requests that the back end runs concurrently when warm.
    /// @return whether the back end was warm before.
    bool start(bool isWarmedHere, std::uint32_t slots, TimePoint now);

    /// Ends the cold start.
    void finish() { cold_.store(false, std::memory_order_release); }

    [[nodiscard]] bool isCold() const { return cold_.load(std::memory_order_acquire); }

    /// @return the number of requests that this host may have in flight during the cold start.
    [[nodiscard]] std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }

    /// Records an answer.
    /// @return Warm if the back end has sustained load on all of its slots.
    Change onAnswer(TimePoint now);

    /// Records that the back end shed a request, which lowers the limit.
    void onShed(TimePoint now);

    /// Ends a cold start that has lasted for kColdTimeout. Bounds cold starts of which no end is
    /// announced, such as those handled by another host.
    void expire(TimePoint now);

    /// Time for which the back end must sustain a limit before it is raised.
    static constexpr Duration kRaisePeriod = std::chrono::milliseconds(500);
    /// Time after which a cold start is assumed to have ended.
    static constexpr Duration kColdTimeout = std::chrono::seconds(10);

private:
    std::atomic<bool> cold_ { false };
    std::atomic<std::uint32_t> limit_ { 0 };
    std::mutex mutex_;
    std::uint32_t slots_ = 1;
    bool isWarmedHere_ = false;
    TimePoint startedAt_ {};
    TimePoint raiseAt_ {};
};

} // namespace pimentostage
