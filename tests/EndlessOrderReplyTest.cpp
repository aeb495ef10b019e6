#include "src/backend/GrantCodec.h"
#include "src/backend/HttpBackendLink.h"
#include "src/backend/HttpRangeLink.h"
#include "src/base/EventLoop.h"
#include "tests/fakes/EndlessServer.h"
#include "tests/fakes/RawServer.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr Duration kGrantTimeout = 600ms; ///< as in HttpRangeLink
constexpr Duration kReleaseTimeout = 3s; ///< as in HttpRangeLink
constexpr Duration kLeaseTimeout = 4 * kGrantPeriod; ///< as in HttpBackendLink
constexpr std::size_t kHeldBytes = std::size_t { 512 }
                                   << 10U; ///< more than any reply to an order has

/// A reply that is far longer than that to an order, and that then goes on slowly.
EndlessServer::Reply longReply()
{
    return { "HTTP/1.1 200 OK\r\n\r\n" + std::string(kHeldBytes, 'x'), "x", 20ms };
}

Address addressOf(const std::string &url)
{
    return { "127.0.0.1", static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))) };
}

/// @return the value of the header @p name in @p head, or "".
std::string valueIn(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find(name);
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 2;
    return head.substr(begin, head.find('\r', begin) - begin);
}

/// Sends orders to a back end whose replies have no end, and between them to a good one.
class EndlessOrderReply : public testing::Test
{
protected:
    /// Sends one order to an address and passes the reply's outcome on, by name.
    using Send = std::function<void(const Address &, std::function<void(std::string_view)>)>;

    ~EndlessOrderReply() override
    {
        ranges_.reset();
        leases_.reset();
        loop_.run([] {}); // the links close their connections in a task
    }

    std::string outcomeOf(const Send &send, const Address &address)
    {
        auto outcome = std::make_shared<std::promise<std::string>>();
        loop_.post([&send, &address, outcome] {
            send(address,
                 [outcome](std::string_view name) { outcome->set_value(std::string(name)); });
        });
        return outcome->get_future().get();
    }

    /// Expects that each order to the faulty back end ends long before @p timeout, with @p cut, and
    /// each to the good one with @p accepted.
    void expectCutEarly(const Send &send, Duration timeout, const std::string &cut,
                        const std::string &accepted)
    {
        constexpr int kOrders = 4;
        Duration elapsed {};
        for (int i = 0; i < kOrders; ++i) {
            const TimePoint start = BootClock::now();
            EXPECT_EQ(outcomeOf(send, addressOf(faulty_.url())), cut);
            elapsed += BootClock::now() - start;
            EXPECT_EQ(outcomeOf(send, addressOf(good_.url())), accepted);
        }
        EXPECT_LT(toMilliseconds(elapsed), toMilliseconds(kOrders * timeout) / 2)
            << "ms in which the orders to the faulty back end occupied its connections";
        EXPECT_EQ(faulty_.requestCount(), kOrders);
    }

    EndlessServer faulty_ { longReply() };
    RawServer good_ { [](const std::string &head, int) {
        return RawServer::Reply {
            rawAnswer(valueIn(head, kRequestIdHeader), formatGrantReply(GrantReply {})), false
        };
    } };
    EventLoop loop_ { "orders" };
    std::unique_ptr<HttpRangeLink> ranges_
        = std::make_unique<HttpRangeLink>(loop_, nativeRangeProtocol());
    std::unique_ptr<HttpBackendLink> leases_ = std::make_unique<HttpBackendLink>(loop_);
};

} // namespace

// Guards against a grant of a range that keeps megabytes of a faulty reply, and its connection,
// until the timeout; the order may have been applied.
TEST_F(EndlessOrderReply, ToAGrantIsCutEarly)
{
    const auto send = [this](const Address &address, const auto &done) {
        ranges_->grant(address, RangeGrantOrder { { 0, 9 }, Epoch { 1 }, 1s, "" }, 0,
                       [done](const RangeReply &reply) { done(toString(reply.outcome_)); });
    };
    expectCutEarly(send, kGrantTimeout, "broken", "accepted");
}

// The same for a release, whose timeout is longer.
TEST_F(EndlessOrderReply, ToAReleaseIsCutEarly)
{
    const auto send = [this](const Address &address, const auto &done) {
        ranges_->release(address, RangeReleaseOrder { { 0, 9 }, Epoch { 1 } },
                         [done](const RangeReply &reply) { done(toString(reply.outcome_)); });
    };
    expectCutEarly(send, kReleaseTimeout, "broken", "accepted");
}

// The same for the grant of a lease.
TEST_F(EndlessOrderReply, ToALeaseGrantIsCutEarly)
{
    const auto send = [this](const Address &address, const auto &done) {
        leases_->grant(address, Grant {}, [done](const std::optional<GrantReply> &reply) {
            done(reply ? toString(reply->result_) : "none");
        });
    };
    expectCutEarly(send, kLeaseTimeout, "none", "accepted");
}

// The same for a probe.
TEST_F(EndlessOrderReply, ToAProbeIsCutEarly)
{
    const auto send = [this](const Address &address, const auto &done) {
        leases_->probe(address,
                       [done](bool isAnswered) { done(isAnswered ? "answered" : "none"); });
    };
    expectCutEarly(send, kLeaseTimeout, "none", "answered");
}
