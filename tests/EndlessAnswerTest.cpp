#include "src/backend/BackendProtocol.h"
#include "src/backend/HttpRangeLink.h"
#include "src/base/EventLoop.h"
#include "src/base/HttpClient.h"
#include "tests/fakes/EndlessServer.h"
#include "tests/fakes/RawServer.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxAnswerBytes = std::size_t { 1 } << 20U;
/// Maximum growth of the process while an endless answer is read; several times the client's limits
/// of the head and the body, far below what a server sends until a timeout.
constexpr std::size_t kMaxGrowthBytes = std::size_t { 24 } << 20U;
constexpr Duration kTimeout = 800ms;
constexpr Duration kMaxDelay = 2s; ///< of a callback after its time, on a busy machine

const char *const kHead = "HTTP/1.1 200 OK\r\nPimento-Request-Id: r1\r\n";

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

HttpRequest requestTo(const std::string &url)
{
    HttpRequest request;
    request.method_ = "POST";
    request.url_ = url + "/deposits";
    request.timeout_ = kTimeout;
    request.expectedId_ = "r1";
    request.headers_.push_back({ kRequestIdHeader, "r1" });
    return request;
}

struct Case
{
    const char *name_;
    EndlessServer::Reply reply_;
};

std::ostream &operator<<(std::ostream &out, const Case &testCase)
{
    return out << testCase.name_;
}

std::vector<Case> endlessReplies()
{
    const std::size_t parts = 1000;
    const std::string head = kHead;
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string line = "X-Filler: yyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n";
    return {
        { "NoHttp", { "", std::string(8000, 'x') } },
        { "Zeros", { "", std::string(8000, '\0') } },
        { "EmptyLines", { "", repeated("\r\n", parts) } },
        { "StatusLine", { "HTTP/1.1 200 ", std::string(8000, 'x') } },
        { "InterimAnswers", { "", repeated("HTTP/1.1 100 Continue\r\n\r\n", parts) } },
        { "InterimHeaders", { "HTTP/1.1 103 Early Hints\r\n", repeated(line, parts) } },
        { "Headers", { head, repeated(line, parts) } },
        { "HeaderValue", { head + "X: ", std::string(8000, 'x') } },
        { "BodyWithoutLength", { head + "\r\n", std::string(8000, 'x') } },
        { "BodyLongerThanTheLimit",
          { head + "Content-Length: 999999999999\r\n\r\n", std::string(8000, 'x') } },
        { "Chunks", { chunked, repeated("5\r\nhello\r\n", parts) } },
        { "ChunkSize", { chunked, std::string(8000, '0') } },
        { "ChunkExtension", { chunked + "5;a=", std::string(8000, 'x') } },
        { "ChunkExtensions", { chunked + "5", repeated(";a=b", parts) } },
        { "Trailers", { chunked + "0\r\n", repeated(line, parts) } },
        { "Trailer", { chunked + "0\r\nX: ", std::string(8000, 'x') } },
        { "SlowBody", { head + "\r\n", "x", 5ms } },
        { "SlowHeaders", { head, "X: y\r\n", 5ms } },
        { "SlowInterimAnswers", { "", "HTTP/1.1 100 Continue\r\n\r\n", 5ms } },
        { "SlowTrailers", { chunked + "0\r\n", "X: y\r\n", 5ms } },
    };
}

class EndlessAnswer : public testing::TestWithParam<Case>
{
protected:
    /// Waits until the server has noticed that its connection is closed.
    static bool waitForClose(const EndlessServer &server, int count)
    {
        const TimePoint end = BootClock::now() + 5s;
        while (server.closedCount() < count && BootClock::now() < end)
            std::this_thread::sleep_for(5ms);
        return server.closedCount() >= count;
    }
};

} // namespace

