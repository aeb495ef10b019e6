#pragma once

#include "pimentostage/base/Time.h"

#include <functional>
#include <map>

namespace pimentostage {

/// Discrete event queue of a simulation: runs tasks in order of simulated time, without real
/// clocks.
class EventQueue
{
public:
    [[nodiscard]] Duration now() const { return now_; }

    /// Schedules @p task to run after @p delay.
    void after(Duration delay, std::function<void()> task)
    {
        tasks_.emplace(now_ + delay, std::move(task));
    }

    /// Runs all tasks due up to @p until and sets now() to it.
    /// @param afterEach called after each task.
    void runUntil(Duration until, const std::function<void()> &afterEach)
    {
        while (!tasks_.empty() && tasks_.begin()->first <= until) {
            now_ = tasks_.begin()->first;
            const std::function<void()> task = std::move(tasks_.begin()->second);
            tasks_.erase(tasks_.begin());
            task();
            afterEach();
        }
        now_ = until;
    }

private:
    Duration now_ {};
    std::multimap<Duration, std::function<void()>> tasks_;
};

} // namespace pimentostage
