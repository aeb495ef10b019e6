#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "platform/StoreWire.h"
#include "src/base/EventLoop.h"

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;
namespace wire = pimentostage::platform;

namespace {

const char *const kBackends = "servers";
constexpr std::size_t kDepth = 100'000;

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::string nestedArrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nestedObjects(std::size_t depth)
{
    return repeated("{\"a\":", depth) + "1" + std::string(depth, '}');
}

/// @return an entry's value in which @p field has the text @p value.
std::string specWith(const std::string &field, const std::string &value)
{
    std::string spec = "{";
    for (const auto &[name, usual] :
         std::vector<std::pair<std::string, std::string>> { { "Service", R"("huts")" },
                                                            { "Address", R"("10.1.0.2:80")" },
                                                            { "Zone", R"("north")" },
                                                            { "MaxConcurrency", "6" },
                                                            { "State", R"("ready")" },
                                                            { "WarmupLeftMs", "0" },
                                                            { "Sequence", "4" },
                                                            { "born", "1700" } })
        spec += '"' + name + "\":" + (name == field ? value : usual) + ',';
    spec.back() = '}';
    return spec;
}

std::string usualSpec()
{
    return specWith("", "");
}

/// Values of an entry that name no back end to use.
const std::vector<std::string> &oddSpecs()
{
    static const std::vector<std::string> specs {
        specWith("MaxConcurrency", "1e999"),
        specWith("Sequence", "-1e400"),
        specWith("MaxConcurrency", "NaN"),
        specWith("WarmupLeftMs", "Infinity"),
        specWith("MaxConcurrency", "1e18"),
        specWith("MaxConcurrency", "4294967302"),
        specWith("MaxConcurrency", "-3"),
        specWith("WarmupLeftMs", "1e300"),
        specWith("WarmupLeftMs", "-1e300"),
        specWith("born", "-1"),
        specWith("born", "1e30"),
        specWith("born", "99999999999999999999999"),
        specWith("born", "1.5"),
        specWith("Address", R"("10.1.0.2:65536")"),
        specWith("Address", R"("10.1.0.2:0")"),
        specWith("Address", R"("10.1.0.2:-1")"),
        specWith("Address", R"("10.1.0.2:99999999999999999999")"),
        specWith("Address", R"(["10.1.0.2:80"])"),
        specWith("Service", "\"\xff\xfe\""),
        specWith("Service", R"("\ud800")"),
        specWith("Service", "\"a\x01"
                            "b\""),
        specWith("State", R"("odd")"),
        specWith("Zone", nestedArrays(3000)),
        specWith("Zone", nestedObjects(3000)),
        usualSpec() + " trailing",
        nestedArrays(kDepth),
        nestedObjects(kDepth),
        "null",
        "[}",
        "{]",
        "1e999",
        R"("text")",
    };
    return specs;
}

std::string item(const std::string &name, const std::string &spec)
{
    return R"({"Metadata":{"Name":")" + name + R"(","Revision":7,"Finalizers":[]},"Spec":)" + spec
           + R"(,"Status":{}})";
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string result;
    for (const std::string &text : texts)
        result += (result.empty() ? "" : ",") + text;
    return result;
}

std::string pageOf(const std::vector<std::string> &items)
{
    return R"({"items":[)" + joined(items) + R"(],"HasMore":false,"AsOf":9})";
}

std::string eventsOf(const std::vector<std::string> &items)
{
    std::vector<std::string> events;
    events.reserve(items.size());
    for (const std::string &object : items)
        events.push_back(R"({"Object":)" + object + R"(,"Deleted":false})");
    return R"({"events":[)" + joined(events) + R"(],"AsOf":9})";
}

/// @return the names of the objects that a host would use.
std::set<std::string> usableNames(const std::vector<StoredObject> &objects)
{
    std::set<std::string> names;
    for (const StoredObject &object : objects) {
        const bool isValid = valueOr(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(checkObject(object.ref_, object.value_));
                return true;
            },
            [](const Error &) { return false; });
        if (!object.deleted_ && isValid)
            names.insert(object.ref_.name_);
    }
    return names;
}

const StoredObject *findObject(const std::vector<StoredObject> &objects, const std::string &name)
{
    for (const StoredObject &object : objects) {
        if (object.ref_.name_ == name)
            return &object;
    }
    return nullptr;
}

} // namespace

