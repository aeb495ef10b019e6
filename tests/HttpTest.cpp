#include "src/backend/BackendProtocol.h"
#include "src/base/BeastServer.h"
#include "src/base/HttpClient.h"
#include "src/base/PistacheServer.h"
#include "tests/fakes/BeastServerFixture.h"
#include "tests/fakes/RawServer.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

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

TEST(HttpClient, DoesNotRetryWhenAReusedConnectionBreaks)
{
    RawServer server([](const std::string &, int number) {
        if (number == 1)
            return RawServer::Reply { rawAnswer("r1", "first"), false };
        return RawServer::Reply { "", true };
    });
    HttpClient client({});
    ASSERT_TRUE(client.fetch(post(server, "r1")).answer_.has_value());
    const HttpResult broken = client.fetch(post(server, "r2"));
    EXPECT_FALSE(broken.answer_.has_value());
    EXPECT_EQ(outcomeOf(broken.state_), Outcome::Unknown);
    EXPECT_EQ(server.requestCount(), 2) << "the second request must be sent once";
}

TEST(HttpClient, RejectsAnAnswerToAnotherRequestAndClosesItsConnection)
{
    RawServer server([](const std::string &, int number) {
        return RawServer::Reply { rawAnswer(number == 1 ? "other" : "r2", "text"), false };
    });
    HttpClient client({});
    const HttpResult mismatched = client.fetch(post(server, "r1"));
    ASSERT_TRUE(mismatched.error_.has_value());
    EXPECT_EQ(mismatched.error_->code_, ErrorCode::Mismatch);
    EXPECT_EQ(interpretResult(mismatched).failure_, AttemptFailure::Mismatched);
    EXPECT_TRUE(server.waitForClosedConnections(1));
    EXPECT_TRUE(client.fetch(post(server, "r2")).answer_.has_value()) << "on a new connection";
}

TEST(HttpClient, RejectsATruncatedAnswer)
{
    RawServer server([](const std::string &, int) {
        const std::string whole = rawAnswer("r1", "a whole answer");
        return RawServer::Reply { whole.substr(0, whole.size() - 3), true };
    });
    HttpClient client({});
    const HttpResult result = client.fetch(post(server, "r1"));
    EXPECT_FALSE(result.answer_.has_value());
    EXPECT_EQ(result.state_, AttemptState::Sent);
}

TEST(HttpClient, RejectsAnAnswerThatIsNotHttp)
{
    RawServer server([](const std::string &, int) {
        return RawServer::Reply { "SMTP ready\r\n\r\n", true };
    });
    HttpClient client({});
    const HttpResult result = client.fetch(post(server, "r1"));
    ASSERT_TRUE(result.error_.has_value());
    EXPECT_EQ(result.error_->peer_.kind_, PeerKind::Backend);
    EXPECT_NE(result.error_->describe().find(server.url()), std::string::npos);
}

TEST(HttpClient, ReportsNotSentIfItCannotConnect)
{
    HttpClient client({});
    HttpRequest request;
    request.url_ = "http://127.0.0.1:9/";
    const HttpResult result = client.fetch(request);
    EXPECT_EQ(result.state_, AttemptState::NotSent);
    EXPECT_EQ(result.error_->step_, Step::Connect);
    EXPECT_EQ(interpretResult(result).failure_, AttemptFailure::Gone);
}

// A back end that is full resets connections. Guards against an unknown outcome, which forbids a
// repetition of most kinds of request, although not a byte was sent.
TEST(HttpClient, ReportsNotSentIfTheConnectionWasResetBeforeTheFirstByte)
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    HttpClient client({});
    HttpRequest request;
    request.method_ = "POST";
    request.url_ = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
    // Called on the client's thread once it is connected.
    request.maySend_ = [&] {
        asio::ip::tcp::socket accepted = acceptor.accept();
        accepted.set_option(asio::socket_base::linger(true, 0));
        accepted.close();
        return true;
    };
    const HttpResult result = client.fetch(request);
    ASSERT_TRUE(result.error_.has_value());
    EXPECT_EQ(result.state_, AttemptState::NotSent) << result.error_->describe();
    EXPECT_EQ(interpretResult(result).failure_, AttemptFailure::Full);
}

// Guards against one failure for all: a full back end was ejected like a broken one, and a back
// end that breaks off its answers must still be.
TEST(HttpClient, TellsAClosedConnectionFromABrokenAnswer)
{
    struct Case
    {
        RawServer::Reply reply_;
        AttemptFailure failure_;
    };
    const std::vector<Case> cases {
        { { .bytes_ = "", .closesConnection_ = true }, AttemptFailure::Full },
        { { .bytes_ = "", .resetsConnection_ = true }, AttemptFailure::Full },
        { { .bytes_ = "HTTP/1.1 200 OK\r\n", .resetsConnection_ = true }, AttemptFailure::Broken },
        { { .bytes_ = "H", .resetsConnection_ = true }, AttemptFailure::Broken },
        { { .bytes_ = "HTTP/1.1 100 Continue\r\n\r\n", .resetsConnection_ = true },
          AttemptFailure::Broken },
    };
    for (const Case &row : cases) {
        RawServer server([&](const std::string &, int) { return row.reply_; });
        HttpClient client({});
        const HttpResult result = client.fetch(post(server, "r1"));
        EXPECT_EQ(result.state_, AttemptState::Sent) << row.reply_.bytes_;
        EXPECT_EQ(interpretResult(result).failure_, row.failure_) << row.reply_.bytes_;
    }
}

