#include "pimentostage/backend/RouterFence.h"

#include "pimentostage/backend/RoutingFence.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A back end that has not answered for this long is given no more units.
constexpr Duration kProbeWindow = 4 * kGrantPeriod;

} // namespace

Duration mostRequestTime(const Service &service)
{
    Duration longest {};
    for (const Route &route : service.routes_)
        longest = std::max(longest, route.timeout_);
    return kClockDrift.stretched(longest + kMostTransit);
}

RouterFence::RouterFence(const Service &service)
    : granter_(service.name_, mostRequestTime(service))
{ }

void RouterFence::begin(Epoch roleEpoch, TimePoint now)
{
    granter_.begin(roleEpoch, now);
    begunAt_ = now;
}

void RouterFence::end()
{
    granter_.end();
    named_.clear();
    updateHolders();
    for (auto &[name, probed] : probed_)
        probed = Probed {};
}

void RouterFence::adopt(const Placement &placement)
{
    for (const Member &router : placement.routers_)
        granter_.expectEarlierLease(router);
    onRoutersNamed(placement.routers_);
}

void RouterFence::setBackends(const std::set<BackendName> &backends)
{
    std::erase_if(probed_, [&](const auto &entry) { return !backends.contains(entry.first); });
    for (const BackendName &backend : backends)
        probed_.try_emplace(backend);
}

void RouterFence::setRouters(const std::set<Member> &routers)
{
    alive_ = routers;
    updateHolders();
}

void RouterFence::onRoutersNamed(const std::vector<Member> &routers)
{
    named_ = { routers.begin(), routers.end() };
    updateHolders();
}

void RouterFence::updateHolders()
{
    std::set<Member> holders;
    std::set_intersection(alive_.begin(), alive_.end(), named_.begin(), named_.end(),
                          std::inserter(holders, holders.end()));
    granter_.setHolders(holders);
}

std::vector<Member> RouterFence::routersToName(TimePoint now) const
{
    std::set<Member> routers = alive_;
    std::copy_if(named_.begin(), named_.end(), std::inserter(routers, routers.end()),
                 [&](const Member &router) { return !granter_.hasLapsed(router, now); });
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

void RouterFence::takeDue(TimePoint now, CoordinatorActions &actions)
{
    for (auto &due : granter_.takeDue(now))
        actions.emplace_back(SendRouterGrant { std::move(due.holder_), std::move(due.grant_) });
    for (auto &[backend, probed] : probed_) {
        if (now < probed.next_)
            continue;
        probed.next_ = now + kGrantPeriod;
        actions.emplace_back(ProbeBackend { backend });
    }
}

void RouterFence::onRouterReply(const Member &router, const GrantReply &reply, TimePoint now)
{
    granter_.onReply(router, reply, now);
}

void RouterFence::onProbeReply(const BackendName &backend, TimePoint now)
{
    const auto found = probed_.find(backend);
    if (found != probed_.end())
        found->second.repliedAt_ = now;
}

bool RouterFence::isReleased(const UnitName &unit, const BackendName &, TimePoint now) const
{
    return granter_.haveAllReleased(unit, now);
}

bool RouterFence::isAnswering(const BackendName &backend, TimePoint now) const
{
    const auto found = probed_.find(backend);
    return found != probed_.end() && found->second.repliedAt_ + kProbeWindow > now;
}

bool RouterFence::isLost(const BackendName &backend, TimePoint now) const
{
    const auto found = probed_.find(backend);
    return found == probed_.end()
           || now >= std::max(begunAt_, found->second.repliedAt_) + kProbeSilence;
}

} // namespace pimentostage
