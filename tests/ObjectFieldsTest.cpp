#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;
using Path = Json::json_pointer;

constexpr TimePoint kStart { 1h };

/// A value with a field that makes it invalid.
struct BadField
{
    const char *path_;
    const char *value_; ///< JSON text
};

/// A valid value of one kind, with every field, and what is known of its fields.
struct KindRow
{
    ObjectKind kind_;
    const char *good_;
    std::set<std::string> required_; ///< paths that must not be missing; others have a default
    std::vector<BadField> outOfRange_;
};

/// @return one row for each ObjectKind, in its order.
const std::vector<KindRow> &kindRows()
{
    static const std::vector<KindRow> rows {
        { ObjectKind::Service,
          R"({"keyed":true,"division":"ordered","balancing":"round-robin","health_path":"/health",
              "connections":110,"cold_ms":3000,"cold_rate":6.6,"key_segment":1,"shards":8,
              "fencing":"checked","routes":[{"name":"r1","host":"","services":[{"name":"huts",
              "weight":2}],"method":"GET","attempts":3,"priority":1,"target_ms":500,"prefix":"/x/",
              "access":"open","idempotent":true,"kind":"read","weight":1,"timeout_ms":900}]})",
          { "/routes", "/routes/0/name", "/routes/0/services/0/name" },
          { { "/division", "\"odd\"" },
            { "/balancing", "\"odd\"" },
            { "/fencing", "\"odd\"" },
            { "/connections", "-1" },
            { "/connections", "1000001" },
            { "/cold_ms", "-1" },
            { "/cold_ms", "86400001" },
            { "/cold_rate", "-1" },
            { "/cold_rate", "1e10" },
            { "/key_segment", "17" },
            { "/shards", "0" },
            { "/shards", "65537" },
            { "/routes", "[]" },
            { "/routes/0/name", "\"\"" },
            { "/routes/0/attempts", "0" },
            { "/routes/0/attempts", "1000001" },
            { "/routes/0/priority", "-1" },
            { "/routes/0/target_ms", "86400001" },
            { "/routes/0/prefix", "\"x\"" },
            { "/routes/0/access", "\"odd\"" },
            { "/routes/0/route_kind", "\"safe\"" },
            { "/routes/0/weight", "0" },
            { "/routes/0/weight", "1001" },
            { "/routes/0/timeout_ms", "0" },
            { "/routes/0/timeout_ms", "86400001" },
            { "/routes/0/services/0/weight", "-1" },
            { "/odd", "1" },
            { "/routes/0/odd", "1" } } },
        { ObjectKind::Contract,
          R"({"rate_per_second":9,"burst":4,"share":2,"connections":7,"kinds":["read"]})",
          {},
          { { "/rate_per_second", "-1" },
            { "/rate_per_second", "1e10" },
            { "/burst", "0" },
            { "/share", "0" },
            { "/share", "1001" },
            { "/connections", "0" },
            { "/connections", "1000001" },
            { "/odd", "1" } } },
        { ObjectKind::TeamKey,
          R"({"team":"caxias",
              "sha256":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"})",
          { "/team", "/sha256" },
          { { "/team", "\"\"" }, { "/sha256", "\"0123\"" }, { "/odd", "1" } } },
        { ObjectKind::Zone,
          R"({"state":"out","ramp_ms":100})",
          {},
          { { "/state", "\"odd\"" },
            { "/ramp_ms", "-1" },
            { "/ramp_ms", "3600001" },
            { "/odd", "1" } } },
        { ObjectKind::Backend,
          R"({"service":"huts","zone":"north","address":"10.0.0.1:80","slots":6,"connections":110,
              "state":"ready","incarnation":17,"cold_ms":5,"version":"v1"})",
          { "/service", "/zone", "/address" },
          { { "/service", "\"\"" },
            { "/zone", "\"\"" },
            { "/address", "\"10.0.0.1:0\"" },
            { "/address", "\"10.0.0.1:65536\"" },
            { "/slots", "0" },
            { "/slots", "1000001" },
            { "/connections", "0" },
            { "/state", "\"odd\"" },
            { "/incarnation", "-1" },
            { "/incarnation", "1.5" },
            { "/cold_ms", "-1" },
            { "/cold_ms", "86400001" },
            { "/odd", "1" } } },
        { ObjectKind::LostHost,
          R"({"up_to_incarnation":17})",
          { "/up_to_incarnation" },
          { { "/up_to_incarnation", "-1" }, { "/up_to_incarnation", "1.5" }, { "/odd", "1" } } },
        { ObjectKind::Role,
          R"({"epoch":4,"holder":"a","incarnation":17,"members":[{"host":"b","incarnation":3}],
              "predecessors":[{"epoch":3,"holder":"c","incarnation":5,
              "members":[{"host":"d","incarnation":6}]}],"generation":1,"nonce":"n",
              "released":true})",
          { "/epoch", "/holder", "/incarnation", "/members/0/host", "/members/0/incarnation",
            "/predecessors/0/epoch", "/predecessors/0/holder", "/predecessors/0/incarnation",
            "/predecessors/0/members/0/host", "/predecessors/0/members/0/incarnation" },
          { { "/epoch", "-1" },
            { "/holder", "\"\"" },
            { "/incarnation", "-1" },
            { "/generation", "-1" },
            { "/members/0/host", "\"\"" },
            { "/members/0/incarnation", "-1" },
            { "/predecessors/0/epoch", "-1" },
            { "/predecessors/0/holder", "\"\"" },
            { "/odd", "1" } } },
        { ObjectKind::Placement,
          R"({"epoch":4,"role_epoch":2,"nonce":"n","backends":["a","b"],"shards":[[0,3],[1,4]],
              "hot_keys":[["k",[1,4]],["l",[0,3]]],"routers":[{"host":"h","incarnation":1}]})",
          { "/epoch", "/role_epoch", "/backends", "/shards", "/routers/0/host",
            "/routers/0/incarnation" },
          { { "/epoch", "3" },
            { "/role_epoch", "-1" },
            { "/shards", "[]" },
            { "/shards/0/0", "2" },
            { "/shards/0/0", "-1" },
            { "/shards/1/1", "5" },
            { "/hot_keys/0/0", "\"m\"" },
            { "/hot_keys/0/1/0", "2" },
            { "/hot_keys/0/1/1", "5" },
            { "/odd", "1" } } },
        { ObjectKind::Catalogue,
          R"({"services":[{"name":"huts","keyed":true,"division":"ordered",
              "balancing":"expected-time","health_path":"/health","connections":110,"cold_ms":3000,
              "cold_rate":6.6}],"routes":[{"name":"r1","host":"a.example",
              "services":[{"name":"huts","weight":90}],"method":"GET","attempts":2,"priority":2,
              "target_ms":500,"prefix":"/x/","access":"team","route_kind":"download","kind":"r1",
              "weight":1,"timeout_ms":1000}],"teams":[{"name":"caxias","rate_per_second":81,
              "burst":40,"priority":1,"key_sha256":["ab"]}],"limits":{"header_bytes":16384,
              "body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})",
          { "/services", "/routes", "/teams", "/services/0/name", "/routes/0/name",
            "/routes/0/services", "/routes/0/services/0/name", "/teams/0/name" },
          { { "/services/0/name", "\"\"" },
            { "/services/0/division", "\"odd\"" },
            { "/services/0/balancing", "\"odd\"" },
            { "/services/0/connections", "-1" },
            { "/services/0/cold_ms", "-1" },
            { "/services/0/cold_rate", "-1" },
            { "/routes/0/services", "[]" },
            { "/routes/0/attempts", "0" },
            { "/routes/0/priority", "1000001" },
            { "/routes/0/target_ms", "-1" },
            { "/routes/0/timeout_ms", "0" },
            { "/routes/0/prefix", "\"x\"" },
            { "/routes/0/access", "\"odd\"" },
            { "/routes/0/route_kind", "\"odd\"" },
            { "/routes/0/idempotent", "false" },
            { "/teams/0/name", "\"\"" },
            { "/teams/0/rate_per_second", "-1" },
            { "/teams/0/burst", "-1" },
            { "/teams/0/priority", "1000001" },
            { "/limits/header_bytes", "0" },
            { "/limits/header_bytes", "1e13" },
            { "/limits/body_bytes", "-1" },
            { "/limits/body_bytes", "1e13" },
            { "/limits/header_timeout_ms", "0" },
            { "/limits/idle_timeout_ms", "86400001" },
            { "/limits/odd", "1" },
            { "/odd", "1" },
            { "/teams/0/odd", "1" } } },
        { ObjectKind::RangePlacement,
          R"({"epoch":4,"role_epoch":2,"generation":1,"nonce":"n","processes":[["a",1],["b",2]],
              "ranges":[[0,99,0,3,-1],[100,65535,1,4,0]]})",
          { "/epoch", "/role_epoch", "/processes", "/ranges" },
          { { "/epoch", "3" },
            { "/role_epoch", "-1" },
            { "/generation", "-1" },
            { "/processes/0/1", "-1" },
            { "/ranges", "[]" },
            { "/ranges/0/0", "1" },
            { "/ranges/0/1", "98" },
            { "/ranges/1/1", "65536" },
            { "/ranges/1/1", "65534" },
            { "/ranges/0/2", "2" },
            { "/ranges/0/3", "-1" },
            { "/ranges/1/3", "5" },
            { "/ranges/1/4", "-2" },
            { "/odd", "1" } } },
        { ObjectKind::EntryHost,
          R"({"incarnation":17,"zone":"north","sibling":"10.0.0.1:7100"})",
          { "/incarnation", "/zone", "/sibling" },
          { { "/incarnation", "-1" },
            { "/zone", "\"\"" },
            { "/sibling", "\"10.0.0.1\"" },
            { "/sibling", "\"10.0.0.1:0\"" },
            { "/odd", "1" } } },
        { ObjectKind::Rollout,
          R"({"target":"v2","duration_ms":12000,"id":"c-1"})",
          { "/target" },
          { { "/target", "\"\"" },
            { "/duration_ms", "999" },
            { "/duration_ms", "86400001" },
            { "/odd", "1" } } },
        { ObjectKind::RolloutState,
          R"({"phase":"switching","target":"v2","duration_ms":12000,"id":"c-1","ordered_at":7,
              "current":"v1","share":0.25,"elapsed_ms":400,"role_epoch":3,"reported":true})",
          { "/phase", "/target", "/ordered_at", "/role_epoch" },
          { { "/phase", "\"odd\"" },
            { "/target", "\"\"" },
            { "/duration_ms", "-1" },
            { "/ordered_at", "-1" },
            { "/share", "1.5" },
            { "/share", "-0.1" },
            { "/elapsed_ms", "-1" },
            { "/role_epoch", "-1" },
            { "/odd", "1" } } },
    };
    return rows;
}

