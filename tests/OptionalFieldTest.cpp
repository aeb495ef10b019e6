#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "platform/StoreWire.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pimentostage;
namespace wire = pimentostage::platform;

namespace {

using Json = nlohmann::json;
using Path = Json::json_pointer;

/// What is in force once a catalogue was applied, as this project writes it; nothing if it was
/// rejected.
std::optional<Json> inForce(const StoredObject &object)
{
    ConfigState state;
    if (state.apply(object) != ApplyResult::Applied)
        return std::nullopt;
    return valueOr(
        [&]() -> leaf::result<std::optional<Json>> {
            BOOST_LEAF_AUTO(catalogue, parseCatalogue("main", object.value_));
            return std::optional(Json::parse(formatCatalogue(catalogue)));
        },
        [](const Error &) { return std::optional<Json>(); });
}

/// @param spec a catalogue in this project's own form.
std::optional<Json> ownResult(const Json &spec)
{
    return inForce({ { ObjectKind::Catalogue, "main" }, Version { 5 }, false, spec.dump() });
}

/// @param spec a catalogue in the platform's form.
std::optional<Json> platformResult(const Json &spec)
{
    const Json event { { "Deleted", false },
                       { "Object",
                         { { "Metadata", { { "Name", "main" }, { "Revision", 5 } } },
                           { "Spec", spec } } } };
    const auto events = wire::parseEvents(
        "config", Json({ { "events", Json::array({ event }) }, { "AsOf", 7 } }).dump());
    return inForce(events.value().objects_.at(0));
}

const Json kOwn = Json::parse(R"({"services":[{"name":"huts","keyed":true,"division":"ordered",
    "balancing":"round-robin","health_path":"/h","connections":9,"cold_ms":3000,"cold_rate":6.5}],
    "routes":[{"name":"r1","host":"a.example","services":[{"name":"huts","weight":2}],
    "method":"GET","prefix":"/x/","access":"open","route_kind":"safe","kind":"read","weight":3,
    "attempts":2,"priority":4,"target_ms":500,"timeout_ms":900}],
    "teams":[{"name":"caxias","rate_per_second":81,"burst":40,"priority":1,"key_sha256":["ab"]}],
    "limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,
    "idle_timeout_ms":15000}})");

const Json kPlatform = Json::parse(R"({"Version":7,"Services":[{"Name":"huts",
    "HealthCheckPath":"/h","MaxConnections":9,"Sharded":true,"WarmupS":3.0,"WarmupPerS":6.5}],
    "VirtualHosts":[{"Host":"a.example","Paths":[{"Name":"r1","PathPrefix":"/x/",
    "RouteType":"safe","TimeoutMs":900,"TargetLatencyMs":500,"Priority":4,"MaxAttempts":2,
    "Public":true,"WeightedClusters":[{"Service":"huts","Weight":2}]}]}],
    "Tenants":[{"Name":"caxias","RatePerS":81,"Burst":40,"Priority":1,"ApiKeys":["secret"]}],
    "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,
    "IdleTimeoutMs":15000}})");

/// Expected result of a value in place of a field.
enum class Expected {
    Rejected, ///< the catalogue as a whole
    Default, ///< as if the field were missing
    Accepted, ///< as a value of its own
};

/// One optional field: the value that stands for it when it is missing, and what its null and empty
/// values give. Empty is "" for text, [] for a list, {} for an object; other types have none.
struct FieldRow
{
    const char *path_; ///< of the field
    const char *result_; ///< of what it sets, in this project's own form
    const char *missing_; ///< JSON text of what a missing field sets; empty if it sets nothing
    Expected null_;
    std::optional<Json> empty_;
    Expected emptyResult_ = Expected::Rejected;
};

