#include "tests/fakes/TroubledService.h"

#include "platform/BackendWire.h"
#include "src/backend/HttpBackendLink.h"
#include "src/base/EventLoop.h"
#include "tests/fakes/AnswerProof.h"

#include <future>
#include <utility>
#include <variant>

#include <gtest/gtest.h>

namespace pimentostage {

namespace {

constexpr int kOk = 200;
constexpr std::size_t kLongBodyBytes = std::size_t { 16 } << 20U;

/// @return the value of @p header in the head of a request, or "" if there is none.
std::string valueIn(const std::string &head, const std::string &header)
{
    const std::size_t at = head.find(header);
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + header.size() + 2;
    return head.substr(begin, head.find('\r', begin) - begin);
}

RawServer::Reply goodReply(const std::string &head, int)
{
    const std::string body = TroubledService::kGoodBody;
    return { "HTTP/1.1 200 OK\r\n" + requestIdLine(head) + kProofLine
             + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
}

void expectGood(const HttpAnswer &answer)
{
    EXPECT_EQ(answer.status_, kOk);
    EXPECT_EQ(answer.body_, TroubledService::kGoodBody);
}

} // namespace

std::string requestIdLine(const std::string &head)
{
    static const std::string kName = "Pimentostage-Request-Id";
    return kName + ": " + valueIn(head, kName) + "\r\n";
}

std::uint16_t portOf(const RawServer &server)
{
    const std::string url = server.url();
    return static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
}

SharedBody longBody()
{
    static const SharedBody body = sharedBody(std::string(kLongBodyBytes, 'x'));
    return body;
}

bool answersProbe(const RawServer &server)
{
    EventLoop loop("probes");
    auto link = std::make_unique<HttpBackendLink>(loop);
    std::promise<bool> isAlive;
    loop.post([&] {
        link->probe(Address { "127.0.0.1", portOf(server) },
                    [&](bool answered) { isAlive.set_value(answered); });
    });
    const bool result = isAlive.get_future().get();
    link.reset();
    loop.run([] {}); // by then the link has closed its connections
    return result;
}

TroubledService::TroubledService(RawServer::ReplyFunction troubled)
    : troubled_(std::move(troubled))
    , good_(goodReply)
{
    Configuration configuration;
    Service service;
    service.name_ = ServiceName("plain");
    configuration.services_[service.name_] = service;
    for (const auto &[name, server] :
         { std::pair<const char *, RawServer *>("troubled", &troubled_),
           std::pair<const char *, RawServer *>("good", &good_) }) {
        Backend backend;
        backend.name_ = BackendName(name);
        backend.service_ = service.name_;
        backend.address_ = { "127.0.0.1", portOf(*server) };
        backend.slots_ = 6;
        backend.connections_ = 40;
        configuration.backends_[backend.name_] = backend;
    }
    routing_.publish(builder_.build(configuration, {}, BootClock::now()));
    BackendClientOptions options;
    options.protocol_ = &platform::backendProtocol();
    options.threads_ = 1;
    client_ = std::make_unique<BackendClient>(options, routing_, listener_, log_, metrics_);
}

// The client closes its connections, so that the servers can end.
TroubledService::~TroubledService()
{
    client_.reset();
}

ForwardResult TroubledService::forward(const std::string &id, bool isIdempotent, SharedBody body)
{
    ForwardRequest request;
    request.id_ = RequestId(id);
    request.service_ = ServiceName("plain");
    request.method_ = body ? "POST" : "GET";
    request.path_ = "/x";
    request.body_ = std::move(body);
    request.idempotent_ = isIdempotent;
    request.deadline_ = BootClock::now() + std::chrono::seconds(2);
    std::promise<ForwardResult> result;
    client_->forward(std::move(request), std::make_shared<Abandonment>(),
                     [&](ForwardResult done) { result.set_value(std::move(done)); });
    return result.get_future().get();
}

void expectNoReplyReachesACaller(const RawServer::ReplyFunction &troubled, const SharedBody &body)
{
    constexpr int kRequests = 4;
    TroubledService service(troubled);
    int failed = 0;
    for (int i = 0; i < kRequests; ++i) {
        const ForwardResult result = service.forward("u" + std::to_string(i), false, body);
        if (const auto *answer = std::get_if<HttpAnswer>(&result)) {
            expectGood(*answer);
            continue;
        }
        ++failed;
        EXPECT_EQ(std::get<GiveUp>(result).outcome_, Outcome::Unknown);
    }
    EXPECT_EQ(failed, service.troubled_.requestCount()) << "none was repeated";
    TroubledService other(troubled);
    for (int i = 0; i < kRequests; ++i) {
        const ForwardResult result = other.forward("s" + std::to_string(i), true, body);
        ASSERT_TRUE(std::holds_alternative<HttpAnswer>(result));
        expectGood(std::get<HttpAnswer>(result));
    }
    EXPECT_GE(other.troubled_.requestCount(), 1);
    EXPECT_EQ(other.good_.requestCount(), kRequests);
}

} // namespace pimentostage
