#include "pimentostage/platform/ObjectCodec.h"

#include "pimentostage/platform/CoordinationCodec.h"
#include "src/platform/CallerLimitsCodec.h"
#include "src/platform/ObjectReader.h"
#include "src/platform/RouteCodec.h"

#include <algorithm>
#include <charconv>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t kMaxShards = 65'536;
constexpr std::uint32_t kMaxSlots = 1'000'000;
constexpr std::uint32_t kMaxKeySegment = 16;
constexpr double kMaxRate = 1e9;
constexpr double kMaxRampMs = 3'600'000;
constexpr std::size_t kSha256HexLength = 64;
// A roll-out needs some seconds of observation; a longer one than a day is a mistake.
constexpr double kMinRolloutMs = 1000;
constexpr double kMaxRolloutMs = 86'400'000;

} // namespace

std::optional<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    Address address { text.substr(0, colon), 0 };
    in_addr parsed {};
    if (inet_pton(AF_INET, address.ip_.c_str(), &parsed) != 1)
        return std::nullopt;
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data() + colon + 1, end, address.port_);
    if (error != std::errc() || last != end || address.port_ == 0)
        return std::nullopt;
    return address;
}

namespace {

/// Reads the fields that are common to a service object and a service of a catalogue.
void readServiceFields(ObjectReader &reader, Service &service)
{
    service.keyed_ = reader.flag("keyed", false);
    service.division_ = reader.enumValue("division", KeyDivision::Hashed);
    service.balancing_ = reader.enumValue("balancing", Balancing::LowestCost);
    service.healthPath_ = reader.text("health_path");
    service.connections_ = reader.count("connections", 0, 0, kMaxSlots);
    service.coldTime_ = reader.milliseconds("cold_ms", 0, 0, kMaxTimeoutMs);
    service.coldRate_ = reader.number("cold_rate", 0, 0, kMaxRate);
}

} // namespace

leaf::result<Service> parseService(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::Service, name }, value);
    Service service;
    service.name_ = ServiceName(name);
    readServiceFields(reader, service);
    service.keySegment_ = reader.count("key_segment", 0, 0, kMaxKeySegment);
    const std::uint32_t kDefaultShards = 256;
    service.shardCount_ = reader.count("shards", kDefaultShards, 1, kMaxShards);
    service.fencing_ = reader.enumValue("fencing", Fencing::Checked);
    std::size_t index = 0;
    for (const Json &item : reader.array("routes"))
        service.routes_.push_back(readRoute(reader.child(item, "routes", index++), Access::Team));
    if (service.routes_.empty())
        reader.addError("routes", "must hold at least one route");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return service;
}

leaf::result<Contract> parseContract(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::Contract, name }, value);
    Contract contract;
    contract.team_ = TeamName(name);
    contract.rate_ = reader.number("rate_per_second", 0, 0, kMaxRate);
    contract.burst_ = reader.number("burst", contract.rate_, 1, kMaxRate);
    const double kMinShare = 0.001;
    const double kMaxShare = 1000;
    contract.share_ = reader.number("share", 1, kMinShare, kMaxShare);
    const std::uint32_t kDefaultConnections = 1000;
    contract.connections_ = reader.count("connections", kDefaultConnections, 1, kMaxSlots);
    contract.kinds_ = reader.textArray("kinds");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return contract;
}

leaf::result<TeamKey> parseTeamKey(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::TeamKey, name }, value);
    TeamKey key;
    key.name_ = name;
    key.team_ = TeamName(reader.requiredText("team"));
    key.sha256_ = reader.text("sha256");
    const bool isHash = key.sha256_.size() == kSha256HexLength
                        && key.sha256_.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!isHash)
        reader.addError("sha256", "must be 64 lower-case hexadecimal digits");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return key;
}

leaf::result<Zone> parseZone(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::Zone, name }, value);
    Zone zone;
    zone.name_ = ZoneName(name);
    zone.state_ = reader.enumValue("state", ZoneState::In);
    const double kDefaultRampMs = 5000;
    zone.ramp_ = reader.milliseconds("ramp_ms", kDefaultRampMs, 0, kMaxRampMs);
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return zone;
}

