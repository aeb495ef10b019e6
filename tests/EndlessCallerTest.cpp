#include "tests/fakes/BeastServerFixture.h"
#include "tests/fakes/ResidentMemory.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMegabyte = std::size_t { 1 } << 20U;
constexpr std::size_t kSentBytes = 48 * kMegabyte;
/// Maximum growth of the process by kSentBytes that belong to no request.
constexpr std::size_t kMaxGrowthBytes = 8 * kMegabyte;

/// Callers that send bytes without end, or more than a host can keep.
class EndlessCallerTest : public BeastServerTest
{
protected:
    /// Sends @p part repeatedly until kSentBytes are sent or the server ends the connection.
    static void sendEndlessly(Caller &caller, const std::string &part)
    {
        boost::system::error_code error;
        for (std::size_t sent = 0; sent < kSentBytes && !error; sent += part.size())
            boost::asio::write(caller.socket_, boost::asio::buffer(part), error);
    }

    static std::string post(const std::string &path, std::size_t length)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length)
               + "\r\n\r\n";
    }

    bool hasReceived(std::size_t count)
    {
        return waitFor([&] { return received_.size() >= count; });
    }

    void answerAll()
    {
        const std::lock_guard lock(mutex_);
        for (const ReceivedRequest &received : received_)
            received.responder_->send({ 200, "text/plain", {}, received.request_.path() });
    }

    /// @return the growth of the process while @p caller sends @p part without end.
    std::size_t growthBySending(Caller &caller, const std::string &part)
    {
        const std::size_t before = residentBytes();
        sendEndlessly(caller, part);
        const std::size_t after = residentBytes();
        return after - std::min(after, before);
    }
};

} // namespace

// Guards against a host that runs out of memory because it keeps what a caller sends after the last
// request on a connection, while that request runs.
TEST_F(EndlessCallerTest, BytesAfterTheLastRequestAreNotKept)
{
    answersImmediately_ = false;
    start();
    Caller caller(server_.port());
    caller.send("GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(hasReceived(1));
    EXPECT_LT(growthBySending(caller, std::string(kMegabyte, 'x')), kMaxGrowthBytes);
    answerAll();
    EXPECT_NE(caller.read("/last").find(" 200 "), std::string::npos);
}

// Guards against the same for a refusal that waits for the answer to an earlier request.
TEST_F(EndlessCallerTest, BytesAfterARefusalAreNotKept)
{
    answersImmediately_ = false;
    start();
    Caller caller(server_.port());
    caller.send(get("/first"));
    ASSERT_TRUE(hasReceived(1));
    caller.send("no request\r\n\r\n");
    EXPECT_LT(growthBySending(caller, std::string(kMegabyte, 'x')), kMaxGrowthBytes);
    answerAll();
    EXPECT_NE(caller.read(" 400 ").find("/first"), std::string::npos);
}

// Guards against a host that runs out of memory because a chunk's extension has no end.
TEST_F(EndlessCallerTest, AChunkExtensionWithoutEndIsRefused)
{
    start();
    Caller caller(server_.port());
    caller.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;a=");
    EXPECT_LT(growthBySending(caller, std::string(kMegabyte, 'x')), kMaxGrowthBytes);
    EXPECT_TRUE(received_.empty());
}

// Guards against a host that runs out of memory because a body's trailer has no end.
TEST_F(EndlessCallerTest, ATrailerWithoutEndIsRefused)
{
    start();
    Caller caller(server_.port());
    caller.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
    std::string lines;
    while (lines.size() < kMegabyte)
        lines += "X-Trailer: x\r\n";
    EXPECT_LT(growthBySending(caller, lines), kMaxGrowthBytes);
    EXPECT_TRUE(received_.empty());
}

// Guards against a host that runs out of memory because only bodies in transfer count, and not
// those of requests that wait for their answers.
TEST_F(EndlessCallerTest, BodiesCountUntilTheirRequestsAreAnswered)
{
    answersImmediately_ = false;
    HttpServerOptions options;
    options.maxRequestBytes_ = kMegabyte;
    options.maxBufferedBytes_ = 2 * kMegabyte;
    options.bodyTimeout_ = 5s;
    start(options);
    Caller first(server_.port());
    Caller second(server_.port());
    for (Caller *caller : { &first, &second })
        caller->send(post("/large", kMegabyte) + std::string(kMegabyte, 'x'));
    ASSERT_TRUE(hasReceived(2));
    Caller third(server_.port());
    third.send(post("/large", kMegabyte));
    const std::string refusal = third.read("\r\n\r\n");
    EXPECT_NE(refusal.find(" 503 "), std::string::npos) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos) << refusal;
    answerAll();
    EXPECT_NE(first.read("/large").find(" 200 "), std::string::npos);
    EXPECT_NE(second.read("/large").find(" 200 "), std::string::npos);
    Caller fourth(server_.port());
    fourth.send(post("/large", kMegabyte) + std::string(kMegabyte, 'x'));
    EXPECT_TRUE(hasReceived(3)) << "the memory of the answered requests must be free again";
}

// Guards against a caller of a large body, also one that never sends it, that takes the service
// from all callers of small requests.
TEST_F(EndlessCallerTest, SmallRequestsAreServedWhileALargeBodyIsReceived)
{
    HttpServerOptions options;
    options.maxRequestBytes_ = 64 * kMegabyte;
    start(options);
    Caller large(server_.port());
    large.send(post("/large", 64 * kMegabyte) + "begun");
    Caller probe(server_.port());
    probe.send(get("/probe"));
    probe.read("/probe");
    Caller small(server_.port());
    small.send(post("/small", 1000) + std::string(1000, 'x'));
    EXPECT_NE(small.read("\r\n\r\n").find(" 200 "), std::string::npos);
}
