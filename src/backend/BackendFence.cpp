#include "pimentostage/backend/BackendFence.h"

namespace pimentostage {

BackendFence::BackendFence(const ServiceName &service)
    : granter_(service, Duration::zero())
{ }

void BackendFence::begin(Epoch roleEpoch, TimePoint now)
{
    granter_.begin(roleEpoch, now);
}

void BackendFence::end()
{
    granter_.end();
}

void BackendFence::adopt(const Placement &placement)
{
    for (const ShardOwner &owner : placement.shards_) {
        if (!owner.backend_.isEmpty())
            granter_.assumeEarlierLease(owner.backend_);
    }
    for (const HotKey &hotKey : placement.hotKeys_) {
        if (!hotKey.owner_.backend_.isEmpty())
            granter_.assumeEarlierLease(hotKey.owner_.backend_);
    }
}

void BackendFence::setBackends(const std::set<BackendName> &backends)
{
    granter_.setHolders(backends);
}

void BackendFence::setUnits(const std::map<BackendName, GrantedUnits> &units)
{
    granter_.setUnits(units);
}

void BackendFence::collectDueActions(TimePoint now, CoordinatorActions &actions)
{
    for (auto &due : granter_.collectDueGrants(now))
        actions.emplace_back(SendGrant { std::move(due.holder_), std::move(due.grant_) });
}

void BackendFence::onGrantReply(const BackendName &backend, const GrantReply &reply, TimePoint now)
{
    granter_.onReply(backend, reply, now);
}

bool BackendFence::isReleased(const UnitName &unit, const BackendName &owner, TimePoint now) const
{
    return granter_.hasReleased(owner, unit, now);
}

bool BackendFence::isResponsive(const BackendName &backend, TimePoint now) const
{
    return granter_.isResponsive(backend, now);
}

// A server that does not reply but may still hold a lease keeps its units.
bool BackendFence::isLost(const BackendName &backend, TimePoint now) const
{
    return !granter_.isResponsive(backend, now) && granter_.hasExpired(backend, now);
}

} // namespace pimentostage
