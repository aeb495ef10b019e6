#pragma once

#include "pimentostage/base/MemoryBudget.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace pimentostage {

/// Limits the bytes that a process keeps of all messages of one kind of peer at the same time.
///
/// Small messages have a limit of their own, so that senders of large messages, also those that
/// announce a message and do not send it, cannot exclude senders of small ones. All bytes are
/// counted in an account of the process's MemoryBudget. Any thread may use this.
class ByteBudget : public std::enable_shared_from_this<ByteBudget>
{
    /// Bytes with a common limit.
    struct Pool
    {
        /// @return whether @p bytes are within the limit; if so, they are counted.
        [[nodiscard]] bool take(std::size_t bytes);

        const std::size_t maxBytes_;
        std::atomic<std::size_t> bytes_ { 0 };
    };

public:
    /// Bytes that a message has reserved; destroying it releases them. May be released on another
    /// thread than the one that reserved it.
    class Reservation
    {
    public:
        Reservation() = default;
        ~Reservation() { release(); }

        Reservation(Reservation &&other) noexcept;
        Reservation &operator=(Reservation &&other) noexcept;
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        /// Releases all bytes.
        void release();

        [[nodiscard]] std::size_t bytes() const { return bytes_; }

    private:
        friend class ByteBudget;

        std::shared_ptr<ByteBudget> budget_; ///< owns pool_
        Pool *pool_ = nullptr; ///< that the bytes are counted in
        std::size_t bytes_ = 0;
    };

    /// @param maxLargeBytes maximum sum of all messages that are not small, in bytes; also the
    ///        maximum of one message.
    /// @param memory if set, where the bytes are counted, in @p account.
    explicit ByteBudget(std::size_t maxLargeBytes, std::shared_ptr<MemoryBudget> memory = nullptr,
                        MemoryAccount account = MemoryAccount::CallerBodies);

    /// @return the bytes for messages that are not small so that all are at most @p totalBytes.
    [[nodiscard]] static constexpr std::size_t largeBytes(std::size_t totalBytes)
    {
        return totalBytes / (kSmallMessagesDivisor + 1) * kSmallMessagesDivisor;
    }

    /// @return the most bytes that a ByteBudget of @p maxLargeBytes reserves.
    [[nodiscard]] static constexpr std::size_t totalBytes(std::size_t maxLargeBytes)
    {
        return maxLargeBytes + maxLargeBytes / kSmallMessagesDivisor;
    }

    /// Increases @p reservation to @p bytes, or leaves it unchanged if it has as many already.
    /// @return whether the limit is kept; if not, @p reservation is unchanged.
    [[nodiscard]] bool reserve(Reservation &reservation, std::size_t bytes);

    /// A message of at most this part (1 / 1,024) of maxLargeBytes is small: 64 KiB of 64 MiB.
    static constexpr std::size_t kSmallMessageDivisor = 1024;
    /// Bytes for small messages alone, in addition to maxLargeBytes, as a part (1 / 16) of it: with
    /// the largest body that is allowed, more would not fit into a machine of 120 MB. When these
    /// are used up, small messages count as large ones.
    static constexpr std::size_t kSmallMessagesDivisor = 16;

private:
    /// @return whether @p reservation was increased to @p bytes, all counted in @p pool.
    [[nodiscard]] bool reserveIn(Pool &pool, Reservation &reservation, std::size_t bytes);

    /// @return whether @p bytes more are within the limits of @p pool and of the account.
    [[nodiscard]] bool take(Pool &pool, std::size_t bytes);
    void give(Pool &pool, std::size_t bytes);

    const std::size_t maxSmallMessageBytes_;
    const std::shared_ptr<MemoryBudget> memory_;
    const MemoryAccount account_;
    Pool small_;
    Pool large_;
};

} // namespace pimentostage
