#include "src/base/HttpClient.h"
#include "tests/fakes/RawServer.h"

#include <future>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

std::string answer(int status, const std::string &headers, const std::string &body = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpRequest get(const RawServer &server)
{
    HttpRequest request;
    request.url_ = server.url() + "/x";
    request.timeout_ = 2s;
    return request;
}

// Guards against bytes that arrived on an idle connection while the thread was busy, and were taken
// as the answer to the next request; answers to grants and health checks have no id.
TEST(HttpClientIdle, BytesThatArrivedBeforeARequestAreNotItsAnswer)
{
    RawServer server([](const std::string &, int number) {
        if (number == 1)
            return RawServer::Reply { answer(200, "", "first"), false, "",
                                      answer(200, "", "unrequested"), 50ms };
        return RawServer::Reply { answer(200, "", "second") };
    });
    HttpClient client({});
    ASSERT_TRUE(client.fetch(get(server)).answer_);
    std::promise<HttpResult> second;
    client.post([&] {
        std::this_thread::sleep_for(250ms);
        client.start(get(server), [&](HttpResult result) { second.set_value(std::move(result)); });
    });
    const HttpResult result = second.get_future().get();
    ASSERT_TRUE(result.answer_);
    EXPECT_EQ(result.answer_->body_, "second");
}

// As above, where the next request is already waiting for the connection when the answer before it
// is read.
TEST(HttpClientIdle, BytesThatArrivedBeforeAWaitingRequestAreNotItsAnswer)
{
    RawServer server([](const std::string &, int number) {
        if (number == 1)
            return RawServer::Reply { answer(200, "", "first"), false, "",
                                      answer(200, "", "unrequested"), 50ms };
        return RawServer::Reply { answer(200, "", "second") };
    });
    HttpClientOptions options;
    options.connectionsPerPeer_ = 1;
    HttpClient client(options);
    std::promise<std::string> second;
    client.post([&] {
        client.start(get(server), [](const HttpResult &) {
            // The bytes arrive while this callback runs.
            std::this_thread::sleep_for(250ms);
        });
        client.start(get(server), [&](const HttpResult &result) {
            second.set_value(result.answer_ ? result.answer_->body_ : "no answer");
        });
    });
    EXPECT_EQ(second.get_future().get(), "second");
}

// Guards against the same where the bytes are still in the socket when the answer before them is
// complete, because the answer fills a whole read.
TEST(HttpClientIdle, BytesBehindAnAnswerThatFillsAReadAreNotTheNextAnswer)
{
    constexpr std::size_t kReadSize = 8192;
    std::string first = answer(200, "", std::string(kReadSize / 2, 'x'));
    first = answer(200, "", std::string(kReadSize + kReadSize / 2 - first.size(), 'x'));
    ASSERT_EQ(first.size(), kReadSize);
    RawServer server([&](const std::string &, int number) {
        if (number == 1)
            return RawServer::Reply { first + answer(200, "", "unrequested") };
        return RawServer::Reply { answer(200, "", "second") };
    });
    HttpClientOptions options;
    options.connectionsPerPeer_ = 1;
    HttpClient client(options);
    std::promise<std::string> second;
    client.post([&] {
        client.start(get(server), [](const HttpResult &) {});
        client.start(get(server), [&](const HttpResult &result) {
            second.set_value(result.answer_ ? result.answer_->body_ : "no answer");
        });
    });
    EXPECT_EQ(second.get_future().get(), "second");
}

// Guards against a request whose outcome is unknown: the peer closed the idle connection while the
// thread was busy, and the request was sent on it.
TEST(HttpClientIdle, AConnectionThatThePeerClosedIsNotUsed)
{
    RawServer server([](const std::string &, int number) {
        return RawServer::Reply { answer(200, "", "text"), number == 1 };
    });
    HttpClient client({});
    std::promise<HttpResult> second;
    client.post([&] {
        client.start(get(server), [&](const HttpResult &) {
            std::this_thread::sleep_for(100ms);
            client.start(get(server),
                         [&](HttpResult result) { second.set_value(std::move(result)); });
        });
    });
    EXPECT_TRUE(second.get_future().get().answer_);
}

} // namespace
