#pragma once

#include "pimentostage/platform/Configuration.h"

#include <set>

namespace pimentostage {

/// @return the role of the coordinator of @p service.
inline RoleName coordinatorRoleOf(const ServiceName &service)
{
    return RoleName("coordinator." + service.str());
}

/// @return the roles of the coordinators of all keyed services.
inline std::set<RoleName> coordinatorRolesFor(const Configuration &configuration)
{
    std::set<RoleName> roles;
    for (const auto &[name, service] : configuration.services_) {
        if (service.keyed_)
            roles.insert(coordinatorRoleOf(name));
    }
    return roles;
}

} // namespace pimentostage
