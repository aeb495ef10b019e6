#include "pimentostage/backend/ExposureBudget.h"

namespace pimentostage {

bool ExposureBudget::trySend(TimePoint now)
{
    if (now.time_since_epoch().count() >= targetUntil_.load(std::memory_order_acquire))
        return false;
    const std::uint64_t limit = limit_.load(std::memory_order_acquire);
    std::uint64_t sent = sent_.load(std::memory_order_relaxed);
    do {
        if (sent >= limit)
            return false;
    } while (!sent_.compare_exchange_weak(sent, sent + 1, std::memory_order_relaxed));
    return true;
}

bool ExposureBudget::mayUseCurrent(TimePoint now) const
{
    return isCurrentAllowed_.load() && now.time_since_epoch().count() < currentUntil_.load();
}

void ExposureBudget::dropLeasesBefore(Epoch holder)
{
    if (holder <= epoch_)
        return;
    epoch_ = holder;
    sequence_ = 0;
    targetUntil_.store(0, std::memory_order_release);
}

ExposureUse ExposureBudget::report(Epoch holder)
{
    dropLeasesBefore(holder);
    ExposureUse use;
    use.incarnation_ = incarnation_;
    use.epoch_ = epoch_;
    use.used_ = sent_.load();
    use.requests_ = requests_.load();
    use.sequence_ = sequence_;
    use.hasLeftCurrent_ = !isCurrentAllowed_.load();
    return use;
}

void ExposureBudget::apply(const ExposureLease &lease, TimePoint now)
{
    if (lease.incarnation_ != incarnation_)
        return;
    dropLeasesBefore(lease.epoch_);
    if (lease.epoch_ != epoch_ || lease.sequence_ <= sequence_)
        return;
    sequence_ = lease.sequence_;
    // No thread may use the limit of this lease until the end of an earlier one that lasts longer.
    targetUntil_.store(0, std::memory_order_release);
    limit_.store(lease.limit_, std::memory_order_release);
    isCurrentAllowed_.store(lease.isCurrentAllowed_);
    currentUntil_.store((now + lease.currentFor_).time_since_epoch().count());
    targetUntil_.store((now + lease.targetFor_).time_since_epoch().count(),
                       std::memory_order_release);
}

} // namespace pimentostage