leaf::result<Backend> parseBackend(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::Backend, name }, value);
    Backend backend;
    backend.name_ = BackendName(name);
    backend.service_ = ServiceName(reader.requiredText("service"));
    backend.zone_ = ZoneName(reader.requiredText("zone"));
    backend.address_ = reader.address("address");
    const std::uint32_t kDefaultSlots = 6;
    backend.slots_ = reader.count("slots", kDefaultSlots, 1, kMaxSlots);
    const std::uint32_t kDefaultConnections = 110;
    backend.connections_ = reader.count("connections", kDefaultConnections, 1, kMaxSlots);
    backend.state_ = reader.enumValue("state", BackendState::Ready);
    backend.incarnation_ = Incarnation { reader.unsignedInteger("incarnation", 0) };
    backend.coldFor_ = reader.milliseconds("cold_ms", 0, 0, kMaxTimeoutMs);
    backend.version_ = reader.text("version");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return backend;
}

leaf::result<LostHost> parseLostHost(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::LostHost, name }, value);
    LostHost host;
    host.name_ = HostName(name);
    host.upTo_ = Incarnation { reader.unsignedInteger("up_to_incarnation") };
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return host;
}

namespace {

void readTeam(ObjectReader reader, Catalogue &catalogue)
{
    Contract contract;
    contract.team_ = TeamName(reader.requiredText("name"));
    contract.rate_ = reader.number("rate_per_second", 0, 0, kMaxRate);
    contract.burst_ = reader.number("burst", contract.rate_, 0, kMaxRate);
    contract.isLimited_ = contract.rate_ > 0;
    const std::uint32_t kMaxPriority = 1'000'000;
    const std::uint32_t unspecified = kMaxPriority + 1;
    const std::uint32_t priority = reader.count("priority", unspecified, 0, kMaxPriority);
    if (priority != unspecified)
        contract.priority_ = priority;
    contract.connections_ = kMaxSlots;
    for (const std::string &hash : reader.textArray("key_sha256")) {
        TeamKey key;
        key.name_ = contract.team_.str();
        key.team_ = contract.team_;
        key.sha256_ = hash;
        catalogue.keys_.push_back(key);
    }
    reader.rejectUnknownFields();
    catalogue.contracts_.push_back(contract);
}

} // namespace

leaf::result<Catalogue> parseCatalogue(const std::string &name, const std::string &value,
                                       MissingTeams missingTeams)
{
    ObjectReader reader({ ObjectKind::Catalogue, name }, value);
    Catalogue catalogue;
    std::size_t index = 0;
    for (const Json &item : reader.requiredArray("services")) {
        ObjectReader row = reader.child(item, "services", index++);
        Service service;
        service.name_ = ServiceName(row.requiredText("name"));
        readServiceFields(row, service);
        row.rejectUnknownFields();
        catalogue.services_.push_back(service);
    }
    const bool hasTeams = !reader.isAbsent("teams");
    catalogue.listsTeams_ = hasTeams || missingTeams == MissingTeams::Closed;
    const Access unstatedAccess = catalogue.listsTeams_ ? Access::Team : Access::Open;
    index = 0;
    for (const Json &item : reader.requiredArray("routes")) {
        Route route = readRoute(reader.child(item, "routes", index++), unstatedAccess);
        if (route.host_.empty() && route.services_.empty())
            reader.addError("routes", "must name at least one service each");
        catalogue.routes_.push_back(std::move(route));
    }
    index = 0;
    // Without the list, no key would be valid, so that no request could use such a route.
    const bool needsTeams
        = std::any_of(catalogue.routes_.begin(), catalogue.routes_.end(),
                      [](const Route &route) { return route.access_ == Access::Team; });
    if (needsTeams && !catalogue.listsTeams_)
        reader.addError("teams", "must be an array, since a route states access team");
    for (const Json &item : hasTeams ? reader.array("teams") : Json::array())
        readTeam(reader.child(item, "teams", index++), catalogue);
    catalogue.limits_ = readCallerLimits(reader.object("limits"));
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return catalogue;
}

