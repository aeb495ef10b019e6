#include "pimentostage/platform/ObjectCodec.h"
#include "src/backend/GrantCodec.h"
#include "src/base/EventLoop.h"
#include "src/platform/StoreCodec.h"
#include "src/sibling/FrameCodec.h"

#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

constexpr std::size_t kDepth = 200'000;

std::string nestedArrays()
{
    return std::string(kDepth, '[') + std::string(kDepth, ']');
}

std::string nestedObjects()
{
    std::string text;
    for (std::size_t i = 0; i < kDepth; ++i)
        text += "{\"a\":";
    return text + "1" + std::string(kDepth, '}');
}

std::vector<std::string> deepTexts()
{
    return { nestedArrays(), nestedObjects(), std::string(kDepth, '[') };
}

/// Runs @p test on a thread with the stack of the control thread.
void runOnLoop(const std::function<void()> &test)
{
    EventLoop loop("control");
    loop.run(test);
}

bool isAccepted(const ObjectRef &ref, const std::string &value)
{
    return valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(checkObject(ref, value));
            return true;
        },
        [](const Error &) { return false; });
}

bool isHostList(const std::string &text)
{
    return valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(parseHostList(text));
            return true;
        },
        [](const Error &) { return false; });
}

bool isMessage(const std::vector<std::uint8_t> &payload)
{
    return valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(decodeFrame(payload));
            return true;
        },
        [](const Error &) { return false; });
}

} // namespace

// Guards against the end of the process by a deeply nested object, from any writer, in the store.
TEST(DeepNesting, AnObjectIsRejected)
{
    for (const std::string &deep : deepTexts()) {
        for (const auto &row : EnumTable<ObjectKind>::kRows) {
            const ObjectRef ref { row.value_, "odd" };
            runOnLoop([&] {
                EXPECT_FALSE(isAccepted(ref, deep)) << row.name_;
                for (const char *field : { "routes", "services", "teams", "shards", "ranges",
                                           "members", "predecessors", "kinds", "zone" }) {
                    EXPECT_FALSE(isAccepted(ref, std::string("{\"") + field + "\":" + deep + '}'))
                        << row.name_ << '.' << field;
                    EXPECT_FALSE(isAccepted(ref, std::string("{\"") + field + "\":[" + deep + "]}"))
                        << row.name_ << '.' << field;
                }
            });
        }
    }
}

// Guards against the end of the process, or a list that cannot be read, by one odd object among
// those that the store lists.
TEST(DeepNesting, AnObjectOfAListingLeavesTheOthersReadable)
{
    const std::string good = R"({"kind":"zone","name":"a","version":3,"value":"{}"})";
    std::vector<std::string> odd { R"({"kind":"zone","name":"b","version":1e999,"value":"{}"})",
                                   "{\"kind\":\"zone\",\"name\":\"\xff\",\"version\":3}",
                                   R"({"kind":7,"name":"b","version":-3,"value":"{}"})" };
    for (const std::string &deep : deepTexts()) {
        if (deep.back() == '[')
            continue;
        odd.push_back(deep);
        odd.push_back(R"({"kind":"zone","name":"b","version":3,"value":)" + deep + '}');
        odd.push_back(R"({"kind":)" + deep + R"(,"name":"b","version":3,"value":"{}"})");
    }
    for (const std::string &object : odd) {
        const std::string text
            = R"({"revision":9,"objects":[)" + good + ',' + object + ',' + good + "]}";
        runOnLoop([&] {
            const auto listing = parseListing(text);
            ASSERT_TRUE(listing) << object.substr(0, 80);
            EXPECT_EQ(listing->objects_.size(), 2U) << object.substr(0, 80);
            EXPECT_FALSE(parseStoredObject(object)) << object.substr(0, 80);
        });
    }
}

// Guards against the end of the process by a deeply nested reply of the store or of a back end.
TEST(DeepNesting, AReplyIsRejected)
{
    for (const std::string &deep : deepTexts()) {
        runOnLoop([&] {
            for (const std::string &text :
                 { deep, R"({"revision":)" + deep + R"(,"objects":[]})",
                   R"({"revision":9,"objects":)" + deep + '}', R"({"version":)" + deep + '}',
                   R"({"hosts":)" + deep + '}', R"({"hosts":[)" + deep + "]}",
                   R"({"service":)" + deep + '}', R"({"stamp":)" + deep + '}' }) {
                parseListing(text);
                EXPECT_FALSE(parseStoredObject(text));
                EXPECT_FALSE(parseWritten(text));
                EXPECT_FALSE(parseGrant(text));
                EXPECT_FALSE(parseGrantReply(text));
                EXPECT_FALSE(isHostList(text));
            }
        });
    }
}

// Guards against the end of the process by a deeply nested frame on the port for siblings, which
// any process can reach: MessagePack is read by recursion.
TEST(DeepNesting, AFrameIsRejected)
{
    using Bytes = std::vector<std::uint8_t>;
    const std::uint8_t arrayOfOne = 0x91;
    const std::uint8_t arrayOfThree = 0x93;
    const std::uint8_t nil = 0xc0;
    const Bytes mapOfOne { 0x81, 0xa1, 'a' };
    Bytes arrays(kDepth, arrayOfOne);
    arrays.push_back(nil);
    Bytes objects;
    for (std::size_t i = 0; i < kDepth; ++i)
        objects.insert(objects.end(), mapOfOne.begin(), mapOfOne.end());
    objects.push_back(nil);
    for (const Bytes &deep : { arrays, objects, Bytes(kDepth, arrayOfOne) }) {
        Bytes envelope { arrayOfThree, kSiblingProtocolVersion, 0 };
        envelope.insert(envelope.end(), deep.begin(), deep.end());
        runOnLoop([&] {
            EXPECT_FALSE(isMessage(deep));
            EXPECT_FALSE(isMessage(envelope));
        });
    }
}
