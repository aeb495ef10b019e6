#include "src/backend/BackendClient.h"
#include "src/backend/BackendProtocol.h"
#include "src/base/HttpClient.h"
#include "tests/fakes/EndlessServer.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/RawServer.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <list>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <gtest/gtest.h>
#include <malloc.h>
#include <unistd.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Half of the 260 MB that an entry host has for everything.
constexpr std::size_t kMaxGrowthBytes = std::size_t { 128 } << 20U;
constexpr std::size_t kHeldBytes = std::size_t { 3 } << 20U; ///< below the limit of one answer
constexpr int kFaultyServers = 4;
constexpr int kRequestsPerServer = 24;
constexpr Duration kTimeout = 3s;
constexpr Duration kPause = 20ms; ///< the answers stay unfinished until the timeout
constexpr const char *kHead = "HTTP/1.1 200 OK\r\nPimento-Request-Id: r1\r\n";

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::uint16_t portOf(const std::string &url)
{
    return static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
}

HttpRequest requestTo(const std::string &url)
{
    HttpRequest request;
    request.method_ = "POST";
    request.url_ = url + "/deposits";
    request.timeout_ = kTimeout;
    request.expectedId_ = "r1";
    request.headers_.push_back({ kRequestIdHeader, "r1" });
    return request;
}

struct Case
{
    const char *name_;
    EndlessServer::Reply reply_;
};

std::ostream &operator<<(std::ostream &out, const Case &testCase)
{
    return out << testCase.name_;
}

std::vector<Case> heldBodies()
{
    const std::string head = kHead;
    const std::string held(kHeldBytes, 'x');
    return {
        { "BodyWithoutLength", { head + "\r\n" + held, "x", kPause } },
        { "Chunks",
          { head + "Transfer-Encoding: chunked\r\n\r\n300000\r\n" + held + "\r\n", "1\r\nx\r\n",
            kPause } },
        { "ContentLength", { head + "Content-Length: 4194304\r\n\r\n" + held, "x", kPause } },
    };
}

std::vector<Case> heldReplies()
{
    const std::string head = kHead;
    std::vector<Case> replies = heldBodies();
    replies.push_back({ "Head", { head + "X: " + std::string(60000, 'x'), "x", kPause } });
    replies.push_back(
        { "HeadOfManyFields", { head + repeated("a:\r\n", 15000) + "\r\n", "x", kPause } });
    return replies;
}

class AnswersOfManyServers : public testing::TestWithParam<Case>
{ };

} // namespace

// Guards against a host that runs out of memory, and ends the requests of all its callers, because
// several faulty back ends each send answers without end that are below the limit of one answer.
TEST_P(AnswersOfManyServers, AreBoundedInTotal)
{
    std::list<EndlessServer> faulty;
    for (int i = 0; i < kFaultyServers; ++i)
        faulty.emplace_back(GetParam().reply_);
    RawServer good([](const std::string &, int) {
        return RawServer::Reply { rawAnswer("r1", "good"), false };
    });
    HttpClient client({});
    malloc_trim(0);
    const std::size_t before = residentBytes();
    std::atomic<int> ended = 0;
    std::atomic<int> unknown = 0;
    client.post([&] {
        for (const EndlessServer &server : faulty) {
            for (int i = 0; i < kRequestsPerServer; ++i) {
                client.start(requestTo(server.url()), [&](const HttpResult &result) {
                    unknown += result.error_ && outcomeOf(result.state_) == Outcome::Unknown;
                    ++ended;
                });
            }
        }
    });
    constexpr int kTotal = kFaultyServers * kRequestsPerServer;
    const TimePoint end = BootClock::now() + kTimeout + 5s;
    std::size_t peak = before;
    std::atomic<std::size_t> counted = 0;
    std::atomic<std::size_t> countedPeak = 0;
    const auto sample = [&] {
        counted = client.unfinishedBytes();
        countedPeak = std::max(countedPeak.load(), counted.load());
    };
    int served = 0;
    int unserved = 0;
    while (ended < kTotal && BootClock::now() < end) {
        ++(client.fetch(requestTo(good.url())).answer_ ? served : unserved);
        client.post(sample);
        peak = std::max(peak, residentBytes());
        std::this_thread::sleep_for(5ms);
    }
#ifndef __SANITIZE_ADDRESS__ // which keeps freed memory
    EXPECT_LT(peak - before, kMaxGrowthBytes) << "bytes that the process has grown";
#endif
    client.post(sample);
    client.fetch(requestTo(good.url())); // runs after the posted tasks
    EXPECT_LE(countedPeak, kMaxUnfinishedBytes);
    EXPECT_GT(countedPeak, 0U);
    EXPECT_EQ(counted, 0U) << "bytes of answers that have ended";
    EXPECT_GT(served, 0);
    EXPECT_EQ(unserved, 0) << "requests to the good back end";
    EXPECT_EQ(ended, kTotal);
    EXPECT_EQ(unknown, kTotal) << "the requests were sent";
    RecordProperty("growth_bytes", std::to_string(peak - before));
    RecordProperty("served", served);
}