// Guards against a list of back ends that cannot be read because of one entry in it.
RC_GTEST_PROP(OddEntryProperty, TheOtherEntriesOfAListHold, ())
{
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 6);
    const std::size_t position = *rc::gen::inRange<std::size_t>(0, count + 1);
    const std::string odd = oddSpecs()[*rc::gen::inRange<std::size_t>(0, oddSpecs().size())];
    std::vector<std::string> items;
    std::set<std::string> good;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = "i-" + std::to_string(i);
        items.push_back(item(name, usualSpec()));
        good.insert(name);
    }
    items.insert(items.begin() + static_cast<std::ptrdiff_t>(position), item("odd", odd));
    const auto page = wire::parsePage(kBackends, pageOf(items));
    RC_ASSERT(page.has_value());
    RC_ASSERT(usableNames(page->listing_.objects_) == good);
    const auto events = wire::parseEvents(kBackends, eventsOf(items));
    RC_ASSERT(events.has_value());
    RC_ASSERT(usableNames(events->objects_) == good);
}

// Guards against a host that continues to use a back end after its entry was overwritten with an
// odd one: an object that is rejected but not deleted leaves the earlier one in force.
TEST(OddEntry, CountsAsDeleted)
{
    for (const std::string &spec : oddSpecs()) {
        const auto events = wire::parseEvents(
            kBackends, eventsOf({ item("i-1", spec), item("i-2", usualSpec()) }));
        ASSERT_TRUE(events) << spec.substr(0, 300);
        const StoredObject *odd = findObject(events->objects_, "i-1");
        ASSERT_TRUE(odd) << spec.substr(0, 300);
        EXPECT_TRUE(odd->deleted_) << spec.substr(0, 300);
        EXPECT_EQ(odd->version_, Version { 7 });
    }
}

// Guards against the end of the process by a deeply nested entry, of a back end or in any other
// list, on a thread with the stack of the control thread.
TEST(OddEntry, DeepNestingDoesNotExhaustTheStack)
{
    EventLoop loop("control");
    for (const std::string &deep : { nestedArrays(kDepth), nestedObjects(kDepth) }) {
        for (const std::string &text :
             { pageOf({ item("odd", deep), item("i-1", usualSpec()) }),
               eventsOf({ item("odd", deep), item("i-1", usualSpec()) }), pageOf({ deep }), deep,
               R"({"AsOf":9,"items":[)" + deep + R"(],"events":[)" + deep + "]}",
               R"({"AsOf":9,"items":)" + deep + R"(,"events":)" + deep + "}",
               item("role.odd", deep), std::string(kDepth, '[') }) {
            for (const char *kind : { "servers", "config", "evacuations", "pimentostage-state" }) {
                loop.run([&] {
                    wire::parsePage(kind, text);
                    wire::parseEvents(kind, text);
                    wire::parseObject(kind, text);
                });
            }
        }
    }
}

// Guards against a listing that ends early, so that the entries after it count as deleted: the last
// entry of a page has no name that can be read.
TEST(OddEntry, AsTheLastOfAPageDoesNotEndTheListing)
{
    for (const char *odd :
         { R"({"Metadata":{"Name":7},"Spec":{}})", R"({"Metadata":null})", "{}", "[]", "1e999" }) {
        const auto page
            = wire::parsePage(kBackends, R"({"items":[)" + item("i-1", usualSpec()) + ',' + odd
                                             + R"(],"HasMore":true,"AsOf":9})");
        ASSERT_TRUE(page) << odd;
        EXPECT_EQ(page->nextAfter_, "i-1") << odd;
    }
    EXPECT_FALSE(wire::parsePage(kBackends, R"({"items":[{}],"HasMore":true,"AsOf":9})"))
        << "there is no name to continue after";
}

// Guards against taking a list that cannot be read for an empty one, which deletes all back ends.
TEST(OddEntry, AListThatIsNotAnArrayIsMalformed)
{
    for (const char *list : { "7", "{}", "null", "\"text\"" }) {
        EXPECT_FALSE(wire::parsePage(kBackends, std::string(R"({"AsOf":9,"items":)") + list + '}'))
            << list;
        EXPECT_FALSE(
            wire::parseEvents(kBackends, std::string(R"({"AsOf":9,"events":)") + list + '}'))
            << list;
    }
}

namespace {

const char *const kUsualCatalogue = R"({"Version":7,
    "Services":[{"Name":"huts","Sharded":false,"HealthCheckPath":"/health","MaxConnections":110,
        "WarmupS":3.0,"WarmupPerS":6.6}],
    "Tenants":[{"Name":"caxias","ApiKeys":["secret"],"Priority":1,"RatePerS":81,"Burst":40}],
    "VirtualHosts":[{"Host":"a.example","Paths":[
        {"Name":"r1","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":1000,"TargetLatencyMs":500,
         "Priority":2,"MaxAttempts":2,"Public":false,
         "WeightedClusters":[{"Service":"huts","Weight":90}]}]}]})";

