#pragma once

#include "pimentostage/platform/Objects.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimentostage {

/// The routes of each virtual host, longest prefix first.
using RoutesByHost = std::unordered_map<std::string, std::vector<Route>>;

/// All current objects; immutable once published.
struct Configuration
{
    std::map<ServiceName, Service> services_;
    std::map<TeamName, Contract> contracts_;
    std::unordered_map<std::string, TeamKey> keysByHash_;
    std::map<ZoneName, Zone> zones_;
    std::map<BackendName, Backend> backends_;
    std::map<HostName, LostHost> lostHosts_;
    std::map<ServiceName, std::shared_ptr<const Placement>> placements_;
    std::map<RoleName, RoleRecord> roles_;
    std::map<ServiceName, std::shared_ptr<const RangePlacement>> ranges_;
    std::map<HostName, EntryHost> entryHosts_;
    std::map<ServiceName, Rollout> rollouts_;
    std::map<ServiceName, RolloutState> rolloutStates_;
    /// Shared by the configurations of one catalogue, which may have thousands of routes.
    std::shared_ptr<const RoutesByHost> virtualHosts_ = std::make_shared<const RoutesByHost>();
    CallerLimits callerLimits_; ///< of the catalogue; the host's own settings may be stricter
    bool hasCatalogue_ = false; ///< services and contracts come from one object
    Version catalogueVersion_; ///< of that object; zero if there is none
    Version revision_; ///< the highest object version applied

    /// @return whether data centre @p zone accepts new work; true for an unknown one.
    [[nodiscard]] bool isZoneIn(const ZoneName &zone) const;
};

} // namespace pimentostage
