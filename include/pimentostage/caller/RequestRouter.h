#pragma once

#include "pimentostage/base/Time.h"
#include "pimentostage/caller/CallerRequest.h"
#include "pimentostage/caller/Refusal.h"
#include "pimentostage/caller/TrafficView.h"

#include <string>
#include <variant>

namespace pimentostage {

/// A request that may run: whose it is, by which route and until when.
///
/// Pointers are valid as long as the TrafficView is held.
struct RoutedRequest
{
    const ServiceRoutes *routes_ = nullptr;
    const Route *route_ = nullptr;
    const Contract *contract_ = nullptr; ///< nullptr on open routes
    std::string key_; ///< empty for services that are not keyed
    std::optional<std::uint32_t> orderedKey_; ///< key_ of a service with ordered keys
    std::string backendPath_; ///< path below the service, with the query
    TimePoint deadline_;
};

using RouteDecision = std::variant<RoutedRequest, Refusal>;

/// Decides whose a request is and which route it takes.
class RequestRouter
{
public:
    /// @param view the configuration in force.
    /// @return the routed request, or why it is refused.
    static RouteDecision route(const TrafficView &view, const CallerRequest &request,
                               TimePoint now);

private:
    static RouteDecision routeVirtualHost(const TrafficView &view, const CallerRequest &request,
                                          TimePoint now);
};

} // namespace pimentostage
