#pragma once

#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

namespace pimentostage {

/// A queue between threads that refuses items instead of growing past its capacity.
template <typename T>
class BoundedQueue
{
public:
    explicit BoundedQueue(std::size_t capacity)
        : capacity_(capacity)
    { }

    /// @return false if the queue was full and @p item was not taken.
    bool push(T item)
    {
        const std::lock_guard lock(mutex_);
        if (items_.size() >= capacity_)
            return false;
        items_.push_back(std::move(item));
        return true;
    }

    /// @return all items in order of arrival; the queue is empty afterwards.
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
