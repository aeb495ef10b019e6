#include "src/backend/BackendProtocol.h"
#include "src/base/BeastServer.h"
#include "src/base/HttpLoop.h"
#include "src/base/PistacheServer.h"
#include "tests/fakes/RawServer.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Lets the system choose, so that tests may run beside each other.
constexpr std::uint16_t kAnyPort = 0;

HttpRequest post(const RawServer &server, const std::string &id)
{
    HttpRequest request;
    request.method_ = "POST";
    request.url_ = server.url() + "/deposits";
    request.timeout_ = 2s;
    request.expectedId_ = id;
    request.headers_.push_back({ kRequestIdHeader, id });
    return request;
}

TEST(HttpLoop, DoesNotSendAgainWhenAReusedConnectionBreaks)
{
    RawServer server([](const std::string &, int number) {
        if (number == 1)
            return RawServer::Reply { rawAnswer("r1", "first"), false };
        return RawServer::Reply { "", true };
    });
    HttpLoop loop({});
    ASSERT_TRUE(loop.fetch(post(server, "r1")).answer_.has_value());
    const HttpResult broken = loop.fetch(post(server, "r2"));
    EXPECT_FALSE(broken.answer_.has_value());
    EXPECT_EQ(outcomeOf(broken.state_), Outcome::Unknown);
    EXPECT_EQ(server.requests(), 2) << "the second request was sent once";
}

TEST(HttpLoop, RefusesAnAnswerToAnotherRequestAndClosesItsConnection)
{
    RawServer server([](const std::string &, int number) {
        return RawServer::Reply { rawAnswer(number == 1 ? "other" : "r2", "text"), false };
    });
    HttpLoop loop({});
    const HttpResult crossed = loop.fetch(post(server, "r1"));
    ASSERT_TRUE(crossed.error_.has_value());
    EXPECT_EQ(crossed.error_->code_, ErrorCode::Mismatch);
    EXPECT_EQ(judge(crossed).failure_, AttemptFailure::Mismatched);
    EXPECT_TRUE(loop.fetch(post(server, "r2")).answer_.has_value()) << "on a new connection";
}

TEST(HttpLoop, RefusesAShortAnswer)
{
    RawServer server([](const std::string &, int) {
        const std::string whole = rawAnswer("r1", "a whole answer");
        return RawServer::Reply { whole.substr(0, whole.size() - 3), true };
    });
    HttpLoop loop({});
    const HttpResult result = loop.fetch(post(server, "r1"));
    EXPECT_FALSE(result.answer_.has_value());
    EXPECT_EQ(result.state_, AttemptState::Sent);
}

TEST(HttpLoop, RefusesRubbish)
{
    RawServer server([](const std::string &, int) {
        return RawServer::Reply { "SMTP ready\r\n\r\n", true };
    });
    HttpLoop loop({});
    const HttpResult result = loop.fetch(post(server, "r1"));
    ASSERT_TRUE(result.error_.has_value());
    EXPECT_EQ(result.error_->peer_.kind_, PeerKind::Backend);
    EXPECT_NE(result.error_->describe().find(server.url()), std::string::npos);
}

TEST(HttpLoop, KnowsThatNothingWasSentIfItCannotConnect)
{
    HttpLoop loop({});
    HttpRequest request;
    request.url_ = "http://127.0.0.1:9/";
    const HttpResult result = loop.fetch(request);
    EXPECT_EQ(result.state_, AttemptState::NotSent);
    EXPECT_EQ(result.error_->step_, Step::Connect);
    EXPECT_EQ(judge(result).failure_, AttemptFailure::ConnectFailed);
}

TEST(HttpLoop, SendsNothingOnceTheLeaseHasEnded)
{
    RawServer server([](const std::string &, int) {
        return RawServer::Reply { rawAnswer("r1", "x"), false };
    });
    HttpLoop loop({});
    HttpRequest request = post(server, "r1");
    request.maySend_ = [] { return false; };
    const HttpResult result = loop.fetch(request);
    EXPECT_EQ(result.state_, AttemptState::NotSent);
    EXPECT_EQ(judge(result).failure_, AttemptFailure::StaleEpoch);
    EXPECT_EQ(server.requests(), 0);
    request.maySend_ = [] { return true; };
    EXPECT_TRUE(loop.fetch(request).answer_.has_value());
}

TEST(HttpLoop, ATimeoutAfterSendingIsUnknown)
{
    RawServer server([](const std::string &, int) { return RawServer::Reply {}; });
    HttpLoop loop({});
    HttpRequest request = post(server, "r1");
    request.timeout_ = 100ms;
    const HttpResult result = loop.fetch(request);
    EXPECT_EQ(judge(result).failure_, AttemptFailure::TimedOut);
    EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown);
}

