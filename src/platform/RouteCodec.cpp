#include "src/platform/RouteCodec.h"

namespace pimentostage {

namespace {

using Json = nlohmann::json;

std::vector<ServiceShare> readShares(ObjectReader &reader)
{
    const double kMaxShareWeight = 1e6;
    std::vector<ServiceShare> shares;
    std::size_t index = 0;
    for (const Json &item : reader.array("services")) {
        ObjectReader row = reader.child(item, "services", index++);
        ServiceShare share;
        share.service_ = ServiceName(row.requiredText("name"));
        share.weight_ = row.number("weight", 1, 0, kMaxShareWeight);
        row.rejectUnknownFields();
        shares.push_back(share);
    }
    return shares;
}

/// Reads the kind from its field, or from "idempotent", which earlier versions have in its place.
RouteKind readRouteKind(ObjectReader &reader)
{
    if (!reader.has("idempotent"))
        return reader.enumValue("route_kind", RouteKind::Unsafe);
    if (reader.has("route_kind"))
        reader.addError("idempotent", "must not be stated beside route_kind");
    return reader.flag("idempotent", false) ? RouteKind::Safe : RouteKind::Unsafe;
}

} // namespace

Route readRoute(ObjectReader reader, Access unstatedAccess)
{
    Route route;
    route.name_ = RouteName(reader.requiredText("name"));
    route.host_ = reader.text("host");
    route.services_ = readShares(reader);
    if (!route.host_.empty() && route.services_.empty())
        reader.addError("services", "must name at least one service");
    route.method_ = reader.text("method", route.host_.empty() ? "GET" : "");
    const std::uint32_t kMaxAttempts = 1'000'000;
    const std::uint32_t kDefaultAttempts = 3;
    route.maxAttempts_ = reader.count("attempts", kDefaultAttempts, 1, kMaxAttempts);
    const std::uint32_t kMaxPriority = 1'000'000;
    route.priority_ = reader.count("priority", 0, 0, kMaxPriority);
    route.target_ = reader.milliseconds("target_ms", 0, 0, kMaxTimeoutMs);
    route.prefix_ = reader.text("prefix", "/");
    if (route.prefix_.empty() || route.prefix_.front() != '/')
        reader.addError("prefix", "must start with /");
    route.access_ = reader.enumValue("access", unstatedAccess);
    route.routeKind_ = readRouteKind(reader);
    route.kind_ = reader.text("kind", route.name_.str());
    const double kMinWeight = 0.001;
    const double kMaxWeight = 1000;
    route.weight_ = reader.number("weight", 1, kMinWeight, kMaxWeight);
    const double kDefaultTimeoutMs = 2000;
    route.timeout_
        = reader.milliseconds("timeout_ms", kDefaultTimeoutMs, kMinTimeoutMs, kMaxTimeoutMs);
    reader.rejectUnknownFields();
    return route;
}

Json toJson(const Route &route)
{
    Json json { { "name", route.name_.str() },
                { "method", route.method_ },
                { "prefix", route.prefix_ },
                { "access", toString(route.access_) },
                { "route_kind", toString(route.routeKind_) },
                { "kind", route.kind_ },
                { "weight", route.weight_ },
                { "attempts", route.maxAttempts_ },
                { "priority", route.priority_ },
                { "target_ms", milliseconds(route.target_) },
                { "timeout_ms", milliseconds(route.timeout_) } };
    if (!route.host_.empty())
        json["host"] = route.host_;
    for (const ServiceShare &share : route.services_) {
        json["services"].push_back(
            { { "name", share.service_.str() }, { "weight", share.weight_ } });
    }
    return json;
}

} // namespace pimentostage
