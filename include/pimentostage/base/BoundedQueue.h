#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace pimentostage {

/// Thread-safe queue of limited capacity; a full queue rejects new items.
template <typename T>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        : capacity_(capacity)
    { }

    /// Appends @p item unless the queue is full.
    /// @return whether @p item was appended.
    bool push(T item)
    {
        const std::lock_guard lock(mutex_);
        if (items_.size() >= capacity_)
            return false;
        items_.push_back(std::move(item));
        return true;
    }

    /// Removes all items.
    /// @return the removed items in the order in which they were pushed.
    std::deque<T> takeAll()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(items_, {});
    }

private:
    const std::size_t capacity_;
    std::mutex mutex_;
    std::deque<T> items_;
};

} // namespace pimentostage