INSTANTIATE_TEST_SUITE_P(Replies, AnswersOfManyServers, testing::ValuesIn(heldReplies()),
                         [](const auto &info) { return std::string(info.param.name_); });

namespace {

/// @return the id of the request with @p head.
std::string idIn(const std::string &head)
{
    const std::size_t begin
        = head.find(kRequestIdHeader) + std::string(kRequestIdHeader).size() + 2;
    return head.substr(begin, head.find('\r', begin) - begin);
}

class NullTrafficListener : public TrafficListener
{
public:
    void onBackendCold(const BackendName &) override { }
    void onBackendWarm(const BackendName &) override { }
    void onKeyLoad(const KeyLoad &) override { }
};

/// Forwards requests of a service that has a good back end and one whose answers have no end.
class ServiceWithAnEndlessBackend : public testing::TestWithParam<Case>
{
protected:
    ServiceWithAnEndlessBackend()
    {
        Configuration configuration;
        Service service;
        service.name_ = ServiceName("service");
        configuration.services_[service.name_] = service;
        add(configuration, "faulty", faulty_.url());
        add(configuration, "good", good_.url());
        routing_.publish(builder_.build(configuration, {}, BootClock::now()));
        BackendClientOptions options;
        options.protocol_ = &nativeBackendProtocol();
        options.threads_ = 1;
        options.hedging_ = false;
        options.connectionsPerBackend_ = 40;
        client_ = std::make_unique<BackendClient>(options, routing_, listener_, log_, metrics_);
    }

    ~ServiceWithAnEndlessBackend() override { client_.reset(); }

    static void add(Configuration &configuration, const std::string &name, const std::string &url)
    {
        Backend backend;
        backend.name_ = BackendName(name);
        backend.service_ = ServiceName("service");
        backend.address_ = { "127.0.0.1", portOf(url) };
        backend.slots_ = 6;
        backend.connections_ = 40;
        configuration.backends_[backend.name_] = backend;
    }

    void start(int number, bool isIdempotent, ForwardDone done)
    {
        ForwardRequest request;
        request.id_ = RequestId("r" + std::to_string(number));
        request.service_ = ServiceName("service");
        request.method_ = isIdempotent ? "GET" : "POST";
        request.path_ = "/x";
        request.idempotent_ = isIdempotent;
        request.deadline_ = BootClock::now() + kTimeout;
        client_->forward(std::move(request), std::make_shared<Abandonment>(), std::move(done));
    }

    ForwardResult forward(int number, bool isIdempotent)
    {
        std::promise<ForwardResult> result;
        start(number, isIdempotent, [&](ForwardResult done) { result.set_value(std::move(done)); });
        return result.get_future().get();
    }