/// Calls @p visit for the path of each value within @p json, but not for @p json itself.
void forEachPath(const Json &json, const Path &path, const std::function<void(const Path &)> &visit)
{
    if (!path.empty())
        visit(path);
    if (json.is_object()) {
        for (const auto &item : json.items())
            forEachPath(item.value(), path / item.key(), visit);
    } else if (json.is_array()) {
        for (std::size_t i = 0; i < json.size(); ++i)
            forEachPath(json[i], path / i, visit);
    }
}

void removeAt(Json &json, const Path &path)
{
    Json &parent = json[path.parent_pointer()];
    if (parent.is_object())
        parent.erase(path.back());
    else
        parent.erase(static_cast<std::size_t>(std::stoul(path.back())));
}

ObjectRef refOf(ObjectKind kind)
{
    return { kind, kind == ObjectKind::Catalogue ? "main" : "x" };
}

StoredObject objectOf(ObjectKind kind, std::uint64_t version, const std::string &value)
{
    return StoredObject { refOf(kind), Version { version }, false, value };
}

/// @return all that @p configuration holds, as text.
std::string textOf(const Configuration &configuration)
{
    std::string text;
    const auto add = [&](const std::string &name, const std::string &value) {
        text += name + ' ' + value + '\n';
    };
    for (const auto &[name, row] : configuration.services_)
        add(name.str(), formatService(row));
    for (const auto &[name, row] : configuration.contracts_) {
        add(name.str(), formatContract(row));
        add("limited", std::to_string(row.isLimited_));
        add("priority", row.priority_ ? std::to_string(*row.priority_) : "");
    }
    std::set<std::string> keys;
    for (const auto &[hash, key] : configuration.keysByHash_)
        keys.insert(hash + key.name_ + formatTeamKey(key));
    for (const std::string &key : keys)
        add("key", key);
    for (const auto &[name, row] : configuration.zones_)
        add(name.str(), formatZone(row));
    for (const auto &[name, row] : configuration.backends_)
        add(name.str(), formatBackend(row));
    for (const auto &[name, row] : configuration.lostHosts_)
        add(name.str(), formatLostHost(row));
    for (const auto &[name, row] : configuration.roles_)
        add(name.str(), formatRoleRecord(row));
    for (const auto &[name, row] : configuration.placements_)
        add(name.str(), formatPlacement(*row));
    for (const auto &[name, row] : configuration.ranges_)
        add(name.str(), formatRangePlacement(*row));
    for (const auto &[name, row] : configuration.entryHosts_)
        add(name.str(), formatEntryHost(row));
    for (const auto &[name, row] : configuration.rollouts_)
        add(name.str(), formatRollout(row));
    for (const auto &[name, row] : configuration.rolloutStates_)
        add(name.str(), formatRolloutState(row));
    std::map<std::string, std::vector<Route>> hosts { configuration.virtualHosts_->begin(),
                                                      configuration.virtualHosts_->end() };
    for (const auto &[host, routes] : hosts)
        add(host, formatCatalogue(Catalogue { {}, routes, {}, {}, true, {} }));
    if (configuration.callerLimits_ != CallerLimits {})
        add("limits",
            formatCatalogue(Catalogue { {}, {}, {}, {}, true, configuration.callerLimits_ }));
    return text;
}

