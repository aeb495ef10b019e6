#include "pimentostage/platform/Generation.h"
#include "platform/PlatformStore.h"
#include "src/base/EventLoop.h"
#include "tests/fakes/RawServer.h"

#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const ObjectRef kRole { ObjectKind::Role, "accounts" };

std::string storeReply(int generation, const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nStore-Era: " + std::to_string(generation)
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A store that has been restored before its second reply, and its client.
struct RestoredStore
{
    RestoredStore()
    {
        loop_.run([this] {
            store_ = std::make_unique<platform::PlatformStore>(server_.url(), 2s, loop_, metrics_);
        });
    }

    ~RestoredStore()
    {
        loop_.run([this] { store_.reset(); });
        // The store closes its connections in a task that may be queued behind the first of these.
        loop_.run([] {});
        loop_.run([] {});
    }

    RestoredStore(const RestoredStore &) = delete;
    RestoredStore &operator=(const RestoredStore &) = delete;

    StoredObject get()
    {
        std::promise<Reply<StoredObject>> reply;
        loop_.post([&] {
            store_->get(kRole, [&](const Reply<StoredObject> &object) { reply.set_value(object); });
        });
        return std::get<StoredObject>(reply.get_future().get());
    }

    WriteResult put(Version expected)
    {
        std::promise<Reply<WriteResult>> reply;
        loop_.post([&] {
            store_->put(kRole, "{}", expected,
                        [&](const Reply<WriteResult> &result) { reply.set_value(result); });
        });
        return std::get<WriteResult>(reply.get_future().get());
    }

    RawServer::Reply answer(const std::string &head, int number)
    {
        const std::lock_guard lock(mutex_);
        methods_.push_back(head.substr(0, head.find(' ')));
        return { storeReply(number == 1 ? 1 : 2, "200 OK",
                            R"({"Metadata":{"Name":"role.accounts","Revision":8},"Spec":{}})"),
                 false };
    }

    std::mutex mutex_;
    std::vector<std::string> methods_; ///< of the requests that the server received
    RawServer server_ { [this](const std::string &head, int number) {
        return answer(head, number);
    } };
    EventLoop loop_ { "test" };
    MetricRegistry metrics_;
    std::unique_ptr<platform::PlatformStore> store_;
};

// Guards against a write that replaces content that its writer has not read: a restored store gives
// revisions out again, so the condition of a write from before could hold by chance.
TEST(StoreGeneration, SendsNoWriteThatExpectsAVersionFromBeforeTheStoreWasRestored)
{
    RestoredStore restored;
    const Version before = restored.get().version_;
    const Version current = restored.get().version_;
    EXPECT_EQ(before, makeVersion(Generation { 1 }, 8));
    EXPECT_EQ(current, makeVersion(Generation { 2 }, 8));
    const WriteResult rejected = restored.put(before);
    EXPECT_FALSE(rejected.written_);
    ASSERT_TRUE(rejected.current_);
    EXPECT_EQ(rejected.current_->version_, current);
    EXPECT_TRUE(restored.put(current).written_);
    const std::lock_guard lock(restored.mutex_);
    EXPECT_EQ(restored.methods_, (std::vector<std::string> { "GET", "GET", "GET", "PUT" }));
}

} // namespace
