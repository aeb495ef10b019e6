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

    /// Replaces the current value by @p next for all readers.
    void publish(std::shared_ptr<const T> next)
    {
        const std::lock_guard lock(mutex_);
        current_ = std::move(next);
        version_.fetch_add(1, std::memory_order_release);
    }

    /// @return the version of the current value: 1 at first, one more after each publish().
    [[nodiscard]] std::uint64_t version() const { return version_.load(std::memory_order_acquire); }

    /// @return the current value.
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

/// Caches the value of a publisher for one traffic thread; locks only if the value has changed.
template <typename T>
class SnapshotReader
{
public:
    explicit SnapshotReader(const SnapshotPublisher<T> &publisher)
        : publisher_(&publisher)
    { }

    /// @return the current value of the publisher.
    const std::shared_ptr<const T> &get()
    {
        const std::uint64_t version = publisher_->version();
        if (version != loadedVersion_) {
            current_ = publisher_->load();
            loadedVersion_ = version;
        }
        return current_;
    }

private:
    const SnapshotPublisher<T> *publisher_;
    std::shared_ptr<const T> current_;
    std::uint64_t loadedVersion_ = 0;
};

} // namespace pimentostage
