#pragma once

#include "pimentostage/base/Time.h"
#include "pimentostage/caller/CallerRequest.h"
#include "pimentostage/caller/Refusal.h"
#include "pimentostage/caller/TrafficView.h"

#include <string>
#include <variant>

namespace pimentostage {

/// A request that may run: its contract, route and deadline.
///
/// The pointers are valid as long as the TrafficView exists.
struct RoutedRequest
{
    const ServiceRoutes *routes_ = nullptr;
    const Route *route_ = nullptr;
    const Contract *contract_ = nullptr; ///< nullptr on open routes
    std::string key_; ///< empty if the service is not keyed
    std::optional<std::uint32_t> orderedKey_; ///< parsed key_ if the service has ordered keys
    std::string backendPath_; ///< path and query to send to the back end
    TimePoint deadline_;
};

using RouteDecision = std::variant<RoutedRequest, Refusal>;

/// Authenticates a request and chooses its route.
class RequestRouter
{
public:
    /// @param view the current configuration and routing table.
    /// @return the routed request, or the refusal; a final one only if the host's configuration is
    ///         current.
    static RouteDecision route(const TrafficView &view, const CallerRequest &request,
                               TimePoint now);

private:
    static RouteDecision routePath(const TrafficView &view, const CallerRequest &request,
                                   TimePoint now);
    static RouteDecision routeVirtualHost(const TrafficView &view, const CallerRequest &request,
                                          TimePoint now);
};

} // namespace pimentostage
