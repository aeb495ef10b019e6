#include "src/base/HttpClient.h"
#include "tests/fakes/AnswerProof.h"
#include "tests/fakes/RawServer.h"
#include "tests/fakes/TroubledService.h"

#include <string>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";

/// Has lines that would not be allowed in a head.
const std::string kBody = " x\r\n folded: 1\r\n";

/// The way in which the end of a body is marked.
struct Framing
{
    std::string header_;
    std::string body_; ///< as on the wire
};

const Framing kLength { "Content-Length: 16\r\n", kBody };
const Framing kChunks { "Transfer-Encoding: chunked\r\n", "10\r\n" + kBody + "\r\n0\r\n\r\n" };
const Framing kEndOfConnection { "", kBody };
const Framing kFramings[] = { kLength, kChunks, kEndOfConnection };

/// The bytes of which a field's name consists (RFC 9110, 5.6.2: tchar).
const std::string kNameBytes = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                               "abcdefghijklmnopqrstuvwxyz";

/// Lines that name no field, among them such as would frame the body otherwise.
const char *const kMalformedLines[] = {
    " ",
    "\t",
    " continued",
    " X-Name: 1",
    "\tX-Name: 1",
    "X-Name : 1",
    "X Name: 1",
    "X-Name\t: 1",
    "\x01X-Name: 1",
    "X-Name\x7f: 1",
    "\vX-Name: 1",
    ": 1",
    "X-Name",
    " Content-Length: 2",
    "\tContent-Length: 2",
    " \tContent-Length: 2",
    "Content-Length : 2",
    "Content Length: 2",
    "Content-Length\x01: 2",
    " Transfer-Encoding: chunked",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\x7f: chunked",
};

/// @param body of the request, which is a POST if it has one.
/// @return the result of a request that is answered with @p reply.
HttpResult resultOf(const RawServer::Reply &reply, const SharedBody &body = nullptr)
{
    RawServer server([&](const std::string &, int) { return reply; });
    HttpClient client({});
    HttpRequest request;
    request.method_ = body ? "POST" : "GET";
    request.url_ = server.url() + "/x";
    request.body_ = body;
    request.timeout_ = 2s;
    return client.fetch(std::move(request));
}

/// @return a reply that sends @p answer in two parts, the first of @p size bytes.
RawServer::Reply inTwoParts(const std::string &answer, std::size_t size)
{
    RawServer::Reply reply { answer.substr(0, size) };
    reply.unrequested_ = answer.substr(size);
    reply.unrequestedDelay_ = 2ms;
    return reply;
}

} // namespace

// Guards against a line that is passed on, or that hides the field which frames the body, so that
// a caller gets a body that its back end did not send. The client is also that of the store and of
// orders to back ends.
TEST(AnswerHead, WithAMalformedLineIsAFailureOfARequestThatMayHaveRun)
{
    for (const char *line : kMalformedLines) {
        for (const Framing &framing : kFramings) {
            const std::string after = kStatusLine + framing.header_ + "X-Other: 1\r\n" + line
                                      + "\r\n\r\n" + framing.body_;
            const std::string before
                = kStatusLine + line + "\r\n" + framing.header_ + "\r\n" + framing.body_;
            for (const std::string &answer : { before, after }) {
                const HttpResult result = resultOf({ answer, true });
                EXPECT_FALSE(result.answer_) << testing::PrintToString(answer);
                EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown);
            }
        }
    }
}

TEST(AnswerHead, WithANameOfOtherBytesThanATokenIsAFailure)
{
    for (int byte = 0; byte <= 0xff; ++byte) {
        const char character = static_cast<char>(byte);
        const std::string answer = kStatusLine + kLength.header_ + "X-Na" + character + "me: 1"
                                   + "\r\n\r\n" + kLength.body_;
        // A colon ends the name.
        const bool isName = character == ':' || kNameBytes.find(character) != std::string::npos;
        EXPECT_EQ(resultOf({ answer, true }).answer_.has_value(), isName) << byte;
    }
}

// A trailer's fields are passed on too.
TEST(AnswerHead, AMalformedLineInATrailerIsAFailure)
{
    const std::string head = kStatusLine + "Transfer-Encoding: chunked\r\n\r\n";
    for (const char *line : kMalformedLines) {
        for (const char *lastChunk : { "0\r\n", "0;a=b\r\n" }) {
            const std::string answer
                = head + "4\r\nxxxx\r\n" + lastChunk + "X-Other: 1\r\n" + line + "\r\n\r\n";
            EXPECT_FALSE(resultOf({ answer, true }).answer_) << testing::PrintToString(answer);
        }
    }
}

