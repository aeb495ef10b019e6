#include "pimentostage/base/MemoryBudget.h"

#include "pimentostage/base/ByteBudget.h"

#include <algorithm>

namespace pimentostage {

namespace {

/// An account's part of the memory that the bodies leave, and the least with which it works.
struct AccountShare
{
    MemoryAccount account_;
    std::size_t weight_;
    std::size_t minBytes_;
};

constexpr std::size_t kMegabyte = std::size_t { 1 } << 20U;

// The least is for some answers of 540 KB, the largest that callers of a host of 120 MB download,
// of which an unfinished one may take twice its size, and for a configuration of some hundred back
// ends.
constexpr AccountShare kShares[] = {
    { MemoryAccount::CallerHeads, 3, kMegabyte / 2 },
    { MemoryAccount::UnreadAnswers, 8, 2 * kMegabyte },
    { MemoryAccount::BackendAnswers, 8, 2 * kMegabyte },
    { MemoryAccount::SiblingFrames, 4, kMegabyte },
    { MemoryAccount::StoreReplies, 4, kMegabyte },
};

} // namespace

MemoryLimits defaultMemoryLimits()
{
    MemoryLimits limits;
    limits.fill(kDefaultAccountBytes);
    limits.at(static_cast<std::size_t>(MemoryAccount::CallerBodies))
        = ByteBudget::totalBytes(kDefaultAccountBytes);
    return limits;
}

std::size_t maxBodiesFor(std::size_t memoryBytes, std::size_t maxBodyBytes)
{
    return std::max(maxBodyBytes, std::min(memoryBytes / 4, kDefaultAccountBytes));
}

std::optional<MemoryLimits> memoryLimitsFor(std::size_t memoryBytes, std::size_t maxBodyBytes)
{
    MemoryLimits limits {};
    const std::size_t bodies = ByteBudget::totalBytes(maxBodiesFor(memoryBytes, maxBodyBytes));
    if (memoryBytes < kProcessBaseBytes + bodies)
        return std::nullopt;
    limits.at(static_cast<std::size_t>(MemoryAccount::CallerBodies)) = bodies;
    const std::size_t left = memoryBytes - kProcessBaseBytes - bodies;
    std::size_t weights = 0;
    for (const AccountShare &share : kShares)
        weights += share.weight_;
    for (const AccountShare &share : kShares) {
        const std::size_t bytes = left / weights * share.weight_;
        if (bytes < share.minBytes_)
            return std::nullopt;
        limits.at(static_cast<std::size_t>(share.account_)) = std::min(bytes, kDefaultAccountBytes);
    }
    return limits;
}

MemoryBudget::MemoryBudget(const MemoryLimits &limits)
{
    for (std::size_t i = 0; i < limits.size(); ++i)
        accounts_.at(i).limit_ = limits.at(i);
}

bool MemoryBudget::take(MemoryAccount account, std::size_t bytes)
{
    Account &row = at(account);
    const std::size_t before = row.used_.fetch_add(bytes, std::memory_order_relaxed);
    if (before + bytes <= row.limit_)
        return true;
    remove(account, bytes);
    countRefusal(account);
    return false;
}

void MemoryBudget::add(MemoryAccount account, std::size_t bytes)
{
    at(account).used_.fetch_add(bytes, std::memory_order_relaxed);
}

void MemoryBudget::remove(MemoryAccount account, std::size_t bytes)
{
    at(account).used_.fetch_sub(bytes, std::memory_order_relaxed);
}

void MemoryBudget::countRefusal(MemoryAccount account)
{
    at(account).refusals_.fetch_add(1, std::memory_order_relaxed);
}

std::size_t MemoryBudget::limit(MemoryAccount account) const
{
    return at(account).limit_;
}

std::size_t MemoryBudget::used(MemoryAccount account) const
{
    return at(account).used_.load(std::memory_order_relaxed);
}

std::uint64_t MemoryBudget::refusals(MemoryAccount account) const
{
    return at(account).refusals_.load(std::memory_order_relaxed);
}

MemoryBudget::Account &MemoryBudget::at(MemoryAccount account)
{
    return accounts_.at(static_cast<std::size_t>(account));
}

const MemoryBudget::Account &MemoryBudget::at(MemoryAccount account) const
{
    return accounts_.at(static_cast<std::size_t>(account));
}

} // namespace pimentostage
