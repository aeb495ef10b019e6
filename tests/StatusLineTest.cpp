#include "src/base/HttpClient.h"
#include "tests/fakes/AnswerProof.h"
#include "tests/fakes/RawServer.h"
#include "tests/fakes/TroubledService.h"

#include <string>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// What a client makes of the answer that begins with a status line.
enum class Expected {
    Answer, ///< a whole answer
    Failure, ///< no answer: the request may have run, and the caller gets 502
};

struct StatusLineRow
{
    const char *line_;
    Expected expected_;
    int status_ = 0; ///< of the answer
};

const StatusLineRow kRows[] = {
    { "HTTP/1.1 200 OK", Expected::Answer, 200 },
    { "HTTP/1.1 200 ", Expected::Answer, 200 }, // the reason may be empty
    { "HTTP/1.0 200 OK", Expected::Answer, 200 },
    { "HTTP/1.1 299 Unusual", Expected::Answer, 299 },
    { "HTTP/1.1 404 Not Found", Expected::Answer, 404 },
    { "HTTP/1.1 599 Unusual", Expected::Answer, 599 },
    { "HTTP/1.1 000 None", Expected::Failure },
    { "HTTP/1.1 001 One", Expected::Failure },
    { "HTTP/1.1 099 Low", Expected::Failure },
    { "HTTP/1.1 100 Continue", Expected::Failure }, // with a body
    { "HTTP/1.1 101 Switching Protocols", Expected::Failure },
    { "HTTP/1.1 199 Interim", Expected::Failure }, // with a body
    { "HTTP/1.1 600 High", Expected::Failure },
    { "HTTP/1.1 999 High", Expected::Failure },
    { "HTTP/1.1 -200 OK", Expected::Failure },
    { "HTTP/1.1 +200 OK", Expected::Failure },
    { "HTTP/1.1 -20 OK", Expected::Failure },
    { "HTTP/1.1 +20 OK", Expected::Failure },
    { "HTTP/1.1  200 OK", Expected::Failure },
    { "HTTP/1.1 20 OK", Expected::Failure },
    { "HTTP/1.1 2 00 OK", Expected::Failure },
    { "HTTP/1.1 200", Expected::Failure }, // the blank before the reason is not optional
    { "HTTP/1.1 2000 OK", Expected::Failure },
    { "HTTP/1.1 0200 OK", Expected::Failure },
    { "HTTP/1.1 20x OK", Expected::Failure },
    { "HTTP/1.1 OK", Expected::Failure },
    { "HTTP/1.1", Expected::Failure },
    { " HTTP/1.1 200 OK", Expected::Failure },
    { "HTTP/0.9 200 OK", Expected::Failure },
    { "HTTP/2.0 200 OK", Expected::Failure },
    { "<html>HTTP/0.9 has no status line</html>", Expected::Failure },
    { "PRI * HTTP/2.0", Expected::Failure },
};

constexpr std::size_t kBodySize = 4;
const std::string kBody(kBodySize, 'x');

/// How the end of a body is marked.
enum class Framing { Length, EndOfConnection };

/// @return an answer to the request with @p head.
std::string answerWith(const std::string &statusLine, const std::string &head,
                       Framing framing = Framing::Length)
{
    const std::string length
        = framing == Framing::Length ? "Content-Length: " + std::to_string(kBodySize) + "\r\n" : "";
    return statusLine + "\r\n" + requestIdLine(head) + kProofLine + length + "\r\n" + kBody;
}

HttpResult fetchFrom(const RawServer &server)
{
    HttpClient client({});
    HttpRequest request;
    request.url_ = server.url() + "/x";
    request.timeout_ = 2s;
    return client.fetch(std::move(request));
}

} // namespace

// Guards against a reply of a peer in trouble that passes as its answer. The client is also that of
// the store and of health checks.
TEST(StatusLine, OfNoFinalAnswerIsAFailureOfARequestThatMayHaveRun)
{
    for (const StatusLineRow &row : kRows) {
        for (const Framing framing : { Framing::Length, Framing::EndOfConnection }) {
            RawServer server([&](const std::string &head, int) {
                return RawServer::Reply { answerWith(row.line_, head, framing), true };
            });
            const HttpResult result = fetchFrom(server);
            EXPECT_EQ(result.answer_.has_value(), row.expected_ == Expected::Answer) << row.line_;
            if (result.answer_) {
                EXPECT_EQ(result.answer_->status_, row.status_) << row.line_;
            } else {
                EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown) << row.line_;
            }
        }
    }
}

// Guards against a back end in trouble that counts as alive: a probe takes each answer for a sign
// of life.
TEST(StatusLine, OfNoFinalAnswerIsNoSignOfLife)
{
    for (const StatusLineRow &row : kRows) {
        RawServer server([&](const std::string &head, int) {
            return RawServer::Reply { answerWith(row.line_, head, Framing::EndOfConnection), true };
        });
        EXPECT_EQ(answersProbe(server), row.expected_ == Expected::Answer) << row.line_;
    }
}

// Guards against a final answer that is lost because an interim one without a body precedes it.
TEST(StatusLine, OfAnInterimAnswerIsSkipped)
{
    for (const char *line : { "HTTP/1.1 100 Continue", "HTTP/1.1 102 Processing",
                              "HTTP/1.1 103 Early Hints", "HTTP/1.1 199 Interim" }) {
        RawServer server([&](const std::string &head, int) {
            return RawServer::Reply { std::string(line) + "\r\n\r\n"
                                      + answerWith("HTTP/1.1 200 OK", head) };
        });
        const HttpResult result = fetchFrom(server);
        ASSERT_TRUE(result.answer_) << line;
        EXPECT_EQ(result.answer_->status_, 200) << line;
        EXPECT_EQ(result.answer_->body_, kBody) << line;
    }
}

// Guards against the body of an interim answer, which has none, that passes as the final answer.
TEST(StatusLine, InABodyIsNoAnswer)
{
    for (const char *line : { "HTTP/1.1 100 Continue", "HTTP/1.1 199 Interim" }) {
        RawServer server([&](const std::string &head, int) {
            const std::string body = answerWith("HTTP/1.1 200 OK", head);
            return RawServer::Reply {
                std::string(line) + "\r\nContent-Length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body,
                true,
            };
        });
        EXPECT_FALSE(fetchFrom(server).answer_) << line;
    }
}

// Guards against a caller that gets such a reply, or is told that the request has not run; and
// against an idempotent request that is not repeated although another back end would answer it.
TEST(StatusLine, OfNoFinalAnswerDoesNotReachACaller)
{
    for (const char *line : { "HTTP/1.1 000 None", "HTTP/1.1 101 Switching Protocols",
                              "HTTP/1.1 600 High", "HTTP/1.1 2000 OK" }) {
        SCOPED_TRACE(line);
        expectNoReplyReachesACaller([line](const std::string &head, int) {
            return RawServer::Reply { answerWith(line, head), true };
        });
    }
}
