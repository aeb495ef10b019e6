#pragma once

#include "pimentostage/platform/Configuration.h"

#include <set>

namespace pimentostage {

/// @return the name of the coordinator role of @p service.
inline RoleName coordinatorRoleOf(const ServiceName &service)
{
    return RoleName("coordinator." + service.str());
}

/// @return the names of the coordinator roles of all keyed services.
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
