#include "src/backend/HttpRangeLink.h"
#include "src/base/EventLoop.h"
#include "src/base/HttpClient.h"
#include "src/daemon/RangeControl.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/FakeRangeLink.h"
#include "tests/fakes/RawServer.h"
#include "tests/fakes/RecordingLog.h"

#include <future>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

RawServer::Reply acceptAndKeep(const std::string &, int)
{
    return { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false };
}

RawServer::Reply acceptAndClose(const std::string &, int)
{
    return { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true };
}

class BoundOrder : public testing::Test
{
protected:
    ~BoundOrder() override
    {
        link_.reset();
        loop_.run([] {}); // the link closes its connections in a task
    }

    RangeReply grant(ConnectionId connection)
    {
        const std::string url = server_->url();
        const auto port = static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
        std::promise<RangeReply> reply;
        loop_.post([&] {
            link_->grant({ "127.0.0.1", port }, RangeGrantOrder { { 0, 9 }, Epoch { 1 }, 1s, "" },
                         connection, [&](const RangeReply &result) { reply.set_value(result); });
        });
        return reply.get_future().get();
    }

    std::unique_ptr<RawServer> server_; // outlives the connections to it
    EventLoop loop_ { "orders" };
    std::unique_ptr<HttpRangeLink> link_
        = std::make_unique<HttpRangeLink>(loop_, nativeRangeProtocol());
};

TEST_F(BoundOrder, IsSentOnItsConnection)
{
    server_ = std::make_unique<RawServer>(&acceptAndKeep);
    const RangeReply first = grant(0);
    ASSERT_EQ(first.outcome_, RangeOutcome::Accepted);
    ASSERT_NE(first.connection_, 0U);
    const RangeReply second = grant(first.connection_);
    EXPECT_EQ(second.outcome_, RangeOutcome::Accepted);
    EXPECT_EQ(second.connection_, first.connection_);
}

// Guards against a renewal that reaches another process: the connection of the grant before it was
// closed while idle, and the next process at the address got the former one's epoch.
TEST_F(BoundOrder, IsNotSentOnAnotherConnection)
{
    server_ = std::make_unique<RawServer>(&acceptAndClose);
    const RangeReply first = grant(0);
    ASSERT_EQ(first.outcome_, RangeOutcome::Accepted);
    const RangeReply second = grant(first.connection_);
    EXPECT_EQ(second.outcome_, RangeOutcome::ConnectionLost);
    EXPECT_EQ(second.connection_, 0U);
    EXPECT_EQ(server_->requestCount(), 1);
}

// Guards against requests that never end: those that wait for a connection in use, when it closes.
TEST(RequiredConnection, FailsTheRequestsThatWaitForItWhenItCloses)
{
    // The answer announces the close; otherwise the next request may be sent before it is seen.
    RawServer server([](const std::string &, int number) {
        return number == 1 ? acceptAndKeep("", number)
                           : RawServer::Reply { "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                                "Content-Length: 0\r\n\r\n",
                                                true };
    });
    HttpClientOptions options;
    options.connectionsPerPeer_ = 2;
    HttpClient client(options);
    const auto request = [&](ConnectionId connection) {
        HttpRequest made;
        made.url_ = server.url() + "/";
        made.timeout_ = 5s;
        made.requiredConnection_ = connection;
        return made;
    };
    const ConnectionId connection = client.fetch(request(0)).connection_;
    std::promise<HttpResult> results[2];
    client.post([&] {
        for (auto &result : results)
            client.start(request(connection),
                         [&](HttpResult value) { result.set_value(std::move(value)); });
    });
    EXPECT_TRUE(results[0].get_future().get().answer_);
    const HttpResult second = results[1].get_future().get();
    ASSERT_TRUE(second.error_);
    EXPECT_EQ(second.error_->code_, ErrorCode::ConnectionClosed);
    EXPECT_EQ(second.state_, AttemptState::NotSent);
    EXPECT_EQ(server.requestCount(), 2);
}

// The log of an order must tell a late order from one that reached another process, and from one of
// another coordinator.
TEST(RangeOrderLog, NamesProcessConnectionEpochAndRole)
{
    Configuration configuration;
    const ServiceName service("permits");
    configuration.services_[service].keyed_ = true;
    configuration.services_[service].division_ = KeyDivision::Ordered;
    Backend &backend = configuration.backends_[BackendName("s1")];
    backend.name_ = BackendName("s1");
    backend.service_ = service;
    backend.address_ = { "10.0.0.1", 80 };
    backend.slots_ = 6;
    backend.incarnation_ = Incarnation { 77 };

    FakeObjectStore store;
    FakeRangeLink link;
    RecordingLog log;
    MetricRegistry metrics;
    TimePoint now(1h);
    RangeControl control(
        store, link, RangeCoordinatorOptions {}, [&] { return now; },
        [](const RoleName &, TimePoint) { return true; }, [](const BackendName &) { return 1.0; },
        1, log, metrics, [](const StoredObject &) {});
    control.onConfig(configuration, {});
    control.onRoleGained(RoleName("coordinator.permits"), Epoch { 5 }, now);
    for (int i = 0; i < 100; ++i, now += 20ms)
        control.tick(now);
    const std::vector<std::string> order { "\"event\":\"range-order\"",
                                           "\"order\":\"grant\"",
                                           "\"backend\":\"s1\"",
                                           "\"incarnation\":77",
                                           "\"address\":\"10.0.0.1:80\"",
                                           "\"from_key\":0",
                                           "\"to_key\":65535",
                                           "\"epoch\":1",
                                           "\"hold_ms\":2500",
                                           "\"role_epoch\":5",
                                           "\"placement_version\":1",
                                           "\"outcome\":\"accepted\"" };
    const auto count = [&](const std::string &severity, const std::string &connection) {
        std::vector<std::string> texts = order;
        texts.push_back("\"severity\":\"" + severity + '"');
        texts.push_back("\"connection\":" + connection + ',');
        return log.count(texts);
    };
    EXPECT_EQ(count("info", "1"), 1U) << "expected one line for the first grant";
    EXPECT_GE(count("debug", "1"), 1U) << "expected a line for each renewal";

    link.closeConnection();
    for (int i = 0; i < 50; ++i, now += 20ms)
        control.tick(now);
    EXPECT_EQ(log.count({ "\"required_connection\":1", "\"connection\":0,",
                          "\"outcome\":\"connection-lost\"" }),
              1U);
    EXPECT_EQ(log.count({ "\"required_connection\":0", "\"connection\":2,", "\"epoch\":2,",
                          "\"outcome\":\"accepted\"" }),
              1U);
}

} // namespace
