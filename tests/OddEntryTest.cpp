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
