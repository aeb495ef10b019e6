#include "platform/CallerWire.h"
#include "src/caller/CallerServer.h"
#include "tests/fakes/BeastServerFixture.h"
#include "tests/fakes/NullLog.h"

#include <memory>
#include <string>

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

constexpr std::size_t kMegabyte = std::size_t { 1 } << 20U;

/// Ignores all observations.
class NullListener
    : public TrafficListener
    , public TokenDemandListener
{
public:
    void onBackendCold(const BackendName &) override { }
    void onBackendWarm(const BackendName &) override { }
    void onKeyLoad(const KeyLoad &) override { }
    void onTokensNeeded(const AccountName &) override { }
};

std::shared_ptr<const TrafficView> emptyView()
{
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = std::make_shared<Configuration>();
    view->routing_ = std::make_shared<RoutingTable>();
    return view;
}

/// The front end of an entry host without any service, for callers of @p protocol.
class CallerOverloadTest : public BeastServerTest
{
protected:
    void startFrontEnd(const CallerProtocol &protocol)
    {
        auto server = std::make_unique<BeastServer>();
        BeastServer &port = *server;
        front_
            = std::make_unique<CallerServer>(std::move(server), service_, protocol, "host-", 100);
        HttpServerOptions options;
        options.address_ = Address { "127.0.0.1", kAnyPort };
        options.threads_ = 1;
        options.maxRequestBytes_ = 64 * kMegabyte;
        const bool isListening = valueOr(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(front_->start(options));
                return true;
            },
            [](const Error &) { return false; });
        ASSERT_TRUE(isListening);
        port_ = port.port();
    }

    void TearDown() override
    {
        if (front_)
            front_->stop();
        BeastServerTest::TearDown();
    }

    static std::string post(std::size_t length)
    {
        return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length)
               + "\r\n\r\n";
    }

    /// @return what a caller reads that announces a large body while another one has the whole
    ///         limit, and that sends part of its body before it reads.
    std::string refusalOfALargeBody()
    {
        Caller first(port_);
        first.send(post(64 * kMegabyte) + "begun");
        Caller probe(port_);
        probe.send(post(1) + "x");
        const std::string routed(toString(RefusalReason::ConfigurationStale));
        EXPECT_NE(probe.read(routed).find(routed), std::string::npos) << "a small request";
        Caller second(port_);
        second.send(post(64 * kMegabyte));
        second.send(std::string(kMegabyte, 'x'));
        return second.read("no such text");
    }

    std::uint64_t refusedCount()
    {
        return metrics_
            .counter("pimento_caller_refused_total", "", { Label { "reason", "overloaded" } })
            .value();
    }

    NullListener listener_;
    NullLog log_;
    MetricRegistry metrics_;
    SnapshotPublisher<RoutingTable> routing_ { std::make_shared<const RoutingTable>() };
    SnapshotPublisher<TrafficView> views_ { emptyView() };
    BackendClient backends_ { BackendClientOptions {}, routing_, listener_, log_, metrics_ };
    CallerService service_ { views_, backends_, listener_, log_, metrics_ };
    std::unique_ptr<CallerServer> front_;
    std::uint16_t port_ = 0;
};

} // namespace

// Guards against a caller that cannot tell whether its request ran, or when to retry, because the
// refusal of its body is not like other refusals.
TEST_F(CallerOverloadTest, TheRefusalOfABodySaysThatTheRequestHasNotRun)
{
    startFrontEnd(nativeCallerProtocol());
    const std::string refusal = refusalOfALargeBody();
    for (const char *text :
         { " 503 ", "Pimento-Outcome: not-run\r\n", "Retry-After: 1\r\n", "Connection: close\r\n",
           "urn:pimentostage:refusal:overloaded", "X-Request-Id: host-" })
        EXPECT_NE(refusal.find(text), std::string::npos) << text << " in:\n" << refusal;
    EXPECT_EQ(refusedCount(), 1U);
}

// Guards against the same on the users' platform.
TEST_F(CallerOverloadTest, TheRefusalOfABodyIsEncodedForThePlatform)
{
    startFrontEnd(platform::callerProtocol());
    const std::string refusal = refusalOfALargeBody();
    for (const char *text :
         { " 503 ", "Retry-After: 1.000\r\n", "Connection: close\r\n", "overloaded\n" })
        EXPECT_NE(refusal.find(text), std::string::npos) << text << " in:\n" << refusal;
    EXPECT_EQ(refusedCount(), 1U);
}
