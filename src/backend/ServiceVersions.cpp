#include "pimentostage/backend/ServiceVersions.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

/// @return the state of the running roll-out of @p service, or nothing.
std::optional<RolloutState> runningRollout(const ServiceName &service,
                                           const Configuration &configuration)
{
    const auto order = configuration.rollouts_.find(service);
    const auto state = configuration.rolloutStates_.find(service);
    const bool isRunning
        = order != configuration.rollouts_.end() && state != configuration.rolloutStates_.end()
          && !state->second.isEnded() && state->second.rollout_.isSameOrder(order->second);
    return isRunning ? std::optional(state->second) : std::nullopt;
}

} // namespace

void ServiceVersions::update(const Configuration &configuration)
{
    std::map<ServiceName, std::map<std::string, std::size_t>> backends;
    for (const auto &[name, backend] : configuration.backends_)
        ++backends[backend.service_][backend.version_];
    services_.clear();
    for (const auto &[service, counts] : backends) {
        services_[service] = { versionInForce(service, counts, configuration),
                               runningRollout(service, configuration) };
    }
}

std::string ServiceVersions::versionInForce(const ServiceName &service,
                                            const std::map<std::string, std::size_t> &backends,
                                            const Configuration &configuration)
{
    const auto state = configuration.rolloutStates_.find(service);
    // A roll-out of a service without back ends knows no version that was in force before, and a
    // store that was restored from a copy may name one whose back ends have been stopped since.
    const bool isUsable = state != configuration.rolloutStates_.end()
                          && backends.contains(state->second.versionInForce());
    if (isUsable)
        return state->second.versionInForce();
    std::string &version = firstSeen_[service];
    // All back ends may have been replaced by others; some version is in force.
    if (backends.contains(version))
        return version;
    const auto order = configuration.rollouts_.find(service);
    // The back ends of an ordered version are started beside the old ones, perhaps before this host
    // has seen the service.
    const auto rank = [&](const auto &entry) {
        const bool isOrdered
            = order != configuration.rollouts_.end() && order->second.order_.target_ == entry.first;
        return std::pair(!isOrdered, entry.second);
    };
    version = std::max_element(backends.begin(), backends.end(), [&](const auto &a, const auto &b) {
                  return rank(a) < rank(b);
              })->first;
    return version;
}

const AllowedVersions *ServiceVersions::find(const ServiceName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

std::set<std::string> ServiceVersions::withheld(const Configuration &configuration) const
{
    std::set<std::string> names;
    for (const auto &[name, backend] : configuration.backends_) {
        const AllowedVersions *versions = find(backend.service_);
        if (versions && !versions->allows(backend.version_))
            names.insert(name.str());
    }
    return names;
}

std::set<std::string> ServiceVersions::withheldFromKeys(const Configuration &configuration) const
{
    std::map<ServiceName, std::vector<std::string>> inForce; // sorted by name
    std::set<std::string> names;
    for (const auto &[name, backend] : configuration.backends_) {
        const auto service = configuration.services_.find(backend.service_);
        const AllowedVersions *versions = find(backend.service_);
        if (!versions || service == configuration.services_.end() || !service->second.keyed_)
            continue;
        const bool isSwitching
            = versions->rollout_ && versions->rollout_->phase_ == RolloutPhase::Switching;
        if (backend.version_ == versions->inForce_)
            inForce[backend.service_].push_back(name.str());
        else if (!isSwitching || !versions->allows(backend.version_))
            names.insert(name.str());
    }
    for (const auto &[service, backends] : inForce) {
        const std::optional<RolloutState> &rollout = find(service)->rollout_;
        if (!rollout || rollout->phase_ != RolloutPhase::Switching)
            continue;
        const auto moved = static_cast<std::ptrdiff_t>(
            std::ceil(rollout->share_ * static_cast<double>(backends.size())));
        names.insert(backends.begin(), backends.begin() + moved);
    }
    return names;
}

} // namespace pimentostage