TEST(HttpClient, SendsNothingOnceTheLeaseHasExpired)
{
    RawServer server([](const std::string &, int) {
        return RawServer::Reply { rawAnswer("r1", "x"), false };
    });
    HttpClient client({});
    HttpRequest request = post(server, "r1");
    request.maySend_ = [] { return false; };
    const HttpResult result = client.fetch(request);
    EXPECT_EQ(result.state_, AttemptState::NotSent);
    EXPECT_EQ(interpretResult(result).failure_, AttemptFailure::StaleEpoch);
    EXPECT_EQ(server.requestCount(), 0);
    request.maySend_ = [] { return true; };
    EXPECT_TRUE(client.fetch(request).answer_.has_value());
}

TEST(HttpClient, ATimeoutAfterSendingHasAnUnknownOutcome)
{
    RawServer server([](const std::string &, int) { return RawServer::Reply {}; });
    HttpClient client({});
    HttpRequest request = post(server, "r1");
    request.timeout_ = 100ms;
    const HttpResult result = client.fetch(request);
    EXPECT_EQ(interpretResult(result).failure_, AttemptFailure::TimedOut);
    EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown);
}

/// A server that answers with the request's path or, for /count, with the number of requests on the
/// connection.
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
        options.maxRequestBytes_ = 4096;
        return valueOr(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(server.start(options, [] {
                    return [](const ServerRequest &request,
                              const std::shared_ptr<HttpResponder> &responder) {
                        std::shared_ptr<void> &state = request.connection_->handlerState_;
                        if (!state)
                            state = std::make_shared<int>(0);
                        int &count = *std::static_pointer_cast<int>(state);
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

    /// Sends @p bytes on a new connection and closes it.
    /// @return the result of the first read.
    std::string exchange(const std::string &bytes)
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

    /// Sends @p bytes on a new connection and closes it without reading.
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
        HttpClient client({});
        HttpRequest request;
        request.url_ = "http://127.0.0.1:" + std::to_string(server_.port()) + "/ok";
        const HttpResult result = client.fetch(request);
        return result.answer_ && result.answer_->body_ == "/ok";
    }

    Server server_;
};

using Servers = testing::Types<BeastServer, PistacheServer>;
TYPED_TEST_SUITE(HttpServerTest, Servers);

TYPED_TEST(HttpServerTest, KeepsServingAfterMalformedRequests)
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

TYPED_TEST(HttpServerTest, Answers413IfARequestIsTooLarge)
{
    const std::string answer = this->exchange("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
                                              + std::string(20'000, 'x'));
    EXPECT_NE(answer.find(" 413 "), std::string::npos) << answer.substr(0, 60);
}

TYPED_TEST(HttpServerTest, ReportsTheAddressThatIsInUse)
{
    TypeParam second;
    std::string error;
    EXPECT_FALSE(this->start(second, this->server_.port(), &error));
    EXPECT_NE(error.find("listen"), std::string::npos);
    EXPECT_NE(error.find("127.0.0.1:" + std::to_string(this->server_.port())), std::string::npos);
}

TYPED_TEST(HttpServerTest, KeepsHandlerStatePerConnection)
{
    const auto count = [this](HttpClient &client) {
        HttpRequest request;
        request.url_ = "http://127.0.0.1:" + std::to_string(this->server_.port()) + "/count";
        const HttpResult result = client.fetch(request);
        return result.answer_ ? result.answer_->body_ : "";
    };
    HttpClient first({});
    HttpClient second({});
    EXPECT_EQ(count(first), "1");
    EXPECT_EQ(count(first), "2");
    EXPECT_EQ(count(second), "1");
}

TYPED_TEST(HttpServerTest, ListensOnAFreePortBesideAnotherServer)
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
    const std::string answer = this->exchange(request);
    EXPECT_EQ(answer.find("Connection: Close"), std::string::npos);
    EXPECT_NE(answer.find("Keep-Alive"), std::string::npos);
}

TEST_F(BeastServerTest, AnswersPipelinedRequestsInTheirOrder)
{
    answersImmediately_ = false;
    start();
    Caller caller(server_.port());
    caller.send(get("/first") + get("/second") + get("/third"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 3; }));
    for (const std::size_t index : { 2U, 0U, 1U })
        received_[index].responder_->send({ 200, "", {}, received_[index].request_.path() });
    const std::string text = caller.read("/third");
    EXPECT_LT(text.find("/first"), text.find("/second"));
    EXPECT_LT(text.find("/second"), text.find("/third"));
    EXPECT_NE(text.find("/third"), std::string::npos);
}

TEST_F(BeastServerTest, AnswersACallerThatHalfClosesItsConnection)
{
    start();
    Caller caller(server_.port());
    caller.send(get("/half"));
    caller.socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    EXPECT_NE(caller.read("/half").find("/half"), std::string::npos);
}

TEST_F(BeastServerTest, AbandonsARequestOnHalfCloseIfConfigured)
{
    answersImmediately_ = false;
    server_.setHalfClosePolicy(BeastServer::HalfClosePolicy::Abandon);
    start();
    Caller caller(server_.port());
    caller.send(get("/gone"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 1; }));
    caller.socket_.close();
    EXPECT_TRUE(waitFor([this] { return abandoned_ == std::vector<std::string> { "/gone" }; }));
}

TEST_F(BeastServerTest, RejectsAmbiguousContentLengths)
{
    start();
    for (const char *lengths :
         { "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: -1\r\n",
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" }) {
        Caller caller(server_.port());
        caller.send(std::string("POST / HTTP/1.1\r\nHost: x\r\n") + lengths + "\r\nabc");
        EXPECT_NE(caller.read("\r\n\r\n").find(" 400 "), std::string::npos) << lengths;
    }
    EXPECT_TRUE(received_.empty());
}

TEST_F(BeastServerTest, RejectsALargeHeaderAndALargeDeclaredBodyEarly)
{
    HttpServerOptions options;
    options.maxHeaderBytes_ = 2000;
    options.maxRequestBytes_ = 1000;
    start(options);
    Caller header(server_.port());
    header.send("GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(4000, 'x') + "\r\n\r\n");
    EXPECT_NE(header.read("\r\n\r\n").find(" 431 "), std::string::npos);
    Caller body(server_.port());
    body.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n");
    EXPECT_NE(body.read("\r\n\r\n").find(" 413 "), std::string::npos) << "before the body was sent";
}

TEST_F(BeastServerTest, LimitsTheBytesOfAllBodiesTogether)
{
    HttpServerOptions options;
    options.maxRequestBytes_ = 1000;
    options.maxBufferedBytes_ = 1500;
    start(options);
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n";
    Caller first(server_.port());
    first.send(head + "begun");
    Caller probe(server_.port());
    probe.send(get("/probe"));
    probe.read("/probe");
    Caller second(server_.port());
    second.send(head);
    EXPECT_NE(second.read("\r\n\r\n").find(" 503 "), std::string::npos);
    first.send(std::string(995, 'x'));
    EXPECT_NE(first.read("\r\n\r\n").find(" 200 "), std::string::npos);
    Caller third(server_.port());
    third.send(head + std::string(1000, 'x'));
    EXPECT_NE(third.read("\r\n\r\n").find(" 200 "), std::string::npos)
        << "the memory of the first body must be free again";
}

TEST_F(BeastServerTest, AcceptsChunkedBodiesAndKeepsThePathUnchanged)
{
    start();
    Caller caller(server_.port());
    caller.send("POST /a%2Fb//c/../d?q=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    caller.read("/d");
    ASSERT_EQ(received_.size(), 1U);
    EXPECT_EQ(received_[0].request_.body_, "abcde");
    EXPECT_EQ(received_[0].request_.target_, "/a%2Fb//c/../d?q=1");
}

TEST_F(BeastServerTest, ClosesConnectionsAfterTheirNextAnswerWhileDraining)
{
    answersImmediately_ = false;
    start();
    Caller busy(server_.port());
    busy.send(get("/busy"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 1; }));
    Caller idle(server_.port());
    idle.send(get("/idle"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 2; }));
    received_[1].responder_->send({ 200, "", {}, "/idle" });
    ASSERT_NE(idle.read("/idle").find(" 200 "), std::string::npos);
    server_.drain();
    EXPECT_EQ(readWhileClosingIdle(idle), "") << "an idle connection is closed without an answer";
    received_[0].responder_->send({ 200, "", {}, "done" });
    const std::string text = busy.read("never");
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_NE(text.find("done"), std::string::npos);
}

TEST(HttpClient, DoesNotReuseAConnectionThatReceivedUnexpectedBytes)
{
    RawServer server([](const std::string &, int number) {
        const std::string id = "r" + std::to_string(number);
        return RawServer::Reply { rawAnswer(id, "x") + (number == 1 ? rawAnswer("late", "y") : ""),
                                  false };
    });
    HttpClient client({});
    ASSERT_TRUE(client.fetch(post(server, "r1")).answer_.has_value());
    const HttpResult second = client.fetch(post(server, "r2"));
    ASSERT_TRUE(second.answer_.has_value());
    EXPECT_FALSE(second.isReused_);
}

TEST(HttpClient, AnAnswerWithoutALengthEndsWithItsConnection)
{
    RawServer server([](const std::string &, int) {
        return RawServer::Reply { "HTTP/1.1 200 OK\r\nPimento-Request-Id: r1\r\n\r\nall of it",
                                  true };
    });
    HttpClient client({});
    const HttpResult result = client.fetch(post(server, "r1"));
    ASSERT_TRUE(result.answer_.has_value());
    EXPECT_EQ(result.answer_->body_, "all of it");
}

} // namespace
