#include "src/base/EventLoop.h"
#include "src/base/HttpClient.h"
#include "tests/fakes/RawServer.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nPimento-Request-Id: r1\r\nX-Other: 1\r\n";

/// An answer, by the way in which its end is marked.
struct FramedAnswer
{
    std::string name_;
    std::string head_;
    std::string body_; ///< as on the wire
};

std::vector<FramedAnswer> framedAnswers()
{
    return {
        { "length", kHead + "Content-Length: 8\r\n\r\n", "12345678" },
        { "chunks", kHead + "Transfer-Encoding: chunked\r\n\r\n",
          "4\r\n1234\r\n4\r\n5678\r\n0\r\n\r\n" },
        { "end", kHead + "\r\n", "12345678" },
    };
}

/// @return the result of a request that is answered with @p reply.
HttpResult resultOf(const RawServer::Reply &reply)
{
    RawServer server([&](const std::string &, int) { return reply; });
    HttpClient client({});
    HttpRequest request;
    request.method_ = "GET";
    request.url_ = server.url() + "/x";
    request.timeout_ = 2s;
    request.idHeader_ = "Pimento-Request-Id";
    request.expectedId_ = "r1";
    return client.fetch(std::move(request));
}

class BrokenAnswer : public testing::TestWithParam<FramedAnswer>
{ };

} // namespace

// A back end stops within its answer and closes the connection. Whatever the caller gets must not
// look like a whole answer: not an empty one, not a short one. Only the end of a connection that
// frames a body cannot be told from a break; a reset can.
TEST_P(BrokenAnswer, IsNoAnswerWhereverItBreaksOff)
{
    const std::string whole = GetParam().head_ + GetParam().body_;
    const bool isFramedByEnd = GetParam().name_ == "end";
    const std::size_t end = isFramedByEnd ? GetParam().head_.size() : whole.size();
    for (std::size_t size = 0; size < end; ++size) {
        const HttpResult result = resultOf({ whole.substr(0, size), true });
        EXPECT_FALSE(result.answer_) << "after " << size << " bytes";
    }
    const HttpResult result = resultOf({ whole, true });
    ASSERT_TRUE(result.answer_);
    EXPECT_EQ(result.answer_->body_, "12345678");
}

TEST_P(BrokenAnswer, IsNoAnswerIfItsConnectionIsReset)
{
    const std::string &head = GetParam().head_;
    const std::string &body = GetParam().body_;
    for (const std::string &sent : { head.substr(0, 20), head, head + body.substr(0, 4) }) {
        RawServer::Reply reply { sent };
        reply.resetsConnection_ = true;
        EXPECT_FALSE(resultOf(reply).answer_) << "after " << sent.size() << " bytes";
    }
}

INSTANTIATE_TEST_SUITE_P(Framings, BrokenAnswer, testing::ValuesIn(framedAnswers()),
                         [](const auto &framed) { return framed.param.name_; });
