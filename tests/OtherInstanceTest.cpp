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
namespace wire = pimentostage::platform;

namespace {

std::string valueIn(const std::string &head, const std::string &header)
{
    const std::size_t at = head.find(header);
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + header.size() + 2;
    return head.substr(begin, head.find('\r', begin) - begin);
}

std::string answerTo(const std::string &head, const std::string &status, const std::string &headers)
{
    return "HTTP/1.1 " + status
           + "\r\nPimentostage-Request-Id: " + valueIn(head, "Pimentostage-Request-Id") + "\r\n"
           + headers + kProofLine + "Content-Length: 0\r\n\r\n";
}

std::uint16_t portOf(const RawServer &server)
{
    const std::string url = server.url();
    return static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
}

/// Ignores all observations.
class NullTrafficListener : public TrafficListener
{
public:
    void onBackendCold(const BackendName &) override { }
    void onBackendWarm(const BackendName &) override { }
    void onKeyLoad(const KeyLoad &) override { }
};

/// A client of a service with two back ends. At the address of one, another process answers.
class OtherInstanceTest : public testing::Test
{
protected:
    OtherInstanceTest()
        : replaced_([](const std::string &head, int) {
            return RawServer::Reply { answerTo(head, "421 Misdirected Request",
                                               "Pimentostage-Not-Executed: 1\r\n"
                                               "Pimentostage-Upstream-Load: 4,2,6,70\r\n") };
        })
        , running_([](const std::string &head, int) {
            return RawServer::Reply { answerTo(head, "200 OK",
                                               "Pimentostage-Upstream-Load: 1,0,6,100\r\n") };
        })
    {
        Configuration configuration;
        Service service;
        service.name_ = ServiceName("plain");
        service.balancing_ = Balancing::ExpectedTime;
        configuration.services_[service.name_] = service;
        for (const auto &[name, server] :
             { std::pair<const char *, RawServer *>(kReplaced, &replaced_),
               std::pair<const char *, RawServer *>("running", &running_) }) {
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
        options.protocol_ = &wire::backendProtocol();
        options.threads_ = 1;
        client_ = std::make_unique<BackendClient>(options, routing_, listener_, log_, metrics_);
    }

    ~OtherInstanceTest() override { client_.reset(); }

    ForwardResult forward(const std::string &id)
    {
        ForwardRequest request;
        request.id_ = RequestId(id);
        request.service_ = ServiceName("plain");
        request.method_ = "GET";
        request.path_ = "/x";
        request.idempotent_ = true;
        request.deadline_ = BootClock::now() + 2s;
        std::promise<ForwardResult> result;
        client_->forward(std::move(request), std::make_shared<Abandonment>(),
                         [&](ForwardResult done) { result.set_value(std::move(done)); });
        return result.get_future().get();
    }

    static constexpr const char *kReplaced = "replaced";
    RawServer replaced_;
    RawServer running_;
    RoutingTableBuilder builder_;
    SnapshotPublisher<RoutingTable> routing_ { std::make_shared<const RoutingTable>() };
    NullTrafficListener listener_;
    NullLog log_;
    MetricRegistry metrics_;
    std::unique_ptr<BackendClient> client_;
};

// Guards against requests that each cost an attempt for as long as the store does not tell of the
// process that has started at a back end's address: it rejected what was sent to the former one,
// and a rejection counted neither as a failure nor as load, so that the former one was preferred.
TEST_F(OtherInstanceTest, CountsAgainstTheBackEndThatWasAddressed)
{
    constexpr int kRequests = 60;
    constexpr int kMaxRejected = 10; // 3 until the first ejection, then one after each
    for (int i = 0; i < kRequests; ++i) {
        const ForwardResult result = forward("r" + std::to_string(i));
        EXPECT_TRUE(std::holds_alternative<HttpAnswer>(result)) << i;
    }
    EXPECT_LE(replaced_.requestCount(), kMaxRejected);
    EXPECT_TRUE(builder_.stats(BackendName(kReplaced))->consecutiveFailures() >= 3);
}

// Guards against the load and pace of one process in the observations of another.
TEST_F(OtherInstanceTest, ItsLoadIsNotThatOfTheBackEndThatWasAddressed)
{
    for (int i = 0; i < 20; ++i)
        forward("r" + std::to_string(i));
    ASSERT_GT(replaced_.requestCount(), 0);
    EXPECT_EQ(builder_.stats(BackendName(kReplaced))->usualPace(), 1);
}

} // namespace