const FieldRow kOwnFields[] = {
    { "/services/0/keyed", "/services/0/keyed", "false", Expected::Rejected, {} },
    { "/services/0/division", "/services/0/division", R"("hashed")", Expected::Rejected, Json("") },
    { "/services/0/balancing", "/services/0/balancing", R"("lowest-cost")", Expected::Rejected,
      Json("") },
    { "/services/0/health_path", "/services/0/health_path", R"("")", Expected::Rejected, Json(""),
      Expected::Default },
    { "/services/0/connections", "/services/0/connections", "0", Expected::Rejected, {} },
    { "/services/0/cold_ms", "/services/0/cold_ms", "0.0", Expected::Rejected, {} },
    { "/services/0/cold_rate", "/services/0/cold_rate", "0.0", Expected::Rejected, {} },
    { "/routes/0/services/0/weight", "/routes/0/services/0/weight", "1.0", Expected::Rejected, {} },
    { "/routes/0/method", "/routes/0/method", R"("")", Expected::Rejected, Json(""),
      Expected::Default },
    { "/routes/0/prefix", "/routes/0/prefix", R"("/")", Expected::Rejected, Json("") },
    { "/routes/0/access", "/routes/0/access", R"("team")", Expected::Rejected, Json("") },
    { "/routes/0/route_kind", "/routes/0/route_kind", R"("unsafe")", Expected::Rejected, Json("") },
    { "/routes/0/kind", "/routes/0/kind", R"("r1")", Expected::Rejected, Json(""),
      Expected::Accepted },
    { "/routes/0/weight", "/routes/0/weight", "1.0", Expected::Rejected, {} },
    { "/routes/0/attempts", "/routes/0/attempts", "3", Expected::Rejected, {} },
    { "/routes/0/priority", "/routes/0/priority", "0", Expected::Rejected, {} },
    { "/routes/0/target_ms", "/routes/0/target_ms", "0.0", Expected::Rejected, {} },
    { "/routes/0/timeout_ms", "/routes/0/timeout_ms", "2000.0", Expected::Rejected, {} },
    { "/teams", "/teams", "", Expected::Default, Json::array(), Expected::Accepted },
    { "/teams/0/rate_per_second", "/teams/0/rate_per_second", "0.0", Expected::Rejected, {} },
    { "/teams/0/burst", "/teams/0/burst", "81.0", Expected::Rejected, {} },
    { "/teams/0/priority", "/teams/0/priority", "", Expected::Rejected, {} },
    { "/teams/0/key_sha256", "/teams/0/key_sha256", "[]", Expected::Rejected, Json::array(),
      Expected::Default },
    { "/limits", "/limits", "{}", Expected::Rejected, Json::object(), Expected::Default },
    { "/limits/header_bytes", "/limits/header_bytes", "", Expected::Rejected, {} },
    { "/limits/body_bytes", "/limits/body_bytes", "", Expected::Rejected, {} },
    { "/limits/header_timeout_ms", "/limits/header_timeout_ms", "", Expected::Rejected, {} },
    { "/limits/idle_timeout_ms", "/limits/idle_timeout_ms", "", Expected::Rejected, {} },
};

// On the platform, null always means the same as a missing field.
const FieldRow kPlatformFields[] = {
    { "/Services/0/HealthCheckPath", "/services/0/health_path", R"("")", Expected::Default,
      Json(""), Expected::Default },
    { "/Services/0/MaxConnections", "/services/0/connections", "0", Expected::Default, {} },
    { "/Services/0/Sharded", "/services/0/keyed", "false", Expected::Default, {} },
    { "/Services/0/WarmupS", "/services/0/cold_ms", "0.0", Expected::Default, {} },
    { "/Services/0/WarmupPerS", "/services/0/cold_rate", "0.0", Expected::Default, {} },
    { "/VirtualHosts/0/Paths/0/RouteType", "/routes/0/route_kind", R"("unsafe")", Expected::Default,
      Json(""), Expected::Default },
    { "/VirtualHosts/0/Paths/0/TargetLatencyMs",
      "/routes/0/target_ms",
      "0.0",
      Expected::Default,
      {} },
    { "/VirtualHosts/0/Paths/0/Priority", "/routes/0/priority", "0", Expected::Default, {} },
    { "/VirtualHosts/0/Paths/0/MaxAttempts", "/routes/0/attempts", "1", Expected::Default, {} },
    { "/VirtualHosts/0/Paths/0/Public", "/routes/0/access", R"("team")", Expected::Default, {} },
    { "/VirtualHosts/0/Paths/0/WeightedClusters/0/Weight",
      "/routes/0/services/0/weight",
      "1.0",
      Expected::Default,
      {} },
    { "/Tenants", "/teams", "", Expected::Default, Json::array(), Expected::Accepted },
    { "/Tenants/0/RatePerS", "/teams/0/rate_per_second", "0.0", Expected::Default, {} },
    { "/Tenants/0/Burst", "/teams/0/burst", "0.0", Expected::Default, {} },
    { "/Tenants/0/Priority", "/teams/0/priority", "", Expected::Default, {} },
    { "/Tenants/0/ApiKeys", "/teams/0/key_sha256", "[]", Expected::Default, Json::array(),
      Expected::Default },
    { "/Limits", "/limits", "{}", Expected::Default, Json::object(), Expected::Default },
    { "/Limits/MaxHeaderBytes", "/limits/header_bytes", "", Expected::Default, {} },
    { "/Limits/MaxBodyBytes", "/limits/body_bytes", "", Expected::Default, {} },
    { "/Limits/HeaderTimeoutMs", "/limits/header_timeout_ms", "", Expected::Default, {} },
    { "/Limits/IdleTimeoutMs", "/limits/idle_timeout_ms", "", Expected::Default, {} },
};

using Result = std::optional<Json> (*)(const Json &);

/// The rows of one interface, with a catalogue that states each field.
struct InterfaceRow
{
    const char *name_;
    const Json &full_;
    Result result_;
    const FieldRow *begin_;
    const FieldRow *end_;
    std::set<std::string> required_; ///< paths of the other fields
};

