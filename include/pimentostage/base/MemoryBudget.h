#pragma once

#include "pimentostage/base/EnumNames.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentostage {

/// What a process keeps memory for on behalf of its peers.
enum class MemoryAccount {
    CallerHeads, ///< heads of requests that are being received
    CallerBodies, ///< bodies of requests that are being received or are not answered yet
    UnreadAnswers, ///< answers that their callers have not taken yet
    BackendAnswers, ///< unfinished answers of back ends
    SiblingFrames, ///< frames that are being received from other hosts or wait to be sent to them
    StoreReplies, ///< unfinished replies of the store
};

template <>
struct EnumTable<MemoryAccount>
{
    static constexpr std::array kRows {
        EnumName<MemoryAccount> { MemoryAccount::CallerHeads, "caller_heads" },
        EnumName<MemoryAccount> { MemoryAccount::CallerBodies, "caller_bodies" },
        EnumName<MemoryAccount> { MemoryAccount::UnreadAnswers, "unread_answers" },
        EnumName<MemoryAccount> { MemoryAccount::BackendAnswers, "backend_answers" },
        EnumName<MemoryAccount> { MemoryAccount::SiblingFrames, "sibling_frames" },
        EnumName<MemoryAccount> { MemoryAccount::StoreReplies, "store_replies" },
    };
};

/// Limit of each account, in bytes, in the order of MemoryAccount.
using MemoryLimits = std::array<std::size_t, kEnumCount<MemoryAccount>>;

/// Resident memory of a process without peers' messages, in bytes: 11.6 MB were measured on x86-64
/// with one back end; the rest is for a large configuration and for free memory that the allocator
/// keeps.
inline constexpr std::size_t kProcessBaseBytes = 20'000'000;

/// Limits of a host whose memory is unknown: a quarter of the 260 MB of an ordinary entry host for
/// each account.
inline constexpr std::size_t kDefaultAccountBytes = std::size_t { 64 } << 20U;
[[nodiscard]] MemoryLimits defaultMemoryLimits();

/// @return the bytes of all bodies together, except small ones, on a machine of @p memoryBytes: a
///         quarter of it, but at least one body of the size that is allowed.
[[nodiscard]] std::size_t maxBodiesFor(std::size_t memoryBytes, std::size_t maxBodyBytes);

/// @param memoryBytes memory of the machine.
/// @param maxBodyBytes largest body that a caller may send, which must fit.
/// @return limits whose sum with kProcessBaseBytes is at most @p memoryBytes, or nothing if the
///         memory is too small.
[[nodiscard]] std::optional<MemoryLimits> memoryLimitsFor(std::size_t memoryBytes,
                                                          std::size_t maxBodyBytes);

/// The bytes that a process keeps in each account, with the accounts' limits. Any thread may use
/// this.
class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits);

    /// Counts @p bytes in @p account if its limit allows it; counts a refusal otherwise.
    /// @return whether the bytes were counted.
    [[nodiscard]] bool take(MemoryAccount account, std::size_t bytes);
    /// Counts @p bytes that exist already, also above the limit: the caller gives up others.
    void add(MemoryAccount account, std::size_t bytes);
    /// Ends the count of @p bytes.
    void remove(MemoryAccount account, std::size_t bytes);
    /// Counts a message that was refused or given up for the limit of @p account.
    void countRefusal(MemoryAccount account);

    [[nodiscard]] std::size_t limit(MemoryAccount account) const;
    [[nodiscard]] std::size_t used(MemoryAccount account) const;
    [[nodiscard]] std::uint64_t refusals(MemoryAccount account) const;

private:
    struct Account
    {
        std::size_t limit_ = 0;
        std::atomic<std::size_t> used_ { 0 };
        std::atomic<std::uint64_t> refusals_ { 0 };
    };

    [[nodiscard]] Account &at(MemoryAccount account);
    [[nodiscard]] const Account &at(MemoryAccount account) const;

    std::array<Account, kEnumCount<MemoryAccount>> accounts_;
};

} // namespace pimentostage
