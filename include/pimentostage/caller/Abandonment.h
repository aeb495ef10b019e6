#pragma once

#include <functional>
#include <mutex>
#include <utility>

namespace pimentostage {

/// Tells whoever works on a request that its caller has left. Used by several threads.
class Abandonment
{
public:
    /// The caller has left.
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

    /// Runs @p task once the caller has left, at once if it has already; replaces an earlier task.
    void then(std::function<void()> task)
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