/// @return what is in force at a host that received nothing but @p object.
std::string textOfOnly(const StoredObject &object)
{
    ConfigState state;
    EXPECT_EQ(state.apply(object), ApplyResult::Applied) << object.value_;
    return textOf(*state.configuration());
}

/// Checks that @p bad is rejected whole: after a good version, which stays in force, and as the
/// first version of all.
void expectRejected(const KindRow &row, const std::string &bad, const std::string &what)
{
    const StoredObject good = objectOf(row.kind_, 5, row.good_);
    ConfigState state;
    ASSERT_EQ(state.apply(good), ApplyResult::Applied) << what;
    const std::string inForce = textOf(*state.configuration());
    std::string error;
    EXPECT_EQ(state.apply(objectOf(row.kind_, 6, bad), &error), ApplyResult::Rejected) << what;
    EXPECT_NE(error.find(refOf(row.kind_).str()), std::string::npos) << what << ": " << error;
    EXPECT_EQ(textOf(*state.configuration()), inForce) << what;
    EXPECT_EQ(state.versionOf(refOf(row.kind_)), Version { 5 }) << what;
    ASSERT_EQ(state.rejected().size(), 1U) << what;
    EXPECT_EQ(state.rejected().begin()->second.version_, Version { 6 }) << what;
    EXPECT_EQ(state.rejected().begin()->second.reason_, error) << what;
    state.confirm(kStart);
    EXPECT_FALSE(state.age(kStart)) << what;
    ConfigState first;
    EXPECT_EQ(first.apply(objectOf(row.kind_, 6, bad)), ApplyResult::Rejected) << what;
    EXPECT_EQ(textOf(*first.configuration()), "") << what;
    EXPECT_FALSE(first.configuration()->hasCatalogue_) << what;
    first.confirm(kStart);
    EXPECT_FALSE(first.age(kStart)) << what;
}