// Guards against a faulty back end that sends without end: memory that grows until the request's
// timeout, a connection that stays open, a failure that comes late or counts as "not run".
TEST_P(EndlessAnswer, IsBoundedAndFailsByTheTimeout)
{
    EndlessServer server(GetParam().reply_);
    RawServer other([](const std::string &, int) {
        return RawServer::Reply { rawAnswer("r1", "good"), false };
    });
    HttpClientOptions options;
    options.maxAnswerBytes_ = kMaxAnswerBytes;
    HttpClient client(options);
    const std::size_t before = residentBytes();
    std::promise<HttpResult> promise;
    std::future<HttpResult> endless = promise.get_future();
    const TimePoint start = BootClock::now();
    client.post([&] {
        client.start(requestTo(server.url()),
                     [&](HttpResult result) { promise.set_value(std::move(result)); });
    });
    std::size_t peak = before;
    int served = 0;
    while (endless.wait_for(10ms) != std::future_status::ready
           && BootClock::now() < start + kTimeout + kMaxDelay) {
        peak = std::max(peak, residentBytes());
        served += client.fetch(requestTo(other.url())).answer_ ? 1 : 0;
    }
    EXPECT_LT(BootClock::now() - start, kTimeout + kMaxDelay);
    const HttpResult result = endless.get();
    ASSERT_TRUE(result.error_.has_value());
    EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown) << "the request was sent";
    EXPECT_LT(peak - before, kMaxGrowthBytes) << "bytes that the process has grown";
    EXPECT_TRUE(waitForClose(server, 1)) << "the connection must be closed";
    EXPECT_EQ(server.requestCount(), 1);
    const bool hadTime = result.elapsed_ >= kTimeout;
    EXPECT_TRUE(!hadTime || served > 0) << "the client's thread must serve other requests";
    EXPECT_TRUE(client.fetch(requestTo(other.url())).answer_.has_value());
}

INSTANTIATE_TEST_SUITE_P(Replies, EndlessAnswer, testing::ValuesIn(endlessReplies()),
                         [](const auto &info) { return std::string(info.param.name_); });

// Guards against a connection that stays in use although bytes without end follow its answer.
TEST_F(EndlessAnswer, BytesAfterACompleteAnswerCloseItsConnection)
{
    EndlessServer server({ rawAnswer("r1", "whole"), std::string(8000, 'x') });
    HttpClient client({});
    const HttpResult result = client.fetch(requestTo(server.url()));
    ASSERT_TRUE(result.answer_.has_value());
    EXPECT_EQ(result.answer_->body_, "whole");
    EXPECT_TRUE(waitForClose(server, 1));
}

// Guards against an idle connection that stays open while bytes without end arrive on it.
TEST_F(EndlessAnswer, BytesOnAnIdleConnectionCloseIt)
{
    EndlessServer server({ rawAnswer("r1", "whole"), std::string(8000, 'x'), 50ms });
    HttpClient client({});
    ASSERT_TRUE(client.fetch(requestTo(server.url())).answer_.has_value());
    EXPECT_TRUE(waitForClose(server, 1));
}

// Guards against a flood of interim answers that occupies the client's thread until the timeout:
// other requests on the thread would be served late.
TEST_F(EndlessAnswer, AFloodOfInterimAnswersEndsBeforeTheTimeout)
{
    EndlessServer server({ "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 1000) });
    HttpClient client({});
    HttpRequest request = requestTo(server.url());
    request.timeout_ = 20s;
    const HttpResult result = client.fetch(std::move(request));
    ASSERT_TRUE(result.error_.has_value());
    EXPECT_EQ(result.error_->code_, ErrorCode::Malformed) << result.error_->describe();
    EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown);
    EXPECT_TRUE(waitForClose(server, 1));
}

// Guards against a limit of interim answers that rejects the usual number of them.
TEST_F(EndlessAnswer, AFewInterimAnswersPrecedeAnAnswer)
{
    RawServer server([](const std::string &, int) {
        return RawServer::Reply {
            repeated("HTTP/1.1 100 Continue\r\n\r\n", 5) + rawAnswer("r1", "whole"), false
        };
    });
    HttpClient client({});
    EXPECT_TRUE(client.fetch(requestTo(server.url())).answer_.has_value());
}

// Guards against a grant or release that never ends and with it the coordinator's later orders to
// the same back end: the reply has no end, and each repetition arrives long before any timeout.
TEST_F(EndlessAnswer, GrantsAndReleasesHaveATimeout)
{
    EndlessServer server({ "HTTP/1.1 200 OK\r\n\r\n", "x", 5ms });
    const std::string url = server.url();
    const auto port = static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
    EventLoop loop("ranges");
    HttpRangeLink link(loop, nativeRangeProtocol());
    std::promise<RangeOutcome> granted;
    std::promise<RangeOutcome> released;
    loop.post([&] {
        const Address backend { "127.0.0.1", port };
        link.grant(backend, RangeGrantOrder { { 0, 9 }, Epoch { 1 }, 1s, "" }, 0,
                   [&](const RangeReply &reply) { granted.set_value(reply.outcome_); });
        link.release(backend, RangeReleaseOrder { { 0, 9 }, Epoch { 1 } },
                     [&](const RangeReply &reply) { released.set_value(reply.outcome_); });
    });
    EXPECT_EQ(granted.get_future().get(), RangeOutcome::Unanswered);
    EXPECT_EQ(released.get_future().get(), RangeOutcome::Unanswered);
    EXPECT_TRUE(waitForClose(server, 2));
}
