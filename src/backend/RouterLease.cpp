#include "pimentostage/backend/RouterLease.h"

#include <algorithm>

namespace pimentostage {

TimePoint latestEndTime(AttemptState state, TimePoint deadline, TimePoint now)
{
    const bool hasEnded = state == AttemptState::Answered || outcomeOf(state) == Outcome::NotRun;
    return hasEnded ? now : deadline + kMaxTransitTime;
}

RouterLease::RouterLease(Incarnation router)
    : lease_(router)
{ }

GrantReply RouterLease::apply(const Grant &grant, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    GrantReply reply = lease_.apply(grant, now);
    std::erase_if(traffic_, [&](const auto &entry) {
        return entry.second.inFlight_ == 0 && now >= entry.second.latestEnd_;
    });
    for (const auto &[unit, traffic] : traffic_) {
        if (!lease_.units().contains(unit))
            reply.draining_.push_back(unit);
    }
    return reply;
}

bool RouterLease::tryBegin(const UnitName &unit, Epoch epoch, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (!lease_.covers(unit, epoch, now))
        return false;
    ++traffic_[unit].inFlight_;
    return true;
}

bool RouterLease::maySend(const UnitName &unit, Epoch epoch, TimePoint startedAt,
                          TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    return now <= startedAt + kMaxSendDelay && lease_.covers(unit, epoch, now);
}

void RouterLease::end(const UnitName &unit, TimePoint latestEnd, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const auto found = traffic_.find(unit);
    if (found == traffic_.end())
        return;
    Traffic &traffic = found->second;
    --traffic.inFlight_;
    traffic.latestEnd_ = std::max(traffic.latestEnd_, latestEnd);
    if (traffic.inFlight_ == 0 && now >= traffic.latestEnd_)
        traffic_.erase(found);
}

TimePoint RouterLease::expiresAt() const
{
    const std::lock_guard lock(mutex_);
    return lease_.expiresAt();
}

} // namespace pimentostage
