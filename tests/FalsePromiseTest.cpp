#include "pimentostage/caller/Refusal.h"
#include "platform/CallerWire.h"
#include "tests/fakes/AnswerProof.h"
#include "tests/fakes/RawServer.h"
#include "tests/fakes/TroubledService.h"

#include <string>
#include <variant>

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

constexpr int kBadGateway = 502;

/// Status lines by which a caller is told that its request has not run and will not run.
constexpr const char *kPromises[]
    = { "HTTP/1.1 408 Request Timeout", "HTTP/1.1 429 Too Many Requests",
        "HTTP/1.1 503 Service Unavailable" };

/// @return an answer of a back end that has run the request with @p head.
RawServer::Reply afterWork(const std::string &statusLine, const std::string &head)
{
    return { statusLine + "\r\n" + requestIdLine(head) + kProofLine
             + "Retry-After: 0.1\r\nContent-Length: 6\r\n\r\nfailed" };
}

/// @return the status that a caller gets for @p result, or 0 if the request was answered.
int statusOf(const ForwardResult &result)
{
    const auto *giveUp = std::get_if<GiveUp>(&result);
    if (!giveUp)
        return 0;
    return platform::callerProtocol().encodeRefusal_(refusalFor(*giveUp), RequestId("r")).status_;
}

} // namespace

// Guards against a request that runs twice: a back end failed it after its work with a status that
// tells the caller that it has not run, and the caller sent it again.
TEST(FalsePromise, OfABackEndDoesNotReachACaller)
{
    for (const char *line : kPromises) {
        SCOPED_TRACE(line);
        expectNoReplyReachesACaller(
            [line](const std::string &head, int) { return afterWork(line, head); });
    }
}

// Guards against a refusal that promises the same in this host's own name.
TEST(FalsePromise, IsAFailureThatPromisesNothingForTheCaller)
{
    for (const char *line : kPromises) {
        SCOPED_TRACE(line);
        TroubledService service(
            [line](const std::string &head, int) { return afterWork(line, head); });
        int failed = 0;
        for (int i = 0; i < 8; ++i) {
            const int status = statusOf(service.forward("r" + std::to_string(i), false, nullptr));
            failed += status == kBadGateway ? 1 : 0;
            EXPECT_TRUE(status == 0 || status == kBadGateway) << status;
        }
        EXPECT_GE(failed, 1);
        EXPECT_EQ(failed, service.troubled_.requestCount()) << "none was repeated";
        // On call only has the log to tell such an answer from one that broke off.
        EXPECT_EQ(service.log_.count({ "attempt-failed", "undeclared", "\"status\":" }),
                  static_cast<std::size_t>(failed));
    }
}

// Guards against a true rejection that becomes a failure: the caller of an unsafe request could not
// send it again.
TEST(FalsePromise, IsNotWhatABackEndDeclares)
{
    for (const char *line : kPromises) {
        SCOPED_TRACE(line);
        TroubledService service([line](const std::string &head, int) {
            return RawServer::Reply { std::string(line) + "\r\n" + requestIdLine(head)
                                      + "Pimentostage-Not-Executed: 1\r\n"
                                        "Content-Length: 0\r\n\r\n" };
        });
        for (int i = 0; i < 4; ++i)
            EXPECT_EQ(statusOf(service.forward("r" + std::to_string(i), false, nullptr)), 0);
        EXPECT_GE(service.troubled_.requestCount(), 1);
        EXPECT_EQ(service.good_.requestCount(), 4) << "another back end ran each";
    }
}