leaf::result<EntryHost> parseEntryHost(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::EntryHost, name }, value);
    EntryHost host;
    host.name_ = HostName(name);
    host.incarnation_ = Incarnation { reader.unsignedInteger("incarnation") };
    host.zone_ = ZoneName(reader.requiredText("zone"));
    host.siblingAddress_ = reader.address("sibling");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return host;
}

leaf::result<Rollout> parseRollout(const std::string &name, const std::string &value)
{
    ObjectReader reader({ ObjectKind::Rollout, name }, value);
    Rollout rollout;
    rollout.order_.service_ = ServiceName(name);
    rollout.order_.target_ = reader.requiredText("target");
    rollout.order_.duration_
        = reader.wholeMilliseconds("duration_ms", kMinRolloutMs, kMinRolloutMs, kMaxRolloutMs);
    rollout.id_ = reader.text("id");
    reader.rejectUnknownFields();
    BOOST_LEAF_CHECK(reader.result());
    return rollout;
}

leaf::result<std::vector<ListedHost>> parseHostList(const std::string &value)
{
    ObjectReader reader({ ObjectKind::Backend, "host list" }, value);
    std::vector<ListedHost> hosts;
    std::size_t index = 0;
    for (const Json &item : reader.array("hosts")) {
        ObjectReader row = reader.child(item, "hosts", index++);
        ListedHost host;
        host.name_ = row.requiredText("name");
        host.kind_ = row.enumValue("kind", HostKind::Entry);
        host.state_ = row.enumValue("state", HostState::Live);
        host.zone_ = ZoneName(row.text("zone"));
        if (host.kind_ == HostKind::Entry)
            host.siblingAddress_ = row.address("sibling");
        hosts.push_back(host);
    }
    BOOST_LEAF_CHECK(reader.result());
    return hosts;
}

namespace {

template <auto kParse>
leaf::result<ParsedObject> parse(const std::string &name, const std::string &value, MissingTeams)
{
    BOOST_LEAF_AUTO(content, kParse(name, value));
    return ParsedObject(std::move(content));
}

template <>
leaf::result<ParsedObject> parse<&parseCatalogue>(const std::string &name, const std::string &value,
                                                  MissingTeams missingTeams)
{
    BOOST_LEAF_AUTO(content, parseCatalogue(name, value, missingTeams));
    return ParsedObject(std::move(content));
}

using ParseObject
    = leaf::result<ParsedObject> (*)(const std::string &, const std::string &, MissingTeams);

// One row for each ObjectKind, in its order.
constexpr std::array<ParseObject, kEnumCount<ObjectKind>> kParseObject {
    &parse<&parseService>,        &parse<&parseContract>,  &parse<&parseTeamKey>,
    &parse<&parseZone>,           &parse<&parseBackend>,   &parse<&parseLostHost>,
    &parse<&parseRoleRecord>,     &parse<&parsePlacement>, &parse<&parseCatalogue>,
    &parse<&parseRangePlacement>, &parse<&parseEntryHost>, &parse<&parseRollout>,
    &parse<&parseRolloutState>,
};
static_assert(std::variant_size_v<ParsedObject> == kEnumCount<ObjectKind>);

} // namespace

leaf::result<ParsedObject> parseObject(const ObjectRef &ref, const std::string &value,
                                       MissingTeams missingTeams)
{
    return kParseObject.at(static_cast<std::size_t>(ref.kind_))(ref.name_, value, missingTeams);
}

leaf::result<void> checkObject(const ObjectRef &ref, const std::string &value)
{
    BOOST_LEAF_CHECK(parseObject(ref, value));
    return {};
}