std::string nameOf(const KindRow &row, const std::string &path)
{
    return std::string(toString(row.kind_)) + path;
}

// Guards against a kind without a row here.
TEST(ObjectFields, TheTableHasEachKind)
{
    ASSERT_EQ(kindRows().size(), kEnumCount<ObjectKind>);
    for (std::size_t i = 0; i < kindRows().size(); ++i) {
        const KindRow &row = kindRows()[i];
        EXPECT_EQ(static_cast<std::size_t>(row.kind_), i);
        EXPECT_NE(textOfOnly(objectOf(row.kind_, 5, row.good_)), "");
    }
}

// Guards against a version in force that lacks what it needs, and against a version that is refused
// although only fields with a default are missing.
TEST(ObjectFields, MissingOnesAreRejectedIfTheyAreRequired)
{
    for (const KindRow &row : kindRows()) {
        const Json good = Json::parse(row.good_);
        std::set<std::string> seen;
        forEachPath(good, Path(), [&](const Path &path) {
            if (!good[path.parent_pointer()].is_object())
                return;
            Json changed = good;
            removeAt(changed, path);
            const std::string name = path.to_string();
            if (row.required_.contains(name)) {
                seen.insert(name);
                expectRejected(row, changed.dump(), nameOf(row, name));
                return;
            }
            ConfigState state;
            EXPECT_EQ(state.apply(objectOf(row.kind_, 5, changed.dump())), ApplyResult::Applied)
                << nameOf(row, name);
        });
        EXPECT_EQ(seen, row.required_) << toString(row.kind_);
    }
}

