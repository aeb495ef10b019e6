#pragma once

#include <functional>
#include <mutex>
#include <utility>

namespace pimentostage {

/// Signals to the code that processes a request that its caller has disconnected.
///
/// Thread-safe.
class Abandonment
{
public:
    /// Records that the caller has disconnected and runs the callback.
    void abandon()
    {
        std::function<void()> task;
        {
            const std::lock_guard lock(mutex_);
            isAbandoned_ = true;
            task = std::exchange(task_, nullptr);
        }
        if (task)
            task();
    }

    /// Sets the callback that runs once when the caller disconnects; it replaces an earlier one.
    /// If the caller has already disconnected, @p task runs before this function returns.
    void onAbandoned(std::function<void()> task)
    {
        {
            const std::lock_guard lock(mutex_);
            if (!isAbandoned_) {
                task_ = std::move(task);
                return;
            }
        }
        if (task)
            task();
    }

private:
    std::mutex mutex_;
    bool isAbandoned_ = false;
    std::function<void()> task_;
};

} // namespace pimentostage