namespace {

/// @return the fields that are common to a service object and a service of a catalogue.
Json serviceFields(const Service &service)
{
    return { { "keyed", service.keyed_ },
             { "division", toString(service.division_) },
             { "balancing", toString(service.balancing_) },
             { "health_path", service.healthPath_ },
             { "connections", service.connections_ },
             { "cold_ms", milliseconds(service.coldTime_) },
             { "cold_rate", service.coldRate_ } };
}

Json toJson(const Contract &contract, const std::vector<TeamKey> &keys)
{
    Json json { { "name", contract.team_.str() },
                { "rate_per_second", contract.isLimited_ ? contract.rate_ : 0 },
                { "burst", contract.burst_ },
                { "key_sha256", Json::array() } };
    if (contract.priority_)
        json["priority"] = *contract.priority_;
    for (const TeamKey &key : keys) {
        if (key.team_ == contract.team_)
            json["key_sha256"].push_back(key.sha256_);
    }
    return json;
}

} // namespace

std::string formatService(const Service &service)
{
    Json json = serviceFields(service);
    json["key_segment"] = service.keySegment_;
    json["shards"] = service.shardCount_;
    json["fencing"] = toString(service.fencing_);
    json["routes"] = Json::array();
    for (const Route &route : service.routes_)
        json["routes"].push_back(toJson(route));
    return json.dump();
}

std::string formatCatalogue(const Catalogue &catalogue)
{
    Json services = Json::array();
    for (const Service &service : catalogue.services_) {
        Json json = serviceFields(service);
        json["name"] = service.name_.str();
        services.push_back(std::move(json));
    }
    Json routes = Json::array();
    for (const Route &route : catalogue.routes_)
        routes.push_back(toJson(route));
    Json json { { "services", services },
                { "routes", routes },
                { "limits", toJson(catalogue.limits_) } };
    if (!catalogue.listsTeams_)
        return json.dump();
    json["teams"] = Json::array();
    for (const Contract &contract : catalogue.contracts_)
        json["teams"].push_back(toJson(contract, catalogue.keys_));
    return json.dump();
}

std::string formatEntryHost(const EntryHost &host)
{
    return Json({ { "incarnation", host.incarnation_.value_ },
                  { "zone", host.zone_.str() },
                  { "sibling", host.siblingAddress_.str() } })
        .dump();
}

std::string formatContract(const Contract &contract)
{
    return Json({ { "rate_per_second", contract.rate_ },
                  { "burst", contract.burst_ },
                  { "share", contract.share_ },
                  { "connections", contract.connections_ },
                  { "kinds", contract.kinds_ } })
        .dump();
}

std::string formatTeamKey(const TeamKey &key)
{
    return Json({ { "team", key.team_.str() }, { "sha256", key.sha256_ } }).dump();
}

std::string formatZone(const Zone &zone)
{
    return Json({ { "state", toString(zone.state_) }, { "ramp_ms", milliseconds(zone.ramp_) } })
        .dump();
}

std::string formatRollout(const Rollout &rollout)
{
    Json json { { "target", rollout.order_.target_ },
                { "duration_ms", milliseconds(rollout.order_.duration_) } };
    if (!rollout.id_.empty())
        json["id"] = rollout.id_;
    return json.dump();
}

std::string formatBackend(const Backend &backend)
{
    Json json({ { "service", backend.service_.str() },
                { "zone", backend.zone_.str() },
                { "address", backend.address_.str() },
                { "slots", backend.slots_ },
                { "connections", backend.connections_ },
                { "state", toString(backend.state_) },
                { "incarnation", backend.incarnation_.value_ },
                { "cold_ms", milliseconds(backend.coldFor_) } });
    // Hosts of an earlier release reject unknown fields.
    if (!backend.version_.empty())
        json["version"] = backend.version_;
    return json.dump();
}

std::string formatLostHost(const LostHost &host)
{
    return Json({ { "up_to_incarnation", host.upTo_.value_ } }).dump();
}

std::string formatHostList(const std::vector<ListedHost> &hosts)
{
    Json rows = Json::array();
    for (const ListedHost &host : hosts) {
        Json row { { "name", host.name_ },
                   { "kind", toString(host.kind_) },
                   { "state", toString(host.state_) },
                   { "zone", host.zone_.str() } };
        if (host.kind_ == HostKind::Entry)
            row["sibling"] = host.siblingAddress_.str();
        rows.push_back(row);
    }
    return Json({ { "hosts", rows } }).dump();
}

} // namespace pimentostage