// Guards against a default in force in place of a field that cannot be read.
TEST(ObjectFields, OfAWrongTypeAreRejected)
{
    const Json others[] { Json::object({ { "x", 1 } }), Json::array(), true, 7.5, "text", Json() };
    for (const KindRow &row : kindRows()) {
        const Json good = Json::parse(row.good_);
        forEachPath(good, Path(), [&](const Path &path) {
            for (const Json &other : others) {
                const bool isSameType = other.type() == good[path].type()
                                        || (other.is_number() && good[path].is_number());
                if (isSameType)
                    continue;
                Json changed = good;
                changed[path] = other;
                expectRejected(row, changed.dump(),
                               nameOf(row, path.to_string()) + " = " + other.dump());
            }
        });
        for (const char *value : { "", "7", "[]", "null", "{", "\"text\"", "1e999" })
            expectRejected(row, value, nameOf(row, " = ") + value);
    }
}

// Guards against a limit, a time or an index in force that no writer may set.
TEST(ObjectFields, OutOfRangeAreRejected)
{
    for (const KindRow &row : kindRows()) {
        for (const BadField &field : row.outOfRange_) {
            Json changed = Json::parse(row.good_);
            changed[Path(field.path_)] = Json::parse(field.value_);
            expectRejected(row, changed.dump(), nameOf(row, field.path_) + " = " + field.value_);
        }
    }
}

// Guards against a valid version that is rejected for its size: the store has accepted it, perhaps
// in a shorter form than this project's (incident DENIED). An invalid one stays out at any size.
TEST(ObjectFields, OfALargeObjectAreAppliedIfTheyAreValid)
{
    for (const KindRow &row : kindRows()) {
        Json large = Json::parse(row.good_);
        large[kChangeIdField] = std::string(2 * kMaxObjectBytes, 'x');
        ConfigState state;
        EXPECT_EQ(state.apply(objectOf(row.kind_, 5, large.dump())), ApplyResult::Applied)
            << nameOf(row, " large");
        EXPECT_EQ(textOf(*state.configuration()), textOfOnly(objectOf(row.kind_, 5, row.good_)))
            << nameOf(row, " large");
        if (row.outOfRange_.empty())
            continue;
        const BadField &field = row.outOfRange_.front();
        large[Path(field.path_)] = Json::parse(field.value_);
        expectRejected(row, large.dump(), nameOf(row, " large, with ") + field.path_);
    }
}

