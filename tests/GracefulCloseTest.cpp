#include "tests/fakes/BeastServerFixture.h"

#include <atomic>
#include <thread>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

class GracefulCloseTest : public BeastServerTest
{
protected:
    /// Requests the drain of the server and a round of closing idle connections.
    void drainAndCloseIdle()
    {
        server_.drain();
        server_.closeIdle();
    }
};

// A stop lost a request that had reached a kept connection before the connection was closed as
// idle, because the busy thread had not read it yet.
TEST_F(GracefulCloseTest, AnswersARequestThatArrivedOnAKeptConnectionBeforeTheClose)
{
    start();
    Caller caller(server_.port());
    caller.send(get("/first"));
    ASSERT_NE(caller.read("/first").find(" 200 "), std::string::npos);
    blockServer();
    caller.send(get("/second"));
    drainAndCloseIdle();
    resumeServer();
    const std::string answer = caller.read("never");
    EXPECT_NE(answer.find("/second"), std::string::npos) << "closed without an answer";
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// As above, for the first request on a connection that the server has only just accepted.
TEST_F(GracefulCloseTest, AnswersARequestThatArrivedOnANewConnectionBeforeTheClose)
{
    start();
    blockServer();
    Caller caller(server_.port());
    caller.send(get("/first"));
    drainAndCloseIdle();
    resumeServer();
    server_.closeIdle();
    EXPECT_NE(caller.read("never").find("/first"), std::string::npos) << "closed without an answer";
}

// A stop closed a new connection while its first request was still on the way.
TEST_F(GracefulCloseTest, WaitsForTheFirstRequestOfANewConnection)
{
    start();
    Caller caller(server_.port());
    Caller probe(server_.port());
    probe.send(get("/probe"));
    ASSERT_NE(probe.read("/probe").find(" 200 "), std::string::npos) << "both are accepted";
    server_.drain();
    EXPECT_EQ(readWhileClosingIdle(probe), "");
    caller.send(get("/first"));
    EXPECT_NE(caller.read("never").find("/first"), std::string::npos) << "closed without an answer";
}

// A new connection without a request must not delay a stop for longer than its grace period.
TEST_F(GracefulCloseTest, ClosesANewConnectionThatStaysSilent)
{
    start();
    Caller silent(server_.port());
    Caller probe(server_.port());
    probe.send(get("/probe"));
    ASSERT_NE(probe.read("/probe").find(" 200 "), std::string::npos) << "both are accepted";
    server_.drain();
    EXPECT_EQ(readWhileClosingIdle(silent), "");
}

// A stop that ended as soon as the last answer was written closed a socket that held pipelined
// bytes, which resets the connection: the caller lost the part of the answer that was on the way.
TEST_F(GracefulCloseTest, IsActiveUntilTheCallerHasReadTheLastAnswer)
{
    constexpr std::size_t kSize = std::size_t { 1 } << 20U; // bytes; fits into the socket's buffer
    answersImmediately_ = false;
    start();
    Caller caller(server_.port());
    caller.send(get("/large"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 1; }));
    server_.drain();
    received_[0].responder_->send({ 200, "", {}, std::string(kSize, 'a') });
    std::this_thread::sleep_for(50ms);
    std::string text;
    std::thread reader([&] {
        for (int i = 0; i < 200; ++i)
            caller.send(get("/behind"));
        std::this_thread::sleep_for(100ms);
        text = caller.read("never");
        caller.socket_.close();
    });
    const TimePoint limit = BootClock::now() + 5s;
    do {
        server_.closeIdle();
        std::this_thread::sleep_for(20ms);
    } while (server_.activeConnections() > 0 && BootClock::now() < limit);
    EXPECT_LT(BootClock::now(), limit) << "the closed connection still counts";
    server_.stop();
    reader.join();
    EXPECT_GT(text.size(), kSize) << "the answer is cut";
}

/// A server whose handlers occupy its thread in turn.
class BusyServer
{
public:
    BusyServer()
    {
        HttpServerOptions options;
        options.address_ = Address { "127.0.0.1", kAnyPort };
        options.threads_ = 1;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(server_.start(options, [this] {
                    return [this](const ServerRequest &request,
                                  const std::shared_ptr<HttpResponder> &responder) {
                        responder->send({ 200, "", {}, request.path() });
                        if (request.path() == "/wait") {
                            ++waiting_;
                            while (released_ < waiting_)
                                std::this_thread::sleep_for(1ms);
                        }
                        if (request.path() == "/long")
                            std::this_thread::sleep_for(BeastServer::kFirstRequestTimeout + 100ms);
                    };
                }));
                return {};
            },
            [] { FAIL() << "the server does not listen"; });
    }

    void waitFor(int count) const
    {
        while (waiting_ < count)
            std::this_thread::sleep_for(1ms);
    }

    BeastServer server_;
    std::atomic<int> waiting_ { 0 };
    std::atomic<int> released_ { 0 };
};

// The bytes of a new connection's first request were taken from the socket when the connection was
// accepted, but the thread was busy before it parsed them: the socket was empty, the session too.
TEST_F(GracefulCloseTest, AnswersAFirstRequestWhoseBytesWereReadBeforeABusyPeriod)
{
    BusyServer busy;
    Caller first(busy.server_.port());
    Caller second(busy.server_.port());
    Caller third(busy.server_.port());
    for (Caller *kept : { &first, &second, &third }) {
        kept->send(get("/kept"));
        ASSERT_NE(kept->read("/kept").find(" 200 "), std::string::npos);
    }
    first.send(get("/wait"));
    busy.waitFor(1);
    second.send(get("/wait"));
    std::this_thread::sleep_for(20ms);
    Caller caller(busy.server_.port());
    caller.send(get("/first"));
    std::this_thread::sleep_for(20ms);
    third.send(get("/long"));
    std::this_thread::sleep_for(20ms);
    busy.released_ = 1;
    busy.waitFor(2);
    busy.server_.drain();
    busy.server_.closeIdle();
    busy.released_ = 2;
    EXPECT_NE(caller.read("never").find("/first"), std::string::npos) << "closed without an answer";
}

} // namespace