/// @return the one object in a reply of the store that holds @p entry.
StoredObject storedFrom(const char *kind, const std::string &entry)
{
    const auto events = wire::parseEvents(kind, eventsOf({ entry }));
    EXPECT_TRUE(events && events->objects_.size() == 1) << entry;
    return events && events->objects_.size() == 1 ? events->objects_.front() : StoredObject {};
}

/// Applies the usual catalogue and after it the one in @p entry.
/// @return the result of the second; Applied also if it deletes the first.
ApplyResult resultAfterUsual(const std::string &entry, ConfigState &state)
{
    StoredObject usual = storedFrom("config", item("main", kUsualCatalogue));
    usual.version_ = Version { 5 };
    EXPECT_EQ(state.apply(usual), ApplyResult::Applied);
    return state.apply(storedFrom("config", entry));
}

/// A change that makes a catalogue one that must not come into force.
struct OddField
{
    const char *from_; ///< text in kUsualCatalogue
    const char *to_; ///< what replaces it
};

constexpr OddField kOddFields[] = {
    { R"("Services":[)", R"("Services":7,"A":[)" },
    { R"("Services":[)", R"("A":[)" },
    { R"("Services":[)", R"("Services":null,"A":[)" },
    { R"("Services":[)", R"("Services":[7,)" },
    { R"("Name":"huts")", R"("Name":7)" },
    { R"("Name":"huts")", R"("A":7)" },
    { R"("Sharded":false)", R"("Sharded":"false")" },
    { R"("HealthCheckPath":"/health")", R"("HealthCheckPath":7)" },
    { R"("MaxConnections":110)", R"("MaxConnections":"110")" },
    { R"("MaxConnections":110)", R"("MaxConnections":-1)" },
    { R"("MaxConnections":110)", R"("MaxConnections":1e30)" },
    { R"("WarmupS":3.0)", R"("WarmupS":"3")" },
    { R"("WarmupS":3.0)", R"("WarmupS":-3)" },
    { R"("WarmupS":3.0)", R"("WarmupS":1e30)" },
    { R"("WarmupPerS":6.6)", R"("WarmupPerS":[])" },
    { R"("WarmupPerS":6.6)", R"("WarmupPerS":-6)" },
    { R"("Tenants":[)", R"("Tenants":{},"A":[)" },
    { R"("Tenants":[)", R"("Tenants":["x",)" },
    { R"("Name":"caxias")", R"("Name":[])" },
    { R"("Name":"caxias")", R"("A":7)" },
    { R"("ApiKeys":["secret"])", R"("ApiKeys":"secret")" },
    { R"("ApiKeys":["secret"])", R"("ApiKeys":["secret",7])" },
    { R"("Priority":1)", R"("Priority":"1")" },
    { R"("Priority":1)", R"("Priority":-1)" },
    { R"("RatePerS":81)", R"("RatePerS":"81")" },
    { R"("RatePerS":81)", R"("RatePerS":-81)" },
    { R"("RatePerS":81)", R"("RatePerS":1e300)" },
    { R"("Burst":40)", R"("Burst":"40")" },
    { R"("Burst":40)", R"("Burst":-1)" },
    { R"("VirtualHosts":[)", R"("VirtualHosts":{},"A":[)" },
    { R"("VirtualHosts":[)", R"("A":[)" },
    { R"("VirtualHosts":[)", R"("VirtualHosts":null,"A":[)" },
    { R"("VirtualHosts":[)", R"("VirtualHosts":[7,)" },
    { R"("Host":"a.example")", R"("Host":7)" },
    { R"("Host":"a.example")", R"("A":7)" },
    { R"("Paths":[)", R"("Paths":7,"A":[)" },
    { R"("Paths":[)", R"("A":[)" },
    { R"("Paths":[)", R"("Paths":[null,)" },
    { R"("Name":"r1")", R"("Name":7)" },
    { R"("Name":"r1")", R"("A":7)" },
    { R"("PathPrefix":"/x/")", R"("PathPrefix":7)" },
    { R"("PathPrefix":"/x/")", R"("PathPrefix":"x")" },
    { R"("PathPrefix":"/x/")", R"("A":7)" },
    { R"("RouteType":"safe")", R"("RouteType":7)" },
    { R"("TimeoutMs":1000)", R"("TimeoutMs":"1000")" },
    { R"("TimeoutMs":1000)", R"("TimeoutMs":1e300)" },
    { R"("TimeoutMs":1000)", R"("TimeoutMs":-1)" },
    { R"("TimeoutMs":1000)", R"("A":7)" },
    { R"("TargetLatencyMs":500)", R"("TargetLatencyMs":"500")" },
    { R"("TargetLatencyMs":500)", R"("TargetLatencyMs":-500)" },
    { R"("Priority":2)", R"("Priority":"2")" },
    { R"("Priority":2)", R"("Priority":-2)" },
    { R"("MaxAttempts":2)", R"("MaxAttempts":"2")" },
    { R"("MaxAttempts":2)", R"("MaxAttempts":0)" },
    { R"("Public":false)", R"("Public":"false")" },
    { R"("WeightedClusters":[)", R"("WeightedClusters":7,"A":[)" },
    { R"("WeightedClusters":[)", R"("A":[)" },
    { R"("WeightedClusters":[)", R"("WeightedClusters":[7,)" },
    { R"("Service":"huts")", R"("Service":7)" },
    { R"("Weight":90)", R"("Weight":"90")" },
    { R"("Weight":90)", R"("Weight":-90)" },
};

} // namespace

