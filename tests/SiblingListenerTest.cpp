#include "src/base/EventLoop.h"
#include "src/sibling/FrameCodec.h"
#include "src/sibling/SiblingLinks.h"
#include "tests/fakes/IncompressibleText.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/ResidentMemory.h"

#include <array>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <sys/socket.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kConnections = 16;
/// Maximum growth of the process by connections of unidentified senders.
constexpr std::size_t kMaxGrowthBytes = std::size_t { 24 } << 20U;
/// Maximum growth by unfinished frames of identified senders; a quarter of an entry host's memory.
constexpr std::size_t kMaxUnfinishedGrowthBytes = std::size_t { 64 } << 20U;

std::array<std::uint8_t, kFrameLengthBytes> lengthPrefix(std::uint32_t length)
{
    return { static_cast<std::uint8_t>(length >> 24U), static_cast<std::uint8_t>(length >> 16U),
             static_cast<std::uint8_t>(length >> 8U), static_cast<std::uint8_t>(length) };
}

Tcp::endpoint freeEndpoint(asio::io_context &context)
{
    return Tcp::acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 }).local_endpoint();
}

/// @return whether the peer closes @p socket within 2 s.
bool isClosed(Tcp::socket &socket)
{
    const timeval timeout { 2, 0 };
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    char byte = 0;
    const auto size = ::recv(socket.native_handle(), &byte, 1, 0);
    return size == 0 || (size < 0 && errno == ECONNRESET);
}

/// An identified sender of a frame of the largest size, all but its last byte.
class UnfinishedFrame
{
public:
    UnfinishedFrame(asio::io_context &context, const Tcp::endpoint &endpoint)
        : socket_(context)
    {
        socket_.connect(endpoint);
        asio::write(socket_, asio::buffer(encodeFrame(Hello {})));
        asio::write(socket_, asio::buffer(lengthPrefix(kMaxFrameBytes)));
        socket_.non_blocking(true);
    }

    /// Sends as much as the peer takes without waiting.
    void sendMore()
    {
        static const std::vector<std::uint8_t> part(kPartBytes, 0xc0);
        boost::system::error_code ignored;
        sent_ += socket_.write_some(
            asio::buffer(part, std::min(kPartBytes, kMaxFrameBytes - 1 - sent_)), ignored);
    }

private:
    static constexpr std::size_t kPartBytes = std::size_t { 1 } << 20U;

    Tcp::socket socket_;
    std::size_t sent_ = 0;
};

/// A host's links that listen on a port of the loopback interface.
class SiblingListenerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        bool isListening = false;
        loop_.run([&] {
            links_ = std::make_unique<SiblingLinks>(
                loop_.context(), MemberUpdate {}, [](const HostName &) { return std::nullopt; },
                [this](const MemberUpdate &, const SiblingMessage &message) {
                    if (!std::exchange(hasReceived_, true))
                        received_.set_value(message);
                },
                log_, metrics_);
            isListening = valueOr(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_CHECK(links_->listen(Address { "127.0.0.1", endpoint_.port() }));
                    return true;
                },
                [](const Error &) { return false; });
        });
        ASSERT_TRUE(isListening);
    }

    void TearDown() override
    {
        loop_.run([this] { links_.reset(); });
    }

    /// Waits until @p count frames have arrived, at most 5 s.
    void waitForFrames(std::uint64_t count)
    {
        const Counter &frames = metrics_.counter("pimento_sibling_received_frames_total", "");
        const TimePoint limit = BootClock::now() + 5s;
        while (frames.value() < count && BootClock::now() < limit)
            std::this_thread::sleep_for(5ms);
        EXPECT_EQ(frames.value(), count);
        loop_.run([] {}); // the length that follows the last frame may still be unread
    }

    EventLoop loop_ { "control" };
    NullLog log_;
    MetricRegistry metrics_;
    asio::io_context context_;
    const Tcp::endpoint endpoint_ = freeEndpoint(context_);
    bool hasReceived_ = false;
    std::promise<SiblingMessage> received_;
    std::unique_ptr<SiblingLinks> links_;
};

} // namespace

// Guards against memory that any process can take from a host without a word about itself: a
// frame's announced length is reserved before the sender is known and before its bytes have
// arrived.
TEST_F(SiblingListenerTest, AnUnidentifiedSenderCannotReserveALargeFrame)
{
    const std::size_t before = residentBytes();
    std::vector<Tcp::socket> sockets;
    for (std::size_t i = 0; i < kConnections; ++i) {
        Tcp::socket &socket = sockets.emplace_back(context_);
        socket.connect(endpoint_);
        asio::write(socket, asio::buffer(lengthPrefix(kMaxFrameBytes)));
    }
    EXPECT_TRUE(isClosed(sockets.front()));
    const std::size_t after = residentBytes();
    EXPECT_LT(after - std::min(after, before), kMaxGrowthBytes) << "bytes grown";
}

