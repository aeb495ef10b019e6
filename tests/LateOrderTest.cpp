#include "src/base/EventLoop.h"
#include "src/base/HttpClient.h"
#include "tests/fakes/RawServer.h"

#include <future>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// @return a reply without bytes; the connection stays open.
RawServer::Reply silence(const std::string &, int)
{
    return {};
}

HttpRequest order(const RawServer &server, Duration timeout)
{
    HttpRequest request;
    request.method_ = "POST";
    request.url_ = server.url() + "/order";
    request.body_ = sharedBody("{}");
    request.timeout_ = timeout;
    return request;
}

// A partition holds an order up; its sender gives it up, and considers it without effect after the
// hold that it could have begun. A connection that is closed without a reset delivers the order
// when the partition ends, long after that (seen on kabute-gateway with `zone_cut`: two back ends
// held a range for 1.3 s).
TEST(LateOrder, ResetsTheConnectionOfAnOrderThatTimedOut)
{
    RawServer server(&silence);
    HttpClient client({});
    const HttpResult result = client.fetch(order(server, 50ms));
    ASSERT_TRUE(result.error_);
    EXPECT_EQ(result.error_->code_, ErrorCode::Timeout);
    ASSERT_TRUE(server.waitForClosedConnections(1));
    EXPECT_EQ(server.resetConnections(), 1);
}

TEST(LateOrder, ResetsTheConnectionOfACancelledOrder)
{
    RawServer server(&silence);
    HttpClient client({});
    client.post([&] {
        const auto transfer = client.start(order(server, 5s), [](const HttpResult &) {});
        client.runAt(BootClock::now() + 100ms, [&client, transfer] { client.cancel(transfer); });
    });
    ASSERT_TRUE(server.waitForClosedConnections(1));
    EXPECT_EQ(server.requestCount(), 1);
    EXPECT_EQ(server.resetConnections(), 1);
}

// The end of the process closes its connections as well, with whatever was not delivered yet.
TEST(LateOrder, ResetsTheConnectionsThatAreInUseAtTheEnd)
{
    RawServer server(&silence);
    {
        HttpClient client({});
        std::promise<void> received;
        client.post([&] {
            client.start(order(server, 5s), [](const HttpResult &) {});
            client.runAt(BootClock::now() + 100ms, [&] { received.set_value(); });
        });
        received.get_future().wait();
    }
    ASSERT_TRUE(server.waitForClosedConnections(1));
    EXPECT_EQ(server.resetConnections(), 1);
}

} // namespace