const InterfaceRow kInterfaces[] = {
    { "own",
      kOwn,
      &ownResult,
      std::begin(kOwnFields),
      std::end(kOwnFields),
      { "/services", "/services/0/name", "/routes", "/routes/0/name", "/routes/0/host",
        "/routes/0/services", "/routes/0/services/0/name", "/teams/0/name" } },
    // Version orders the platform's catalogues and is no part of their content.
    { "platform",
      kPlatform,
      &platformResult,
      std::begin(kPlatformFields),
      std::end(kPlatformFields),
      { "/Version", "/Services", "/Services/0/Name", "/VirtualHosts", "/VirtualHosts/0/Host",
        "/VirtualHosts/0/Paths", "/VirtualHosts/0/Paths/0/Name",
        "/VirtualHosts/0/Paths/0/PathPrefix", "/VirtualHosts/0/Paths/0/TimeoutMs",
        "/VirtualHosts/0/Paths/0/WeightedClusters",
        "/VirtualHosts/0/Paths/0/WeightedClusters/0/Service", "/Tenants/0/Name" } },
};

Json without(Json spec, const std::string &path)
{
    const Path pointer(path);
    spec[pointer.parent_pointer()].erase(pointer.back());
    return spec;
}

Json with(Json spec, const std::string &path, const Json &value)
{
    spec[Path(path)] = value;
    return spec;
}

std::string textOf(const std::optional<Json> &result)
{
    return result ? result->dump() : "rejected";
}

template <typename Visit>
void forEachField(const Visit &visit)
{
    for (const InterfaceRow &interface : kInterfaces) {
        for (const FieldRow *field = interface.begin_; field != interface.end_; ++field)
            visit(interface, *field, std::string(interface.name_) + field->path_);
    }
}

void expectResult(Expected expected, const InterfaceRow &interface, const FieldRow &field,
                  const Json &value, const std::string &what)
{
    const auto missing = interface.result_(without(interface.full_, field.path_));
    const auto result = interface.result_(with(interface.full_, field.path_, value));
    EXPECT_EQ(result.has_value(), expected != Expected::Rejected) << what << " = " << value.dump();
    if (expected == Expected::Default) {
        EXPECT_EQ(textOf(result), textOf(missing)) << what << " = " << value.dump();
    }
    if (expected == Expected::Accepted) {
        EXPECT_NE(textOf(result), textOf(missing)) << what << " = " << value.dump();
    }
}

} // namespace

// Guards against a field that no row of the tables covers.
TEST(OptionalField, TheTablesHaveEachField)
{
    for (const InterfaceRow &interface : kInterfaces) {
        std::set<std::string> covered = interface.required_;
        for (const FieldRow *field = interface.begin_; field != interface.end_; ++field)
            covered.insert(field->path_);
        const Json flat = interface.full_.flatten();
        for (const auto &[path, value] : flat.items()) {
            for (Path part(path); !part.empty(); part.pop_back()) {
                const bool isField = interface.full_[part.parent_pointer()].is_object();
                EXPECT_TRUE(!isField || covered.contains(part.to_string()))
                    << interface.name_ << part.to_string();
            }
        }
        EXPECT_TRUE(interface.result_(interface.full_)) << interface.name_;
    }
}

// Guards against a catalogue that is rejected for an optional field that is missing, and against
// another default than the documented one.
TEST(OptionalField, MissingHasItsDefault)
{
    forEachField([](const InterfaceRow &interface, const FieldRow &field, const std::string &what) {
        const auto result = interface.result_(without(interface.full_, field.path_));
        ASSERT_TRUE(result) << what;
        const Path path(field.result_);
        const std::string expected = field.missing_;
        ASSERT_EQ(result->contains(path), !expected.empty()) << what << ": " << result->dump();
        if (!expected.empty()) {
            EXPECT_EQ((*result)[path], Json::parse(expected)) << what;
        }
    });
}

// Guards against a null that is taken for a value, or that rejects a catalogue of the platform.
TEST(OptionalField, NullHasTheExpectedResult)
{
    forEachField([](const InterfaceRow &interface, const FieldRow &field, const std::string &what) {
        expectResult(field.null_, interface, field, Json(), what);
    });
}

// Guards against an empty value that is taken for another one: an empty list of teams is a list.
TEST(OptionalField, EmptyHasTheExpectedResult)
{
    forEachField([](const InterfaceRow &interface, const FieldRow &field, const std::string &what) {
        if (field.empty_)
            expectResult(field.emptyResult_, interface, field, *field.empty_, what);
    });
}

// Guards against a default in force in place of a value that cannot be read.
TEST(OptionalField, OfAWrongTypeRejectsTheCatalogue)
{
    const Json others[] { Json::object({ { "x", 1 } }), Json::array({ 7 }), true, 7.5, "text" };
    forEachField(
        [&](const InterfaceRow &interface, const FieldRow &field, const std::string &what) {
            const Json &good = interface.full_[Path(field.path_)];
            for (const Json &other : others) {
                const bool isSameType
                    = other.type() == good.type() || (other.is_number() && good.is_number());
                if (!isSameType)
                    expectResult(Expected::Rejected, interface, field, other, what);
            }
        });
}