Json arbitraryLeaf()
{
    static const std::array<Json, 12> kLeaves {
        Json(),       Json(true),   Json(0),     Json(-1),      Json(7.5),      Json(1e300),
        Json(65'536), Json("text"), Json("out"), Json::array(), Json::object(), Json("ready"),
    };
    return kLeaves[*rc::gen::inRange<std::size_t>(0, kLeaves.size())];
}

/// @return @p value with one of its parts changed, removed or repeated, or with one byte changed.
std::string mutated(const std::string &value)
{
    Json json = Json::parse(value, nullptr, false);
    std::vector<Path> paths;
    if (!json.is_discarded())
        forEachPath(json, Path(), [&](const Path &path) { paths.push_back(path); });
    const int choice = paths.empty() ? 3 : *rc::gen::inRange(0, 4);
    if (choice == 3) {
        std::string bytes = value.empty() ? "{}" : value;
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())]
            = static_cast<char>(*rc::gen::inRange(1, 128));
        return bytes;
    }
    const Path path = paths[*rc::gen::inRange<std::size_t>(0, paths.size())];
    const Path other = paths[*rc::gen::inRange<std::size_t>(0, paths.size())];
    if (choice == 0)
        removeAt(json, path);
    else
        json[path] = choice == 1 ? arbitraryLeaf() : Json(json[other]);
    return json.dump();
}

} // namespace

// Guards against a mixture of two versions in force, against an invalid version in force, and
// against a confirmation of a version that was not applied: what is in force is always some whole
// version that was accepted.
RC_GTEST_PROP(ObjectFieldsProperty, InForceIsAlwaysSomeWholeAcceptedVersion, ())
{
    const KindRow &row = kindRows()[*rc::gen::inRange<std::size_t>(0, kindRows().size())];
    ConfigState state;
    std::string inForce;
    std::uint64_t accepted = 0;
    std::uint64_t newest = 0;
    std::uint64_t rejections = 0;
    std::string value = row.good_;
    TimePoint now = kStart;
    std::optional<TimePoint> confirmedAt;
    const int steps = *rc::gen::inRange(1, 12);
    for (int step = 0; step < steps; ++step) {
        // Often from the original, so that not all later values are invalid.
        const std::string base = *rc::gen::arbitrary<bool>() ? value : std::string(row.good_);
        value = *rc::gen::inRange(0, 4) == 0 ? std::string(row.good_) : mutated(base);
        const std::uint64_t version = newest + *rc::gen::inRange<std::uint64_t>(0, 3);
        const StoredObject object = objectOf(row.kind_, std::max<std::uint64_t>(version, 1), value);
        const ApplyResult result = state.apply(object);
        if (result == ApplyResult::Applied) {
            RC_ASSERT(object.version_.value_ > accepted);
            accepted = object.version_.value_;
            inForce = textOfOnly(object);
        }
        if (result == ApplyResult::Rejected) {
            RC_ASSERT(object.version_.value_ > accepted);
            ++rejections;
        }
        newest = std::max(newest, object.version_.value_);
        RC_ASSERT(textOf(*state.configuration()) == inForce);
        RC_ASSERT(state.versionOf(object.ref_) == Version { accepted });
        RC_ASSERT(state.rejected().empty() == (accepted == newest));
        RC_ASSERT(state.rejections() == rejections);
        now += 1s;
        state.confirm(now);
        if (accepted == newest)
            confirmedAt = now;
        RC_ASSERT(state.age(now)
                  == (confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt));
    }
}
