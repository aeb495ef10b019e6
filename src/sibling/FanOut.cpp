#include "pimentostage/sibling/FanOut.h"

#include <algorithm>
#include <map>

namespace pimentostage {

namespace {

/// Divides @p receivers evenly among the first @p relayCount of them.
std::vector<FanOutBranch> divide(const std::vector<HostName> &receivers, std::size_t relayCount)
{
    relayCount = std::min(relayCount, receivers.size());
    std::vector<FanOutBranch> branches;
    branches.reserve(relayCount);
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        if (i < relayCount)
            branches.push_back({ receivers[i], {} });
        else
            branches[i % relayCount].relayTo_.push_back(receivers[i]);
    }
    return branches;
}

struct ZoneReceivers
{
    std::vector<HostName> hosts_; ///< hosts with high capacity first
    std::size_t highCapacityCount_ = 0;
};

} // namespace

std::vector<FanOutBranch> fanOut(const std::vector<FanOutReceiver> &receivers, const ZoneName &own)
{
    std::map<ZoneName, ZoneReceivers> zones;
    for (const FanOutReceiver &receiver : receivers) {
        ZoneReceivers &zone = zones[receiver.zone_];
        const auto position
            = receiver.hasHighCapacity_
                  ? zone.hosts_.begin() + static_cast<std::ptrdiff_t>(zone.highCapacityCount_)
                  : zone.hosts_.end();
        zone.hosts_.insert(position, receiver.host_);
        zone.highCapacityCount_ += receiver.hasHighCapacity_ ? 1 : 0;
    }
    std::vector<FanOutBranch> branches;
    for (const auto &[name, zone] : zones) {
        const bool areFew = zone.hosts_.size() <= kMaxBranches;
        const std::size_t relayCount = areFew || zone.highCapacityCount_ == 0
                                           ? kMaxBranches
                                           : std::min(zone.highCapacityCount_, kMaxBranches);
        const std::vector<FanOutBranch> zoneBranches
            = divide(zone.hosts_, name == own ? relayCount : 1);
        branches.insert(branches.end(), zoneBranches.begin(), zoneBranches.end());
    }
    return branches;
}

std::vector<FanOutBranch> fanOut(const std::vector<HostName> &receivers)
{
    return divide(receivers, kMaxBranches);
}

} // namespace pimentostage
