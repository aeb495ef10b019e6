#include "platform/BackendWire.h"
#include "src/backend/BackendClient.h"
#include "tests/fakes/AnswerProof.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/RawServer.h"

#include <future>
#include <variant>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr int kResetFrom = 2; ///< number of the first request that the back end resets

/// Ignores all observations.
class NullTrafficListener : public TrafficListener
{
public:
    void onBackendCold(const BackendName &) override { ++colds_; }
    void onBackendWarm(const BackendName &) override { }
    void onKeyLoad(const KeyLoad &) override { }

    std::atomic<int> colds_ { 0 };
};

std::string answerTo(const std::string &head)
{
    static const std::string kHeader = "Pimentostage-Request-Id: ";
    const std::size_t begin = head.find(kHeader) + kHeader.size();
    return "HTTP/1.1 200 OK\r\n" + kHeader + head.substr(begin, head.find('\r', begin) - begin)
           + "\r\n" + kProofLine
           + "Pimentostage-Upstream-Load: 1,0,4,100\r\nContent-Length: 0\r\n\r\n";
}

/// A client of a service whose only back end answers some requests and resets the others.
class RoomFullBackendTest : public testing::Test
{
protected:
    explicit RoomFullBackendTest(int answered = kResetFrom - 1)
        : server_([answered](const std::string &head, int number) {
            RawServer::Reply reply;
            reply.resetsConnection_ = number > answered;
            reply.bytes_ = reply.resetsConnection_ ? "" : answerTo(head);
            return reply;
        })
    {
        Configuration configuration;
        Service service;
        service.name_ = ServiceName("plain");
        service.balancing_ = Balancing::ExpectedTime;
        configuration.services_[service.name_] = service;
        Backend backend;
        backend.name_ = BackendName("b");
        backend.service_ = service.name_;
        const std::string url = server_.url();
        backend.address_
            = { "127.0.0.1",
                static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))) };
        backend.slots_ = 4;
        backend.connections_ = 40;
        configuration.backends_[backend.name_] = backend;
        routing_.publish(builder_.build(configuration, {}, BootClock::now()));
        BackendClientOptions options;
        options.protocol_ = &platform::backendProtocol();
        options.threads_ = 1;
        client_ = std::make_unique<BackendClient>(options, routing_, listener_, log_, metrics_);
    }

    ~RoomFullBackendTest() override { client_.reset(); }

    /// Sends a request that may not be repeated.
    ForwardResult forward(const std::string &id)
    {
        ForwardRequest request;
        request.id_ = RequestId(id);
        request.service_ = ServiceName("plain");
        request.method_ = "POST";
        request.path_ = "/x";
        request.deadline_ = BootClock::now() + 2s;
        std::promise<ForwardResult> result;
        client_->forward(std::move(request), std::make_shared<Abandonment>(),
                         [&](ForwardResult done) { result.set_value(std::move(done)); });
        return result.get_future().get();
    }

    std::shared_ptr<BackendStats> stats() const { return builder_.stats(BackendName("b")); }

    std::uint64_t failures(const char *kind)
    {
        return metrics_
            .counter("pimento_backend_attempt_failures_total", "", { Label { "failure", kind } })
            .value();
    }

    RawServer server_;
    RoutingTableBuilder builder_;
    SnapshotPublisher<RoutingTable> routing_ { std::make_shared<const RoutingTable>() };
    NullTrafficListener listener_;
    NullLog log_;
    MetricRegistry metrics_;
    std::unique_ptr<BackendClient> client_;
};

// Guards against the ejection of back ends that are merely full: three resets took one away from
// all requests, which then filled the others.
TEST_F(RoomFullBackendTest, IsLimitedAndNeitherEjectedNorCold)
{
    EXPECT_TRUE(std::holds_alternative<HttpAnswer>(forward("r1")));
    for (int i = kResetFrom; i <= 5; ++i) {
        const ForwardResult result = forward("r" + std::to_string(i));
        ASSERT_TRUE(std::holds_alternative<GiveUp>(result));
        EXPECT_EQ(std::get<GiveUp>(result).outcome_, Outcome::Unknown) << "it was sent";
    }
    EXPECT_EQ(server_.requestCount(), 5) << "none may be repeated";
    EXPECT_EQ(stats()->consecutiveFailures(), 0U);
    EXPECT_FALSE(stats()->isEjected(BootClock::now()));
    EXPECT_EQ(stats()->concurrency().limit(40), 1U);
    EXPECT_GT(stats()->failureShare(BootClock::now()), 0);
    EXPECT_EQ(listener_.colds_, 0);
    EXPECT_EQ(failures("full"), 4U);
    EXPECT_EQ(failures("broken"), 0U);
}

/// As above; the back end resets all requests.
class RoomSilentBackendTest : public RoomFullBackendTest
{
protected:
    RoomSilentBackendTest()
        : RoomFullBackendTest(0)
    { }
};

// A back end that resets everything is broken; without ejection it would get requests for ever.
TEST_F(RoomSilentBackendTest, IsEjected)
{
    for (int i = 0; i < 3; ++i)
        forward("r" + std::to_string(i));
    EXPECT_TRUE(stats()->isEjected(BootClock::now()));
    EXPECT_EQ(failures("broken"), 3U);
}

} // namespace
