#include "pimentostage/backend/RouterFence.h"

#include "pimentostage/backend/RouterLease.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A back end whose last probe reply is older than this gets no further units.
constexpr Duration kProbeReplyTimeout = 4 * kGrantPeriod;

} // namespace

Duration maxRequestDuration(const Service &service)
{
    Duration maxTimeout {};
    for (const Route &route : service.routes_)
        maxTimeout = std::max(maxTimeout, route.timeout_);
    return kClockDrift.stretched(maxTimeout + kMaxTransitTime);
}

RouterFence::RouterFence(const Service &service)
    : granter_(service.name_, maxRequestDuration(service))
{ }

void RouterFence::begin(Epoch roleEpoch, TimePoint now)
{
    granter_.begin(roleEpoch, now);
    startedAt_ = now;
}

void RouterFence::end()
{
    granter_.end();
    recordedRouters_.clear();
    updateHolders();
    for (auto &[name, probe] : probes_)
        probe = ProbeState {};
}

void RouterFence::adopt(const Placement &placement)
{
    for (const Member &router : placement.routers_)
        granter_.assumeEarlierLease(router);
    onRoutersRecorded(placement.routers_);
}

void RouterFence::setBackends(const std::set<BackendName> &backends)
{
    std::erase_if(probes_, [&](const auto &entry) { return !backends.contains(entry.first); });
    for (const BackendName &backend : backends)
        probes_.try_emplace(backend);
}

void RouterFence::setRouters(const std::set<Member> &routers)
{
    liveRouters_ = routers;
    updateHolders();
}

void RouterFence::onRoutersRecorded(const std::vector<Member> &routers)
{
    recordedRouters_ = { routers.begin(), routers.end() };
    updateHolders();
}

void RouterFence::updateHolders()
{
    std::set<Member> holders;
    std::set_intersection(liveRouters_.begin(), liveRouters_.end(), recordedRouters_.begin(),
                          recordedRouters_.end(), std::inserter(holders, holders.end()));
    granter_.setHolders(holders);
}

std::vector<Member> RouterFence::routersToRecord(TimePoint now) const
{
    std::set<Member> routers = liveRouters_;
    std::copy_if(recordedRouters_.begin(), recordedRouters_.end(),
                 std::inserter(routers, routers.end()),
                 [&](const Member &router) { return !granter_.hasExpired(router, now); });
    return { routers.begin(), routers.end() };
}

void RouterFence::setUnits(const std::map<BackendName, GrantedUnits> &units)
{
    GrantedUnits all;
    for (const auto &[owner, owned] : units) {
        if (!owner.isEmpty())
            all.insert(owned.begin(), owned.end());
    }
    std::map<Member, GrantedUnits> granted;
    for (const Member &router : granter_.holders())
        granted[router] = all;
    granter_.setUnits(granted);
}

void RouterFence::collectDueActions(TimePoint now, CoordinatorActions &actions)
{
    for (auto &due : granter_.collectDueGrants(now))
        actions.emplace_back(SendRouterGrant { std::move(due.holder_), std::move(due.grant_) });
    for (auto &[backend, probe] : probes_) {
        if (now < probe.nextProbeAt_)
            continue;
        probe.nextProbeAt_ = now + kGrantPeriod;
        actions.emplace_back(ProbeBackend { backend });
    }
}

void RouterFence::onRouterReply(const Member &router, const GrantReply &reply, TimePoint now)
{
    granter_.onReply(router, reply, now);
}

void RouterFence::onProbeReply(const BackendName &backend, TimePoint now)
{
    const auto found = probes_.find(backend);
    if (found != probes_.end())
        found->second.lastReplyAt_ = now;
}

bool RouterFence::isReleased(const UnitName &unit, const BackendName &, TimePoint now) const
{
    return granter_.haveAllReleased(unit, now);
}

bool RouterFence::isResponsive(const BackendName &backend, TimePoint now) const
{
    const auto found = probes_.find(backend);
    return found != probes_.end() && found->second.lastReplyAt_ + kProbeReplyTimeout > now;
}

bool RouterFence::isLost(const BackendName &backend, TimePoint now) const
{
    const auto found = probes_.find(backend);
    return found == probes_.end()
           || now >= std::max(startedAt_, found->second.lastReplyAt_) + kBackendLossTimeout;
}

} // namespace pimentostage
