#include "pimentostage/platform/ObjectCodec.h"
#include "platform/BackendWire.h"
#include "src/base/EventLoop.h"
#include "tests/fakes/RawServer.h"

#include <future>
#include <memory>
#include <mutex>

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

// An order to an address that belonged to another service by then was run there as a request, since
// it carried a request id.
TEST(OrderId, AnOrderOnThePlatformCarriesNoRequestId)
{
    std::mutex mutex;
    std::string head;
    RawServer server([&](const std::string &received, int) {
        const std::lock_guard lock(mutex);
        head = received;
        return RawServer::Reply { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true };
    });
    EventLoop loop("orders");
    auto link = std::make_unique<HttpRangeLink>(loop, platform::rangeProtocol());
    std::promise<RangeOutcome> outcome;
    loop.run([&] {
        const std::string address = server.url().substr(std::string("http://").size());
        link->grant(*parseAddress(address), RangeGrantOrder {}, 0,
                    [&](const RangeReply &reply) { outcome.set_value(reply.outcome_); });
    });
    std::future<RangeOutcome> result = outcome.get_future();
    ASSERT_EQ(result.wait_for(std::chrono::seconds(5)), std::future_status::ready);
    EXPECT_EQ(result.get(), RangeOutcome::Accepted);
    link.reset();
    loop.run([] {});
    const std::lock_guard lock(mutex);
    EXPECT_EQ(head.find("Request-Id"), std::string::npos) << head;
}

} // namespace