// Guards against a catalogue without a value, or with a value that is no object, that counts as
// deleted and so clears every route: all callers were answered 404.
TEST(OddCatalogue, WithoutAReadableValueLeavesTheLastGoodOneInForce)
{
    std::vector<std::string> entries {
        R"({"Metadata":{"Name":"main","Revision":7}})",
        R"({"Metadata":{"Name":"main","Revision":7},"Status":{}})",
    };
    for (const char *spec : { "null", "7", "[]", R"("text")", "true", "{}", "[}" })
        entries.push_back(item("main", spec));
    for (const std::string &entry : entries) {
        ConfigState state;
        EXPECT_EQ(resultAfterUsual(entry, state), ApplyResult::Rejected) << entry;
        EXPECT_TRUE(state.configuration()->virtualHosts_->contains("a.example")) << entry;
        EXPECT_EQ(state.configuration()->keysByHash_.size(), 1U) << entry;
    }
}

// Guards against a part of a bad version in force: a rate that is no number meant no limit, and
// a list that is none removed all routes or all teams.
TEST(OddCatalogue, IsRejectedWholeForEachOddField)
{
    for (const auto &[from, to] : kOddFields) {
        std::string spec = kUsualCatalogue;
        const std::size_t position = spec.find(from);
        ASSERT_NE(position, std::string::npos) << from;
        spec.replace(position, std::string(from).size(), to);
        for (const MissingTeams missing : { MissingTeams::Open, MissingTeams::Closed }) {
            ConfigState state({}, missing);
            EXPECT_EQ(resultAfterUsual(item("main", spec), state), ApplyResult::Rejected)
                << from << " -> " << to << ", without teams " << toString(missing);
            EXPECT_TRUE(state.configuration()->virtualHosts_->contains("a.example")) << to;
        }
    }
}

// Guards against a route that is open to everybody, or keys that stay valid, because a catalogue
// lost its list of teams where withdrawn keys have a deadline.
TEST(OddCatalogue, ThatLosesItsTeamsClosesTheirRoutes)
{
    for (const char *to : { R"("A":[)", R"("Tenants":null,"A":[)" }) {
        std::string spec = kUsualCatalogue;
        const std::string from = R"("Tenants":[)";
        spec.replace(spec.find(from), from.size(), to);
        ConfigState state({}, MissingTeams::Closed);
        EXPECT_EQ(resultAfterUsual(item("main", spec), state), ApplyResult::Applied) << to;
        const auto &routes = state.configuration()->virtualHosts_->at("a.example");
        ASSERT_FALSE(routes.empty());
        for (const auto &route : routes)
            EXPECT_EQ(route.access_, Access::Team) << to;
        EXPECT_TRUE(state.configuration()->keysByHash_.empty()) << to;
        EXPECT_TRUE(state.configuration()->contracts_.empty()) << to;
    }
}

// Guards against a catalogue that is rejected although its optional fields are only missing.
TEST(OddCatalogue, NeedsNoOptionalField)
{
    const char *const spec = R"({"Services":[{"Name":"huts"}],"VirtualHosts":[{"Host":"a.example",
        "Paths":[{"Name":"r1","PathPrefix":"/","TimeoutMs":900,"Service":"huts","Public":true,
        "RouteType":null,"WeightedClusters":null}]}]})";
    ConfigState state;
    EXPECT_EQ(resultAfterUsual(item("main", spec), state), ApplyResult::Applied);
    EXPECT_TRUE(state.configuration()->contracts_.empty()) << "all its routes are public";
}

// Guards against a data centre that is in use again because the entry that takes it out has lost
// its value, and against a role without a holder for the same reason.
TEST(OddEntry, WithoutAValueDoesNotCountAsDeletedIfItIsNoBackend)
{
    const std::string north = R"({"Metadata":{"Name":"north","Revision":7}})";
    EXPECT_FALSE(storedFrom("evacuations", north).deleted_);
    const std::string role = R"({"Metadata":{"Name":"role.accounts","Revision":7}})";
    EXPECT_FALSE(storedFrom("pimentostage-state", role).deleted_);
    EXPECT_TRUE(storedFrom("servers", north).deleted_);
}