// Guards against the same limit for the frames of a sender that has identified itself.
TEST_F(SiblingListenerTest, ASenderThatHasIdentifiedItselfMaySendALargeFrame)
{
    LeavingHosts large;
    const std::string text = incompressibleText(200'000);
    for (std::size_t i = 0; i < 2000; ++i)
        large.names_.push_back(text.substr(i * 100, 100));
    Tcp::socket socket(context_);
    socket.connect(endpoint_);
    asio::write(socket, asio::buffer(encodeFrame(Hello {})));
    asio::write(socket, asio::buffer(encodeFrame(large)));
    std::future<SiblingMessage> received = received_.get_future();
    ASSERT_EQ(received.wait_for(5s), std::future_status::ready);
    const SiblingMessage message = received.get();
    ASSERT_TRUE(std::holds_alternative<LeavingHosts>(message));
    EXPECT_EQ(std::get<LeavingHosts>(message).names_.size(), large.names_.size());
}

// Guards against a host that runs out of memory because each of many senders that have identified
// themselves announces a large frame, and none of them sends it.
TEST_F(SiblingListenerTest, AnAnnouncedFrameTakesNoMemoryBeforeItArrives)
{
    const std::size_t before = residentBytes();
    std::vector<Tcp::socket> sockets;
    for (std::size_t i = 0; i < kConnections; ++i) {
        Tcp::socket &socket = sockets.emplace_back(context_);
        socket.connect(endpoint_);
        asio::write(socket, asio::buffer(encodeFrame(Hello {})));
        asio::write(socket, asio::buffer(lengthPrefix(kMaxFrameBytes)));
    }
    waitForFrames(kConnections);
    const std::size_t after = residentBytes();
    EXPECT_LT(after - std::min(after, before), kMaxGrowthBytes) << "bytes grown";
}

// Guards against a host that runs out of memory because many senders leave large frames unfinished:
// what all connections keep together is bounded, and other senders are still heard.
TEST_F(SiblingListenerTest, UnfinishedFramesOfAllSendersAreBoundedTogether)
{
    const std::size_t before = residentBytes();
    std::vector<UnfinishedFrame> senders;
    for (std::size_t i = 0; i < kConnections; ++i)
        senders.emplace_back(context_, endpoint_);
    const TimePoint limit = BootClock::now() + 1s;
    while (BootClock::now() < limit) {
        for (UnfinishedFrame &sender : senders)
            sender.sendMore();
    }
    const std::size_t after = residentBytes();
    EXPECT_LT(after - std::min(after, before), kMaxUnfinishedGrowthBytes) << "bytes grown";
    Tcp::socket socket(context_);
    socket.connect(endpoint_);
    asio::write(socket, asio::buffer(encodeFrame(Hello {})));
    asio::write(socket, asio::buffer(encodeFrame(LeavingHosts {})));
    EXPECT_EQ(received_.get_future().wait_for(5s), std::future_status::ready);
}

// Guards against connections that keep the memory of the largest frame that they have received.
TEST_F(SiblingListenerTest, AFinishedFrameTakesNoMemory)
{
    std::vector<Tcp::socket> sockets;
    LeavingHosts large;
    const std::string text = incompressibleText(3'000'000);
    for (std::size_t i = 0; i < 300; ++i)
        large.names_.push_back(text.substr(i * 10'000, 10'000));
    const std::vector<std::uint8_t> frame = encodeFrame(large);
    const std::size_t before = residentBytes();
    for (std::size_t i = 0; i < kConnections; ++i) {
        Tcp::socket &socket = sockets.emplace_back(context_);
        socket.connect(endpoint_);
        asio::write(socket, asio::buffer(encodeFrame(Hello {})));
        asio::write(socket, asio::buffer(frame));
    }
    waitForFrames(2 * kConnections);
    const std::size_t after = residentBytes();
    EXPECT_LT(after - std::min(after, before), kMaxGrowthBytes) << "bytes grown";
}

// Guards against a message that is read from a part of its frame.
TEST_F(SiblingListenerTest, APartOfAFrameIsNotReceived)
{
    LeavingHosts sent;
    sent.names_ = { "leaving" };
    const std::vector<std::uint8_t> frame = encodeFrame(sent);
    std::uint64_t frames = 0;
    for (std::size_t size = 0; size < frame.size(); ++size) {
        for (const bool isReset : { false, true }) {
            Tcp::socket socket(context_);
            socket.connect(endpoint_);
            asio::write(socket, asio::buffer(encodeFrame(Hello {})));
            asio::write(socket, asio::buffer(frame.data(), size));
            waitForFrames(++frames);
            if (isReset)
                socket.set_option(asio::socket_base::linger(true, 0));
        }
    }
    EXPECT_FALSE(hasReceived_);
    Tcp::socket socket(context_);
    socket.connect(endpoint_);
    asio::write(socket, asio::buffer(encodeFrame(Hello {})));
    asio::write(socket, asio::buffer(frame));
    waitForFrames(frames + 2);
    EXPECT_TRUE(hasReceived_);
}
