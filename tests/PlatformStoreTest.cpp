#include "platform/PlatformStore.h"
#include "src/base/EventLoop.h"
#include "tests/fakes/RawServer.h"

#include <algorithm>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBackendFeed = 1;

std::string answerWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @return the request lines of a listing whose first page ends with an object called @p name, a
///         JSON string.
std::vector<std::string> requestLinesOfListing(const std::string &name)
{
    std::mutex mutex;
    std::vector<std::string> lines;
    RawServer server([&](const std::string &head, int number) {
        const std::lock_guard lock(mutex);
        lines.push_back(head.substr(0, head.find("\r\n")));
        const std::string items
            = number == 1 ? R"({"Metadata":{"Name":)" + name + R"(,"Revision":3},"Spec":{}})" : "";
        const char *hasMore = number == 1 ? "true" : "false";
        return RawServer::Reply { answerWith(R"({"items":[)" + items + R"(],"HasMore":)" + hasMore
                                             + R"(,"AsOf":9})"),
                                  false };
    });
    MetricRegistry metrics;
    EventLoop loop("control");
    auto store = std::make_unique<platform::PlatformStore>(server.url(), 2s, loop, metrics);
    std::promise<bool> isListed;
    loop.post([&] {
        store->listFeed(kBackendFeed, ReadConsistency::Linearizable,
                        [&](const Reply<StoreListing> &reply) {
                            isListed.set_value(std::holds_alternative<StoreListing>(reply));
                        });
    });
    EXPECT_TRUE(isListed.get_future().get()) << name;
    store.reset();
    loop.run([] {}); // by then the store has closed its connections
    const std::lock_guard lock(mutex);
    return lines;
}

} // namespace

// Guards against a list and a watch of `rollouts` for each reader where there are none.
TEST(PlatformStore, ReadsRolloutsOnlyWhereTheyAreOn)
{
    MetricRegistry metrics;
    EventLoop loop("control");
    const auto readsRollouts
        = [](const StoreFeed &feed) { return feed.kinds_.contains(ObjectKind::Rollout); };
    for (const bool hasRollouts : { false, true }) {
        platform::PlatformStore store("http://127.0.0.1:1", 2s, loop, metrics, nullptr,
                                      hasRollouts);
        const std::vector<StoreFeed> feeds = store.feeds();
        EXPECT_EQ(std::count_if(feeds.begin(), feeds.end(), readsRollouts), hasRollouts ? 1 : 0);
        EXPECT_EQ(feeds.size(), hasRollouts ? 5U : 4U);
    }
    loop.run([] {});
}

TEST(PlatformStore, ListsTheOrdersOfRollouts)
{
    std::string head;
    RawServer server([&](const std::string &request, int) {
        head = request;
        return RawServer::Reply { answerWith(
                                      R"({"items":[{"Metadata":{"Name":"huts","Revision":3},)"
                                      R"("Spec":{"Target":"v2","DurationS":12}}],"AsOf":9})"),
                                  false };
    });
    MetricRegistry metrics;
    EventLoop loop("control");
    auto store
        = std::make_unique<platform::PlatformStore>(server.url(), 2s, loop, metrics, nullptr, true);
    const std::size_t feed = store->feeds().size() - 1;
    std::promise<std::size_t> orders;
    loop.post([&] {
        store->listFeed(feed, ReadConsistency::Linearizable, [&](const Reply<StoreListing> &reply) {
            const auto *listing = std::get_if<StoreListing>(&reply);
            orders.set_value(listing ? listing->objects_.size() : 0);
        });
    });
    EXPECT_EQ(orders.get_future().get(), 1U);
    store.reset();
    loop.run([] {});
    EXPECT_EQ(head.find("GET /pimentostage/objects/rollouts HTTP/1.1\r\n"), 0U) << head;
}

TEST(PlatformStore, WritesTheStatusOfARollout)
{
    std::string head;
    RawServer server([&](const std::string &request, int) {
        head = request;
        return RawServer::Reply { answerWith("{}"), false };
    });
    MetricRegistry metrics;
    EventLoop loop("control");
    auto store
        = std::make_unique<platform::PlatformStore>(server.url(), 2s, loop, metrics, nullptr, true);
    std::promise<bool> isWritten;
    loop.post([&] {
        store->putRolloutStatus(ServiceName("huts"), RolloutStatus::Complete, "v2",
                                [&](const Reply<WriteResult> &reply) {
                                    isWritten.set_value(std::holds_alternative<WriteResult>(reply));
                                });
    });
    EXPECT_TRUE(isWritten.get_future().get());
    store.reset();
    loop.run([] {});
    EXPECT_EQ(head.find("PUT /pimentostage/objects/rollouts/huts/status HTTP/1.1\r\n"), 0U) << head;
}

// Guards against a list of back ends that is never complete because of one entry: the request for
// the next page contains its name, which another writer chose.
TEST(PlatformStore, ContinuesAListingAfterAnOddName)
{
    const std::vector<std::pair<std::string, std::string>> names {
        { R"("i-7f3a.9_~")", "i-7f3a.9_~" },
        { R"("a b")", "a%20b" },
        { R"("a&Watch=1#%41+/?")", "a%26Watch%3D1%23%2541%2B%2F%3F" },
        { R"("a\r\nX: y")", "a%0D%0AX%3A%20y" },
        { R"("\u00e9")", "%C3%A9" },
    };
    for (const auto &[name, encoded] : names) {
        const std::vector<std::string> lines = requestLinesOfListing(name);
        ASSERT_EQ(lines.size(), 2U) << name;
        EXPECT_NE(lines[1].find("?after=" + encoded + " HTTP/1.1"), std::string::npos) << lines[1];
    }
}
