#include "tests/fakes/BeastServerFixture.h"

#include <thread>

#include <boost/asio/read.hpp>
#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Larger than the buffers of a loopback connection.
constexpr std::size_t kAnswerBytes = std::size_t { 32 } << 20U;

/// Callers that read a large answer slowly or not at all.
class UnreadAnswerTest : public BeastServerTest
{
protected:
    /// Sends a request and its large answer.
    void answerLarge(Caller &caller)
    {
        HttpServerOptions options;
        options.bodyTimeout_ = 1s;
        answersImmediately_ = false;
        start(options);
        caller.socket_.connect({ boost::asio::ip::make_address_v4("127.0.0.1"), server_.port() });
        caller.send(get("/large"));
        ASSERT_TRUE(waitFor([this] { return !received_.empty(); }));
        received_.front().responder_->send(
            { 200, "text/plain", {}, std::string(kAnswerBytes, 'x') });
    }
};

} // namespace

// Guards against answers without a bound that are kept for callers that do not read them.
TEST_F(UnreadAnswerTest, IsNotKeptForACallerThatReadsNothing)
{
    Caller caller;
    answerLarge(caller);
    const TimePoint limit = BootClock::now() + 5s;
    while (server_.activeConnections() > 0 && BootClock::now() < limit)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(server_.activeConnections(), 0U);
}

// Guards against a caller that reads slowly and is cut off.
TEST_F(UnreadAnswerTest, ReachesACallerThatReadsSlowly)
{
    Caller caller;
    answerLarge(caller);
    std::vector<char> part(std::size_t { 1 } << 20U);
    std::size_t received = 0;
    boost::system::error_code error;
    while (!error && received < kAnswerBytes) {
        std::this_thread::sleep_for(50ms);
        received += boost::asio::read(caller.socket_, boost::asio::buffer(part),
                                      boost::asio::transfer_exactly(part.size()), error);
    }
    EXPECT_GE(received, kAnswerBytes);
}
