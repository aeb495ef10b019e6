#include "pimentostage/backend/KeyedRollout.h"

#include <algorithm>

namespace pimentostage {

namespace {

bool isReady(const KeyedProgress &progress)
{
    const double wanted = KeyedRollout::kMinReadyShare * static_cast<double>(progress.current_);
    return progress.ready_ > 0 && static_cast<double>(progress.ready_) >= wanted;
}

} // namespace

KeyedProgress keyedProgress(const Configuration &configuration, const RolloutOrder &order)
{
    KeyedProgress progress;
    for (const auto &[name, backend] : configuration.backends_) {
        if (backend.service_ != order.service_)
            continue;
        const bool isReady = backend.state_ == BackendState::Ready;
        if (backend.version_ != order.target_)
            ++progress.current_;
        else
            ++(isReady ? progress.ready_ : progress.unready_);
    }
    const auto isAtTarget = [&](const BackendName &owner) {
        const auto backend = configuration.backends_.find(owner);
        return backend != configuration.backends_.end()
               && backend->second.version_ == order.target_;
    };
    const auto add = [&](std::size_t units, bool isMoved) {
        progress.units_ += units;
        progress.unitsAtCurrent_ += isMoved ? 0 : units;
    };
    const auto ranges = configuration.ranges_.find(order.service_);
    if (ranges != configuration.ranges_.end()) {
        for (const RangeOwner &row : ranges->second->ranges_)
            add(row.range_.size(), isAtTarget(row.owner_.name_) && row.previous_.isNone());
    }
    const auto placement = configuration.placements_.find(order.service_);
    if (placement != configuration.placements_.end()) {
        for (const ShardOwner &owner : placement->second->shards_)
            add(1, isAtTarget(owner.backend_));
        for (const HotKey &key : placement->second->hotKeys_)
            add(1, isAtTarget(key.owner_.backend_));
    }
    return progress;
}

KeyedRollout::KeyedRollout(const RolloutOrder &order, TimePoint orderedAt)
    : order_(order)
    , orderedAt_(orderedAt)
{ }

void KeyedRollout::resume(RolloutPhase phase, double share, TimePoint now)
{
    verdict_.phase_ = phase;
    verdict_.share_ = share;
    stepAt_ = now;
}

void KeyedRollout::abort()
{
    if (verdict_.phase_ == RolloutPhase::Observing || verdict_.phase_ == RolloutPhase::Switching)
        rollBack(RolloutReason::Aborted);
}

void KeyedRollout::rollBack(RolloutReason reason)
{
    verdict_ = { RolloutPhase::RolledBack, 0, reason };
}

RolloutVerdict KeyedRollout::decide(const KeyedProgress &progress, TimePoint now)
{
    if (verdict_.phase_ == RolloutPhase::Observing)
        observe(progress, now);
    else if (verdict_.phase_ == RolloutPhase::Switching)
        switchKeys(progress, now);
    return verdict_;
}

void KeyedRollout::observe(const KeyedProgress &progress, TimePoint now)
{
    if (!isReady(progress) || progress.unready_ > 0)
        readySince_.reset();
    else if (!readySince_)
        readySince_ = now;
    if (readySince_ && now >= *readySince_ + kReadyTime && isSwitchingAllowed_) {
        verdict_ = { RolloutPhase::Switching, kMaxStepShare, RolloutReason::Passed };
        stepAt_ = now;
    } else if (now >= orderedAt_ + order_.duration_ - kSwitchDuration) {
        rollBack(RolloutReason::NotSwitched);
    }
}

void KeyedRollout::switchKeys(const KeyedProgress &progress, TimePoint now)
{
    if (!isReady(progress)) {
        rollBack(RolloutReason::Failures);
        return;
    }
    if (progress.unitsAtCurrent_ > 0 || verdict_.share_ < 1)
        emptySince_.reset();
    else if (!emptySince_)
        emptySince_ = now;
    if (emptySince_ && now >= *emptySince_ + kDrainTime) {
        verdict_ = { RolloutPhase::Complete, 1, RolloutReason::Confirmed };
        return;
    }
    if (now >= orderedAt_ + order_.duration_) {
        rollBack(RolloutReason::NotSwitched);
        return;
    }
    const double expected = (1 - verdict_.share_) * static_cast<double>(progress.units_);
    const bool hasMoved = static_cast<double>(progress.unitsAtCurrent_) <= expected;
    if (now < stepAt_ + (hasMoved ? kMinStep : kMaxStep) || verdict_.share_ >= 1)
        return;
    verdict_.share_ = std::min(1.0, verdict_.share_ + kMaxStepShare);
    stepAt_ = now;
}

} // namespace pimentostage
