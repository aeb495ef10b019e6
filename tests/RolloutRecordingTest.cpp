#include "platform/BackendWire.h"
#include "src/backend/BackendClient.h"
#include "tests/fakes/AnswerProof.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/RawServer.h"

#include <future>
#include <memory>
#include <string>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;
namespace wire = pimentostage::platform;

namespace {

constexpr Incarnation kProcess { 7 };

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

/// A client of a service whose roll-out runs, with one back end of each version. Requests go to the
/// target while the lease allows it.
class RolloutRecordingTest : public testing::Test
{
protected:
    RolloutRecordingTest()
        : current_([](const std::string &head, int) {
            return RawServer::Reply { answerTo(head, "200 OK", "") };
        })
        , target_([this](const std::string &head, int) {
            return RawServer::Reply { isSilent_ ? "" : answerTo(head, status_, headers_) };
        })
    {
        Configuration configuration;
        Service service;
        service.name_ = service_;
        configuration.services_[service_] = service;
        for (const auto &[version, server] :
             { std::pair<const char *, RawServer *>("v1", &current_),
               std::pair<const char *, RawServer *>("v2", &target_) }) {
            Backend backend;
            backend.name_ = BackendName(version);
            backend.service_ = service_;
            backend.version_ = version;
            backend.address_ = { "127.0.0.1", portOf(*server) };
            backend.slots_ = 6;
            backend.connections_ = 40;
            configuration.backends_[backend.name_] = backend;
        }
        FleetState fleet;
        fleet.rollouts_[service_] = traffic_;
        routing_.publish(builder_.build(configuration, fleet, BootClock::now()));
        BackendClientOptions options;
        options.protocol_ = &wire::backendProtocol();
        options.threads_ = 1;
        options.hedging_ = false;
        client_ = std::make_unique<BackendClient>(options, routing_, listener_, log_, metrics_);
    }

    ~RolloutRecordingTest() override { client_.reset(); }

    void lend(std::uint64_t limit)
    {
        const ExposureLease lease { kProcess, Epoch { 1 }, 1, limit, 60s, 60s, true };
        traffic_->budget().apply(lease, BootClock::now());
    }

    void forward(const std::string &id, Duration timeout = 2s)
    {
        ForwardRequest request;
        request.id_ = RequestId(id);
        request.service_ = service_;
        request.route_ = RouteName("read");
        request.method_ = "GET";
        request.path_ = "/x";
        request.idempotent_ = true;
        request.deadline_ = BootClock::now() + timeout;
        std::promise<void> result;
        client_->forward(std::move(request), std::make_shared<Abandonment>(),
                         [&](const ForwardResult &) { result.set_value(); });
        result.get_future().get();
    }

    /// @return the outcomes of the only route.
    RouteOutcomes outcomes() const
    {
        const std::vector<RouteOutcomes> rows = traffic_->outcomes();
        return rows.size() == 1 ? rows.front() : RouteOutcomes {};
    }

    const ServiceName service_ { "plain" };
    bool isSilent_ = false; ///< set before the first request
    std::string status_ = "200 OK"; ///< set before the first request, as headers_
    std::string headers_;
    RawServer current_;
    RawServer target_;
    std::shared_ptr<RolloutTraffic> traffic_ = std::make_shared<RolloutTraffic>("v2", kProcess);
    RoutingTableBuilder builder_;
    SnapshotPublisher<RoutingTable> routing_ { std::make_shared<const RoutingTable>() };
    NullTrafficListener listener_;
    NullLog log_;
    MetricRegistry metrics_;
    std::unique_ptr<BackendClient> client_;
};

TEST_F(RolloutRecordingTest, CountsAnswersByVersionAndRoute)
{
    lend(2);
    for (int i = 0; i < 5; ++i)
        forward("r" + std::to_string(i));
    const RouteOutcomes row = outcomes();
    EXPECT_EQ(row.route_, RouteName("read"));
    EXPECT_EQ(row.target_.answered_, 2U);
    EXPECT_EQ(row.target_.failed_, 0U);
    EXPECT_EQ(row.current_.answered_, 3U);
    const ExposureUse use = traffic_->budget().report(Epoch { 1 });
    EXPECT_EQ(use.requests_, 5U);
    EXPECT_EQ(use.used_, 2U);
}

// Guards against a version that passes although it fails its requests.
TEST_F(RolloutRecordingTest, AServerErrorIsAFailure)
{
    status_ = "500 Internal Server Error";
    lend(3);
    for (int i = 0; i < 5; ++i)
        forward("r" + std::to_string(i));
    EXPECT_EQ(outcomes().target_.answered_, 3U);
    EXPECT_EQ(outcomes().target_.failed_, 3U);
    EXPECT_EQ(outcomes().current_.failed_, 0U);
}

// Guards against a good version that is rolled back because its back ends are few and busy, and
// against an exposure that grows with each repeated attempt.
TEST_F(RolloutRecordingTest, ARejectionAsNotRunIsNoFailureAndTheRequestCountsOnce)
{
    status_ = "503 Service Unavailable";
    headers_ = "Pimentostage-Not-Executed: 1\r\n";
    lend(1);
    forward("r");
    EXPECT_EQ(target_.requestCount(), 1);
    EXPECT_EQ(outcomes().target_.answered_, 0U);
    EXPECT_EQ(outcomes().current_.answered_, 1U);
    EXPECT_EQ(traffic_->budget().report(Epoch { 1 }).requests_, 1U);
}

// Guards against a good version that is rolled back because its back ends are still cold: on a day
// with one good and one bad version the good one was found to be slower 4.5 s after the order.
TEST_F(RolloutRecordingTest, AnswersOfColdBackEndsAreNotCompared)
{
    const TimePoint now = BootClock::now();
    builder_.stats(BackendName("v2"))->coldStart().begin(now + 1h, 1e9, 1, now);
    lend(2);
    for (int i = 0; i < 3; ++i)
        forward("r" + std::to_string(i));
    EXPECT_EQ(target_.requestCount(), 2);
    EXPECT_EQ(outcomes().target_.answered_, 0U);
    EXPECT_EQ(outcomes().current_.answered_, 1U);
}

// Guards against a version that does not answer at all and for which nothing is counted, because
// the attempt is cancelled at the deadline.
TEST_F(RolloutRecordingTest, AnAttemptWithoutAnAnswerIsAFailure)
{
    isSilent_ = true;
    lend(1);
    forward("r", 150ms);
    EXPECT_EQ(outcomes().target_.answered_, 1U);
    EXPECT_EQ(outcomes().target_.failed_, 1U);
}

// Guards against reports that grow with the number of routes.
TEST(RolloutTrafficRows, SumUpTheRoutesThatComeLast)
{
    RolloutTraffic traffic("v2", kProcess);
    const int routes = 40;
    for (int i = 0; i < routes; ++i)
        traffic.record(RouteName("r" + std::to_string(i)), i % 2 == 0, false, 5ms);
    const std::vector<RouteOutcomes> rows = traffic.outcomes();
    ASSERT_EQ(rows.size(), kMaxReportedRoutes);
    std::uint64_t sum = 0;
    for (const RouteOutcomes &row : rows)
        sum += row.current_.answered_ + row.target_.answered_;
    EXPECT_EQ(sum, static_cast<std::uint64_t>(routes));
    EXPECT_EQ(rows.front().route_, RouteName()) << "the sum of the others";
}

} // namespace