TEST(AnswerHead, WithAMalformedLineIsAFailureDuringTheUpload)
{
    for (const char *line : { " Content-Length: 2", "X Name: 1", "X-Name\x01: 1" }) {
        for (const Framing &framing : kFramings) {
            const HttpResult result = resultOf(
                { kStatusLine + framing.header_ + line + "\r\n\r\n" + framing.body_, true },
                longBody());
            EXPECT_FALSE(result.answer_) << line;
            EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown) << line;
        }
    }
}

TEST(AnswerHead, OfAnInterimAnswerWithAMalformedLineIsAFailure)
{
    for (const char *line : { "X-Other: 1\r\n folded", "X Name: 1", "X-Name\x01: 1" }) {
        const std::string interim = std::string("HTTP/1.1 103 Early Hints\r\n") + line + "\r\n\r\n";
        const std::string answer = interim + kStatusLine + "Content-Length: 0\r\n\r\n";
        EXPECT_FALSE(resultOf({ answer, true }).answer_) << line;
    }
}

// Guards against a fold that is missed because the line break arrives apart from what follows it.
TEST(AnswerHead, WithAFoldedLineIsAFailureHoweverItArrives)
{
    const std::string before = kStatusLine + "X-Other: 1\r\n";
    const std::string answer
        = before + " Content-Length: 2\r\n" + kLength.header_ + "\r\n" + kLength.body_;
    for (std::size_t size = before.size() - 3; size < before.size() + 3; ++size) {
        const HttpResult result = resultOf(inTwoParts(answer, size));
        ASSERT_FALSE(result.answer_) << "after " << size << " bytes";
        EXPECT_EQ(result.error_->code_, ErrorCode::Malformed) << "after " << size << " bytes";
    }
}

// Guards against the beginning of a body that passes as a line of the head.
TEST(AnswerHead, EndsBeforeTheBodyHoweverItArrives)
{
    for (const Framing &framing : { kLength, kChunks }) {
        const std::string head = kStatusLine + framing.header_ + "\r\n";
        for (std::size_t size = head.size() - 5; size < head.size() + 3; ++size) {
            const HttpResult result = resultOf(inTwoParts(head + framing.body_, size));
            ASSERT_TRUE(result.answer_) << "after " << size << " bytes";
            EXPECT_EQ(result.answer_->body_, kBody) << "after " << size << " bytes";
        }
    }
}

// Guards against a check that is too strict.
TEST(AnswerHead, WithUnusualLinesIsAnAnswer)
{
    for (const std::string &line :
         { kNameBytes + ": 1", std::string("X-Empty:"), std::string("X-Blank: \t "),
           std::string("X-Colons::: ::"), std::string("X-Text: a\t b \xc3\xa9") }) {
        for (const Framing &framing : kFramings) {
            const HttpResult result = resultOf(
                { kStatusLine + line + "\r\n" + framing.header_ + "\r\n" + framing.body_, true });
            ASSERT_TRUE(result.answer_) << line;
            EXPECT_EQ(result.answer_->body_, kBody) << line;
        }
    }
}

// Guards against a back end in trouble that counts as alive.
TEST(AnswerHead, WithAMalformedLineIsNoSignOfLife)
{
    for (const char *line : { "X-Other: 1\r\n folded", "X Name: 1", "X-Name\x01: 1" }) {
        RawServer server([&](const std::string &, int) {
            return RawServer::Reply { kStatusLine + line + "\r\nContent-Length: 0\r\n\r\n", true };
        });
        EXPECT_FALSE(answersProbe(server)) << line;
    }
}

TEST(AnswerHead, WithAMalformedLineDoesNotReachACaller)
{
    for (const char *line : { " Content-Length: 2", "X Name: 1", "X-Name\x01: 1" }) {
        SCOPED_TRACE(line);
        expectNoReplyReachesACaller([line](const std::string &head, int) {
            return RawServer::Reply { kStatusLine + requestIdLine(head) + kProofLine
                                          + "X-Other: 1\r\n" + line + "\r\n\r\nbad",
                                      true };
        });
    }
}
