#include "pimentostage/base/ByteBudget.h"

namespace pimentostage {

ByteBudget::Reservation::Reservation(Reservation &&other) noexcept
    : budget_(std::move(other.budget_))
    , pool_(std::exchange(other.pool_, nullptr))
    , bytes_(std::exchange(other.bytes_, 0))
{ }

ByteBudget::Reservation &ByteBudget::Reservation::operator=(Reservation &&other) noexcept
{
    if (this != &other) {
        release();
        budget_ = std::move(other.budget_);
        pool_ = std::exchange(other.pool_, nullptr);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

void ByteBudget::Reservation::release()
{
    if (Pool *pool = std::exchange(pool_, nullptr))
        budget_->give(*pool, std::exchange(bytes_, 0));
    budget_.reset();
}

bool ByteBudget::Pool::take(std::size_t bytes)
{
    const std::size_t before = bytes_.fetch_add(bytes, std::memory_order_relaxed);
    if (before + bytes <= maxBytes_)
        return true;
    bytes_.fetch_sub(bytes, std::memory_order_relaxed);
    return false;
}

ByteBudget::ByteBudget(std::size_t maxLargeBytes, std::shared_ptr<MemoryBudget> memory,
                       MemoryAccount account)
    : maxSmallMessageBytes_(maxLargeBytes / kSmallMessageDivisor)
    , memory_(std::move(memory))
    , account_(account)
    , small_ { maxLargeBytes / kSmallMessagesDivisor }
    , large_ { maxLargeBytes }
{ }

bool ByteBudget::reserve(Reservation &reservation, std::size_t bytes)
{
    if (bytes <= reservation.bytes_)
        return true;
    const bool isSmall = bytes <= maxSmallMessageBytes_;
    if ((isSmall && reserveIn(small_, reservation, bytes)) || reserveIn(large_, reservation, bytes))
        return true;
    if (memory_)
        memory_->countRefusal(account_);
    return false;
}

bool ByteBudget::take(Pool &pool, std::size_t bytes)
{
    if (!pool.take(bytes))
        return false;
    if (!memory_ || memory_->take(account_, bytes))
        return true;
    pool.bytes_.fetch_sub(bytes, std::memory_order_relaxed);
    return false;
}

void ByteBudget::give(Pool &pool, std::size_t bytes)
{
    pool.bytes_.fetch_sub(bytes, std::memory_order_relaxed);
    if (memory_)
        memory_->remove(account_, bytes);
}

bool ByteBudget::reserveIn(Pool &pool, Reservation &reservation, std::size_t bytes)
{
    const bool isSamePool = reservation.pool_ == &pool;
    if (!take(pool, isSamePool ? bytes - reservation.bytes_ : bytes))
        return false;
    if (!isSamePool)
        reservation.release();
    reservation.budget_ = shared_from_this();
    reservation.pool_ = &pool;
    reservation.bytes_ = bytes;
    return true;
}

} // namespace pimentostage