/// A server that answers with the path.
template <typename Server>
class HttpServerTest : public testing::Test
{
protected:
    void SetUp() override { ASSERT_TRUE(start(server_, kAnyPort)); }
    void TearDown() override { server_.stop(); }

    static bool start(HttpServer &server, std::uint16_t port, std::string *error = nullptr)
    {
        HttpServerOptions options;
        options.address_ = Address { "127.0.0.1", port };
        options.threads_ = 1;
        options.mostRequestBytes_ = 4096;
        return valueOr(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(server.start(options, [] {
                    return [](const ServerRequest &request,
                              const std::shared_ptr<HttpResponder> &responder) {
                        std::shared_ptr<void> &context = request.connection_->context_;
                        if (!context)
                            context = std::make_shared<int>(0);
                        int &count = *std::static_pointer_cast<int>(context);
                        ++count;
                        const std::string body
                            = request.path() == "/count" ? std::to_string(count) : request.path();
                        responder->send(ServerAnswer { 200, "text/plain", {}, body });
                    };
                }));
                return true;
            },
            [&](const Error &failure) {
                if (error)
                    *error = failure.describe();
                return false;
            });
    }

    /// Sends bytes on a connection of their own, reads what comes first, and closes it.
    std::string ask(const std::string &bytes)
    {
        namespace asio = boost::asio;
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), server_.port() });
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        std::string answer(4096, '\0');
        answer.resize(socket.read_some(asio::buffer(answer), ignored));
        return answer;
    }

    /// Sends bytes on a connection of their own and hangs up.
    void send(const std::string &bytes)
    {
        namespace asio = boost::asio;
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address_v4("127.0.0.1"), server_.port() });
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    bool isServing()
    {
        HttpLoop loop({});
        HttpRequest request;
        request.url_ = "http://127.0.0.1:" + std::to_string(server_.port()) + "/ok";
        const HttpResult result = loop.fetch(request);
        return result.answer_ && result.answer_->body_ == "/ok";
    }

    Server server_;
};

using Servers = testing::Types<BeastServer, PistacheServer>;
TYPED_TEST_SUITE(HttpServerTest, Servers);

TYPED_TEST(HttpServerTest, AnswersBadRequestsAndGoesOn)
{
    for (const std::string &bytes :
         { std::string("NONSENSE\r\n\r\n"), std::string("GET\r\n\r\n"),
           std::string("GET / HTTP/9.9\r\n\r\n"), std::string("\r\n\r\n\r\n"),
           std::string("POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n"),
           "GET / HTTP/1.1\r\nX: " + std::string(8000, 'x') + "\r\n\r\n",
           std::string("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"),
           std::string("GET /half"), std::string(3000, '\0') }) {
        this->send(bytes);
        ASSERT_TRUE(this->isServing()) << bytes.substr(0, 40);
    }
}

TYPED_TEST(HttpServerTest, SaysThatARequestIsTooLarge)
{
    const std::string answer
        = this->ask("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(20'000, 'x'));
    EXPECT_NE(answer.find(" 413 "), std::string::npos) << answer.substr(0, 60);
}

TYPED_TEST(HttpServerTest, NamesTheAddressThatIsInUse)
{
    TypeParam second;
    std::string error;
    EXPECT_FALSE(this->start(second, this->server_.port(), &error));
    EXPECT_NE(error.find("listen"), std::string::npos);
    EXPECT_NE(error.find("127.0.0.1:" + std::to_string(this->server_.port())), std::string::npos);
}

TYPED_TEST(HttpServerTest, KeepsWhatBelongsToAConnectionWithIt)
{
    const auto count = [this](HttpLoop &loop) {
        HttpRequest request;
        request.url_ = "http://127.0.0.1:" + std::to_string(this->server_.port()) + "/count";
        const HttpResult result = loop.fetch(request);
        return result.answer_ ? result.answer_->body_ : "";
    };
    HttpLoop first({});
    HttpLoop second({});
    EXPECT_EQ(count(first), "1");
    EXPECT_EQ(count(first), "2");
    EXPECT_EQ(count(second), "1");
}

TYPED_TEST(HttpServerTest, TakesAFreePortBesideAnotherServer)
{
    TypeParam second;
    ASSERT_TRUE(this->start(second, kAnyPort));
    EXPECT_NE(second.port(), 0);
    EXPECT_NE(second.port(), this->server_.port());
    second.stop();
    EXPECT_EQ(second.port(), 0);
}

TYPED_TEST(HttpServerTest, KeepsConnectionsOpen)
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string answer = this->ask(request);
    EXPECT_EQ(answer.find("Connection: Close"), std::string::npos);
    EXPECT_NE(answer.find("Keep-Alive"), std::string::npos);
}

} // namespace
