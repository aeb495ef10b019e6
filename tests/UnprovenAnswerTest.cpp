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

/// @return a whole answer to the request with @p head, which bears no proof.
RawServer::Reply unproven(const std::string &statusLine, const std::string &head)
{
    return { statusLine + "\r\n" + requestIdLine(head) + "Content-Length: 5\r\n\r\nwrong" };
}

} // namespace

// Guards against bytes of a back end in trouble that pass as a success: a whole answer with the
// request's id, but without the back end's proof.
TEST(UnprovenAnswer, DoesNotReachACallerAsASuccess)
{
    for (const char *line : { "HTTP/1.1 200 OK", "HTTP/1.1 201 Created", "HTTP/1.1 299 Unusual" }) {
        SCOPED_TRACE(line);
        expectNoReplyReachesACaller(
            [line](const std::string &head, int) { return unproven(line, head); });
    }
}

// Guards against a success that also states that the request has not run: one of both is untrue,
// so that a request which may run only once must not be repeated.
TEST(UnprovenAnswer, ThatDeclaresNotRunIsNeitherASuccessNorARejection)
{
    expectNoReplyReachesACaller([](const std::string &head, int) {
        return RawServer::Reply { "HTTP/1.1 200 OK\r\n" + requestIdLine(head) + kProofLine
                                  + "Pimentostage-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    });
}

// Guards against a caller that is told that such a request has not run.
TEST(UnprovenAnswer, IsAnUnusableAnswerForTheCaller)
{
    TroubledService service(
        [](const std::string &head, int) { return unproven("HTTP/1.1 200 OK", head); });
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        const ForwardResult result = service.forward("r" + std::to_string(i), false, nullptr);
        const auto *giveUp = std::get_if<GiveUp>(&result);
        if (!giveUp)
            continue;
        ++refused;
        EXPECT_EQ(giveUp->reason_, GiveUpReason::AnswerBroken);
        const ServerAnswer answer
            = platform::callerProtocol().encodeRefusal_(refusalFor(*giveUp), RequestId("r"));
        EXPECT_EQ(answer.status_, kBadGateway);
    }
    EXPECT_GE(refused, 1);
}
