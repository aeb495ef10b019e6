#pragma once

#include "pimentostage/platform/Configuration.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace pimentostage {

/// The versions of one service that may get requests.
struct AllowedVersions
{
    std::string inForce_;
    std::optional<RolloutState> rollout_; ///< set while a roll-out runs; its target is allowed too

    /// @return whether a back end of @p version may get requests.
    [[nodiscard]] bool allows(const std::string &version) const
    {
        return version == inForce_ || (rollout_ && version == rollout_->rollout_.order_.target_);
    }
};

/// Which versions of each service may get requests, where roll-outs are on.
///
/// The version in force is the target of the last completed roll-out; without one, the version of
/// most of the service's back ends when it was first seen.
class ServiceVersions
{
public:
    /// Updates from the configuration in force.
    void update(const Configuration &configuration);

    [[nodiscard]] const std::map<ServiceName, AllowedVersions> &services() const
    {
        return services_;
    }
    /// @return the versions of @p service, or nullptr if it has no back ends.
    [[nodiscard]] const AllowedVersions *find(const ServiceName &service) const;

    /// @return the names of the back ends that get no requests: those of a version that is neither
    ///         in force nor the target of a running roll-out.
    [[nodiscard]] std::set<std::string> withheld(const Configuration &configuration) const;

    /// @return the names of the back ends of keyed services that get no keys. The target gets keys
    ///         from RolloutPhase::Switching on, the version in force gives up a part in each step.
    [[nodiscard]] std::set<std::string> withheldFromKeys(const Configuration &configuration) const;

private:
    [[nodiscard]] std::string versionInForce(const ServiceName &service,
                                             const std::map<std::string, std::size_t> &backends,
                                             const Configuration &configuration);

    std::map<ServiceName, std::string> firstSeen_;
    std::map<ServiceName, AllowedVersions> services_;
};

} // namespace pimentostage
