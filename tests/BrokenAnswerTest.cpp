#include "platform/BackendWire.h"
#include "src/backend/HttpRangeLink.h"
#include "src/base/EventLoop.h"
#include "src/base/HttpClient.h"
#include "src/platform/StoreClient.h"
#include "tests/fakes/AnswerProof.h"
#include "tests/fakes/RawServer.h"
#include "tests/fakes/TroubledService.h"

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

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

/// What the client's thread does while the answer arrives and the connection breaks.
enum class ClientThread { Waits, IsBusy };

/// Occupies the thread of @p client until a reply that is sent now has arrived and its connection
/// is reset.
void keepBusy(HttpClient &client)
{
    std::promise<void> isBusy;
    client.post([&isBusy] {
        isBusy.set_value();
        std::this_thread::sleep_for(100ms);
    });
    isBusy.get_future().wait();
}

/// @param body of the request, which is a POST if it has one.
/// @return the result of a request that is answered with @p reply.
HttpResult resultOf(const RawServer::Reply &reply, const SharedBody &body = nullptr,
                    ClientThread thread = ClientThread::Waits)
{
    std::unique_ptr<HttpClient> client;
    RawServer server([&](const std::string &, int) {
        if (thread == ClientThread::IsBusy)
            keepBusy(*client);
        return reply;
    });
    client = std::make_unique<HttpClient>(HttpClientOptions {});
    HttpRequest request;
    request.method_ = body ? "POST" : "GET";
    request.url_ = server.url() + "/x";
    request.body_ = body;
    request.timeout_ = 2s;
    request.idHeader_ = "Pimento-Request-Id";
    request.expectedId_ = "r1";
    HttpResult result = client->fetch(std::move(request));
    client.reset(); // closes its connections, so that the server can end
    return result;
}

RawServer::Reply thenReset(std::string bytes)
{
    RawServer::Reply reply { std::move(bytes) };
    reply.resetsConnection_ = true;
    return reply;
}

/// @return an answer that ends with its connection, which is reset after all of its body.
RawServer::Reply resetAnswer(const std::string &headers, const std::string &body)
{
    return thenReset("HTTP/1.1 200 OK\r\n" + headers + "\r\n" + body);
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
    for (const std::string &sent : { head.substr(0, 20), head, head + body.substr(0, 4) })
        EXPECT_FALSE(resultOf(thenReset(sent)).answer_) << "after " << sent.size() << " bytes";
}

// The kernel reports a reset to the first call that asks. While a request is written, that may be
// the write; the read then sees the end of the stream, as after a regular close.
TEST_P(BrokenAnswer, IsNoAnswerIfItsConnectionIsResetDuringTheUpload)
{
    const std::string &head = GetParam().head_;
    const std::string &body = GetParam().body_;
    std::vector<std::string> parts { "", head.substr(0, 20), head, head + body.substr(0, 4) };
    if (GetParam().name_ == "end")
        parts.push_back(head + body);
    for (const std::string &sent : parts) {
        for (const ClientThread thread : { ClientThread::Waits, ClientThread::IsBusy }) {
            const HttpResult result = resultOf(thenReset(sent), longBody(), thread);
            EXPECT_FALSE(result.answer_) << "after " << sent.size() << " bytes";
            EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown);
        }
    }
}

// Guards against a whole answer that is lost because the rest of the request cannot be sent.
TEST_P(BrokenAnswer, IsAnAnswerIfItWasWholeBeforeTheUploadFailed)
{
    for (const ClientThread thread : { ClientThread::Waits, ClientThread::IsBusy }) {
        for (const bool isReset : { false, true }) {
            RawServer::Reply reply { GetParam().head_ + GetParam().body_ };
            reply.endsStream_ = true;
            reply.resetsConnection_ = isReset;
            const HttpResult result = resultOf(reply, longBody(), thread);
            ASSERT_TRUE(result.answer_) << result.error_->describe();
            EXPECT_EQ(result.answer_->body_, "12345678");
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Framings, BrokenAnswer, testing::ValuesIn(framedAnswers()),
                         [](const auto &framed) { return framed.param.name_; });

TEST(ResetAnswer, OfABackEndDoesNotReachACaller)
{
    for (const SharedBody &body : { SharedBody(), longBody() }) {
        SCOPED_TRACE(body ? "during the upload" : "after the request");
        expectNoReplyReachesACaller(
            [](const std::string &head, int) {
                return resetAnswer(requestIdLine(head) + kProofLine, "half of it");
            },
            body);
    }
}

// Guards against a write that counts as acknowledged although its reply broke off.
TEST(ResetAnswer, OfTheStoreAcknowledgesNoWrite)
{
    for (const std::string &value : { std::string("short"), *longBody() }) {
        RawServer server(
            [](const std::string &, int) { return resetAnswer("", R"({"version":7})"); });
        StoreClientOptions options;
        options.baseUrl_ = server.url();
        options.timeout_ = 2s;
        MetricRegistry metrics;
        StoreClient store(
            options, [](const std::function<void()> &task) { task(); }, metrics);
        std::promise<bool> isAcknowledged;
        store.put({ ObjectKind::Contract, "c" }, value, Version { 6 },
                  [&](const Reply<WriteResult> &reply) {
                      isAcknowledged.set_value(std::holds_alternative<WriteResult>(reply));
                  });
        EXPECT_FALSE(isAcknowledged.get_future().get()) << value.size();
    }
}

// Guards against a back end that counts as alive, or as the owner of a range or its former owner,
// because of a reply that broke off.
TEST(ResetAnswer, OfABackEndConfirmsNothing)
{
    RawServer server([](const std::string &, int) { return resetAnswer("", ""); });
    EXPECT_FALSE(answersProbe(server));
    const Address address { "127.0.0.1", portOf(server) };
    EventLoop loop("ranges");
    auto link = std::make_unique<HttpRangeLink>(loop, platform::rangeProtocol());
    std::promise<RangeOutcome> grant;
    std::promise<RangeOutcome> release;
    loop.post([&] {
        link->grant(address, RangeGrantOrder { { 0, 9 }, Epoch { 1 }, 1s, "" }, 0,
                    [&](const RangeReply &reply) { grant.set_value(reply.outcome_); });
        link->release(address, RangeReleaseOrder { { 0, 9 }, Epoch { 1 } },
                      [&](const RangeReply &reply) { release.set_value(reply.outcome_); });
    });
    EXPECT_EQ(grant.get_future().get(), RangeOutcome::Broken);
    EXPECT_EQ(release.get_future().get(), RangeOutcome::Broken);
    link.reset();
    loop.run([] {}); // by then the link has closed its connections
}
