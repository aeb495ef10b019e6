#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace pimentostage {

/// Publishes immutable values from the control thread to the traffic threads.
template <typename T>
class SnapshotPublisher
{
public:
    explicit SnapshotPublisher(std::shared_ptr<const T> initial)
        : current_(std::move(initial))
    { }

    /// Makes @p next visible to every reader.
    void publish(std::shared_ptr<const T> next)
    {
        const std::lock_guard lock(mutex_);
        current_ = std::move(next);
        version_.fetch_add(1, std::memory_order_release);
    }

    /// @return how often a value was published.
    [[nodiscard]] std::uint64_t version() const { return version_.load(std::memory_order_acquire); }

    /// @return the newest value.
    [[nodiscard]] std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> current_;
    std::atomic<std::uint64_t> version_ { 1 };
};

/// One traffic thread's view of a publisher. Takes a lock only when the value has changed.
template <typename T>
class SnapshotReader
{
public:
    explicit SnapshotReader(const SnapshotPublisher<T> &publisher)
        : publisher_(&publisher)
    { }

    /// @return the newest published value.
    const std::shared_ptr<const T> &get()
    {
        const std::uint64_t version = publisher_->version();
        if (version != seen_) {
            current_ = publisher_->load();
            seen_ = version;
        }
        return current_;
    }

private:
    const SnapshotPublisher<T> *publisher_;
    std::shared_ptr<const T> current_;
    std::uint64_t seen_ = 0;
};

} // namespace pimentostage
