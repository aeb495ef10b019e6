#include "pimentostage/sibling/FanOut.h"

#include <algorithm>
#include <map>

namespace pimentostage {

namespace {

/// Divides @p receivers evenly among the first @p heads of them.
std::vector<FanOutBranch> divide(const std::vector<HostName> &receivers, std::size_t heads)
{
    heads = std::min(heads, receivers.size());
    std::vector<FanOutBranch> branches;
    branches.reserve(heads);
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        if (i < heads)
            branches.push_back({ receivers[i], {} });
        else
            branches[i % heads].relayTo_.push_back(receivers[i]);
    }
    return branches;
}

struct ZoneReceivers
{
    std::vector<HostName> hosts_; ///< strong ones first
    std::size_t strong_ = 0;
};

} // namespace

std::vector<FanOutBranch> fanOut(const std::vector<FanOutReceiver> &receivers, const ZoneName &own)
{
    std::map<ZoneName, ZoneReceivers> zones;
    for (const FanOutReceiver &receiver : receivers) {
        ZoneReceivers &zone = zones[receiver.zone_];
        const auto place = receiver.isStrong_
                               ? zone.hosts_.begin() + static_cast<std::ptrdiff_t>(zone.strong_)
                               : zone.hosts_.end();
        zone.hosts_.insert(place, receiver.host_);
        zone.strong_ += receiver.isStrong_ ? 1 : 0;
    }
    std::vector<FanOutBranch> branches;
    for (const auto &[name, zone] : zones) {
        const bool areFew = zone.hosts_.size() <= kMostBranches;
        const std::size_t relays
            = areFew || zone.strong_ == 0 ? kMostBranches : std::min(zone.strong_, kMostBranches);
        const std::vector<FanOutBranch> more = divide(zone.hosts_, name == own ? relays : 1);
        branches.insert(branches.end(), more.begin(), more.end());
    }
    return branches;
}

std::vector<FanOutBranch> fanOut(const std::vector<HostName> &receivers)
{
    return divide(receivers, kMostBranches);
}

} // namespace pimentostage
