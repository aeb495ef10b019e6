#include "src/base/EventLoop.h"
#include "src/daemon/DescriptorPlan.h"
#include "src/sibling/FrameCodec.h"
#include "src/sibling/SiblingLinks.h"
#include "tests/fakes/IncompressibleText.h"
#include "tests/fakes/NullLog.h"

#include <array>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <sys/socket.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kAccountBytes = std::size_t { 1 } << 20U;
constexpr std::size_t kMaxIncoming = 3;

bool isAccepted(const SiblingMessage &message, const FrameLimits &limits)
{
    const std::vector<std::uint8_t> frame = encodeFrame(message);
    const std::vector<std::uint8_t> payload(frame.begin() + kFrameLengthBytes, frame.end());
    return valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(decodeFrame(payload, limits));
            return true;
        },
        [](const Error &) { return false; });
}

/// @return whether the peer closes @p socket within @p time.
bool isClosedWithin(Tcp::socket &socket, timeval time)
{
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    char byte = 0;
    const auto size = ::recv(socket.native_handle(), &byte, 1, 0);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

/// A host's links with little memory and few connections.
class SiblingMemoryTest : public testing::Test
{
protected:
    SiblingMemoryTest()
    {
        MemoryLimits limits = defaultMemoryLimits();
        limits.at(static_cast<std::size_t>(MemoryAccount::SiblingFrames)) = kAccountBytes;
        memory_ = std::make_shared<MemoryBudget>(limits);
    }

    void SetUp() override
    {
        loop_.run([this] {
            links_ = std::make_unique<SiblingLinks>(
                loop_.context(), MemberUpdate {},
                [this](const HostName &host) { return std::optional(addresses_.at(host)); },
                [](const MemberUpdate &, const SiblingMessage &) {}, log_, metrics_,
                SiblingResources { memory_, kMaxIncoming });
            isListening_ = valueOr(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_CHECK(links_->listen(Address { "127.0.0.1", endpoint_.port() }));
                    return true;
                },
                [](const Error &) { return false; });
        });
        ASSERT_TRUE(isListening_);
    }

    void TearDown() override
    {
        loop_.run([this] { links_.reset(); });
        EXPECT_EQ(memory_->used(MemoryAccount::SiblingFrames), 0U);
    }

    Tcp::socket connected()
    {
        Tcp::socket socket(context_);
        socket.connect(endpoint_);
        std::this_thread::sleep_for(20ms);
        return socket;
    }

    EventLoop loop_ { "control" };
    NullLog log_;
    MetricRegistry metrics_;
    asio::io_context context_;
    const Tcp::endpoint endpoint_
        = Tcp::acceptor(context_, { asio::ip::make_address_v4("127.0.0.1"), 0 }).local_endpoint();
    std::map<HostName, Address> addresses_;
    std::shared_ptr<MemoryBudget> memory_;
    bool isListening_ = false;
    std::unique_ptr<SiblingLinks> links_;
};

} // namespace

// Guards against a small frame that becomes many values: 4 MiB of empty arrays took 290 MB.
TEST(FrameLimits, AFrameWithTooManyValuesIsRefused)
{
    LeavingHosts message;
    message.names_.resize(1000);
    FrameLimits limits;
    limits.maxValues_ = 500;
    EXPECT_FALSE(isAccepted(message, limits));
    limits.maxValues_ = 1100;
    EXPECT_TRUE(isAccepted(message, limits));
}

// Guards against a compressed frame that is small and becomes large.
TEST(FrameLimits, AFrameThatIsTooLargeAfterDecompressionIsRefused)
{
    LeavingHosts message;
    message.names_.emplace_back(200'000, 'x');
    FrameLimits limits;
    limits.maxBytes_ = 100'000;
    EXPECT_FALSE(isAccepted(message, limits));
    limits.maxBytes_ = 300'000;
    EXPECT_TRUE(isAccepted(message, limits));
}

// Guards against silent connections that take the place of those of known hosts.
TEST_F(SiblingMemoryTest, AConnectionWithoutAHelloIsClosedForANewOne)
{
    Tcp::socket known = connected();
    asio::write(known, asio::buffer(encodeFrame(Hello {})));
    Tcp::socket silent = connected();
    Tcp::socket second = connected();
    Tcp::socket third = connected();
    EXPECT_TRUE(isClosedWithin(silent, { 2, 0 }));
    EXPECT_FALSE(isClosedWithin(known, { 0, 100'000 }));
    EXPECT_FALSE(isClosedWithin(third, { 0, 100'000 }));
}

// Guards against frames that wait without a bound for hosts that do not read, and against the loss
// of those for other hosts.
TEST_F(SiblingMemoryTest, TheLongestQueueIsDropped)
{
    const HostName deaf("deaf");
    const HostName other("other");
    Tcp::acceptor deafHost(context_, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    Tcp::acceptor otherHost(context_, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    addresses_[deaf] = { "127.0.0.1", deafHost.local_endpoint().port() };
    addresses_[other] = { "127.0.0.1", otherHost.local_endpoint().port() };
    LeavingHosts large;
    large.names_.push_back(incompressibleText(100'000));
    const Counter &dropped = metrics_.counter("pimento_sibling_dropped_frames_total", "");
    loop_.run([&] {
        links_->send(other, LeavingHosts {});
        // More than the buffers of a loopback connection and half of the account.
        for (int i = 0; i < 200; ++i)
            links_->send(deaf, large);
        EXPECT_LE(memory_->used(MemoryAccount::SiblingFrames), kAccountBytes / 2);
        EXPECT_GT(memory_->used(MemoryAccount::SiblingFrames), 0U);
    });
    EXPECT_GT(dropped.value(), 0U);
    Tcp::socket accepted = otherHost.accept();
    std::array<char, 16> part {};
    EXPECT_EQ(asio::read(accepted, asio::buffer(part)), part.size());
}

// Guards against a division of the descriptors that leaves the host none for its own connections.
TEST(DescriptorPlan, LeavesAQuarterForTheHostItself)
{
    for (const std::size_t descriptors : { 256, 1024, 3075, 10'250 }) {
        const DescriptorPlan plan = DescriptorPlan::of(descriptors);
        EXPECT_LE(plan.callers_ + plan.siblings_, descriptors * 3 / 4) << descriptors;
        EXPECT_GT(plan.callers_, 0U);
    }
}