    EndlessServer faulty_ { GetParam().reply_ };
    RawServer good_ { [](const std::string &head, int) {
        return RawServer::Reply { rawAnswer(idIn(head), "good"), false };
    } };
    RoutingTableBuilder builder_;
    SnapshotPublisher<RoutingTable> routing_ { std::make_shared<const RoutingTable>() };
    NullTrafficListener listener_;
    NullLog log_;
    MetricRegistry metrics_;
    std::unique_ptr<BackendClient> client_;
};

std::vector<Case> fastReplies()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string part(8000, 'x');
    return {
        { "Head", { head + "X: ", part } },
        { "BodyWithoutLength", { head + "\r\n", part } },
        { "Chunks",
          { head + "Transfer-Encoding: chunked\r\n\r\n", repeated("5\r\nhello\r\n", 800) } },
        { "ContentLength", { head + "Content-Length: 999999999\r\n\r\n", part } },
    };
}

} // namespace

// Guards against callers that get no answer, or "not run" for a request that may have run, while
// one of the back ends sends without end; and against a back end that is chosen on as if it had not
// failed.
TEST_P(ServiceWithAnEndlessBackend, OtherRequestsAreAnsweredAndOutcomesAreTrue)
{
    constexpr int kRequests = 20; // of each kind
    int answered = 0;
    for (int i = 0; i < kRequests; ++i) {
        const ForwardResult result = forward(i, true);
        const HttpAnswer *answer = std::get_if<HttpAnswer>(&result);
        answered += answer && answer->body_ == "good";
    }
    EXPECT_EQ(answered, kRequests) << "idempotent requests";
    int untrue = 0;
    for (int i = 0; i < kRequests; ++i) {
        const int received = faulty_.requestCount();
        const ForwardResult result = forward(kRequests + i, false);
        const GiveUp *giveUp = std::get_if<GiveUp>(&result);
        const bool wasReceived = faulty_.requestCount() > received;
        untrue += wasReceived && !(giveUp && giveUp->outcome_ == Outcome::Unknown);
    }
    EXPECT_EQ(untrue, 0) << "requests that the endless back end received without outcome unknown";
    EXPECT_GT(faulty_.requestCount(), 0);
    const auto stats = builder_.stats(BackendName("faulty"));
    EXPECT_GT(stats->consecutiveFailures(), 0U);
    EXPECT_GT(stats->failureShare(BootClock::now()), 0);
}

INSTANTIATE_TEST_SUITE_P(Replies, ServiceWithAnEndlessBackend, testing::ValuesIn(fastReplies()),
                         [](const auto &info) { return std::string(info.param.name_); });

namespace {

class ServiceWithLargeUnfinishedAnswers : public ServiceWithAnEndlessBackend
{ };

} // namespace

// Guards against the report "not run" for a request whose answer was given up to save memory, and
// against answers that are given up without a count for the operators.
TEST_P(ServiceWithLargeUnfinishedAnswers, OutcomesOfGivenUpAnswersAreTrue)
{
    constexpr int kRequests = 60;
    std::atomic<int> ended = 0;
    std::atomic<int> answered = 0;
    std::atomic<int> unknown = 0;
    for (int i = 0; i < kRequests; ++i) {
        start(i, false, [&](const ForwardResult &result) {
            const GiveUp *giveUp = std::get_if<GiveUp>(&result);
            answered += giveUp ? 0 : 1;
            unknown += giveUp && giveUp->outcome_ == Outcome::Unknown ? 1 : 0;
            ++ended;
        });
    }
    const TimePoint end = BootClock::now() + kTimeout + 5s;
    while (ended < kRequests && BootClock::now() < end)
        std::this_thread::sleep_for(5ms);
    client_.reset();
    EXPECT_EQ(ended, kRequests);
    EXPECT_EQ(answered, good_.requestCount());
    EXPECT_EQ(unknown, faulty_.requestCount());
    EXPECT_GT(metrics_.counter("pimento_backend_answers_given_up_total", "").value(), 0U);
    RecordProperty("unknown", unknown);
    RecordProperty("answered", answered);
}

INSTANTIATE_TEST_SUITE_P(Replies, ServiceWithLargeUnfinishedAnswers,
                         testing::ValuesIn(heldBodies()),
                         [](const auto &info) { return std::string(info.param.name_); });
