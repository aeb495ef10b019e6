#include "src/sibling/SiblingLinks.h"
#include "src/base/EventLoop.h"
#include "src/sibling/FrameCodec.h"
#include "tests/fakes/IncompressibleText.h"
#include "tests/fakes/NoDescriptors.h"
#include "tests/fakes/NullLog.h"

#include <ctime>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

const HostName kPeer("edge-2");

/// A host whose messages the test sends, and a listening socket in place of the other host.
class SiblingLinksTest : public testing::Test
{
protected:
    SiblingLinksTest()
        : acceptor_(context_, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0))
        , links_(
              loop_.context(), MemberUpdate {},
              [this](const HostName &host) {
                  return Address { host == kPeer ? "127.0.0.1" : "no address",
                                   acceptor_.local_endpoint().port() };
              },
              [](const MemberUpdate &, const SiblingMessage &) {}, log_, metrics_)
    { }

    ~SiblingLinksTest() override
    {
        loop_.run([this] { links_.close(); });
        loop_.stop();
    }

    /// @return the next connection that the host opens.
    Tcp::socket accept() { return acceptor_.accept(); }

    /// @return the payload of the next frame on @p socket; empty if its length is invalid.
    static std::vector<std::uint8_t> readPayload(Tcp::socket &socket)
    {
        std::array<std::uint8_t, kFrameLengthBytes> length {};
        asio::read(socket, asio::buffer(length));
        const std::uint32_t size = frameLength(length.data());
        std::vector<std::uint8_t> payload(size <= kMaxFrameBytes ? size : 0);
        asio::read(socket, asio::buffer(payload));
        return payload;
    }

    /// @return whether the next frame on @p socket contains a message of type @p T.
    template <typename T>
    static bool receives(Tcp::socket &socket)
    {
        const std::vector<std::uint8_t> payload = readPayload(socket);
        return valueOr(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_AUTO(message, decodeFrame(payload));
                return std::holds_alternative<T>(message);
            },
            [](const Error &) { return false; });
    }

    asio::io_context context_;
    Tcp::acceptor acceptor_;
    NullLog log_;
    MetricRegistry metrics_;
    EventLoop loop_ { "control" };
    SiblingLinks links_;
};

/// @return a message with an object of @p bytes.
ConfigPush pushOf(std::size_t bytes)
{
    ConfigPush push;
    StoredObject object;
    object.value_ = incompressibleText(bytes);
    push.objects_.push_back(object);
    return push;
}

// Guards against a read of the freed frame of a connection that was closed during its write: the
// rest of the frame went to the connection that was opened next.
TEST_F(SiblingLinksTest, SendsNoPartOfAClosedConnectionsFrameOnTheNextConnection)
{
    const std::size_t frameBytes = std::size_t { 4 } << 20U; // takes many writes to the socket
    // After the release of a larger block, the C library keeps released frames mapped.
    static_cast<void>(encodeFrame(pushOf(4 * frameBytes)));
    loop_.run([this] { links_.send(kPeer, Probe {}); });
    Tcp::socket silent = accept();
    EXPECT_TRUE(receives<Hello>(silent));
    EXPECT_TRUE(receives<Probe>(silent));
    std::this_thread::sleep_for(SiblingLinks::kSilenceTimeout + 100ms);
    loop_.run([&] {
        links_.send(kPeer, pushOf(frameBytes));
        links_.send(kPeer, Probe {});
    });
    Tcp::socket next = accept();
    EXPECT_TRUE(receives<Hello>(next));
    EXPECT_TRUE(receives<Probe>(next));
}

// Guards against the end of the process by an exception: a sibling reported a host with an address
// that is not an IPv4 address, and a message was sent to that host.
TEST_F(SiblingLinksTest, SendsNothingToAHostWithAnInvalidAddress)
{
    bool isRunning = false;
    loop_.run([&] {
        links_.send(HostName("edge-3"), Probe {});
        isRunning = true;
    });
    EXPECT_TRUE(isRunning);
}

// Guards against a control thread that never waits: a failed accept was repeated at once, for as
// long as the process had no free file descriptor.
TEST_F(SiblingLinksTest, WaitsBetweenFailedAccepts)
{
    const Tcp::endpoint endpoint = acceptor_.local_endpoint();
    acceptor_.close();
    const bool isListening = valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(links_.listen(Address { "127.0.0.1", endpoint.port() }));
            return true;
        },
        [](const Error &) { return false; });
    ASSERT_TRUE(isListening);
    Tcp::socket sibling(context_, Tcp::v4());
    const NoDescriptors limit;
    sibling.connect(endpoint);
    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(500ms);
    const double usedSeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    EXPECT_LT(usedSeconds, 0.05);
}

} // namespace
