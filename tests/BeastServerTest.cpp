#include "src/base/BeastServer.h"
#include "src/base/EventLoop.h"
#include "tests/fakes/NoDescriptors.h"

#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Guards against the end of the process by a division by zero: the server was stopped after a
// failed accept, and its thread, which others also use, ran the retry.
TEST(BeastServer, DoesNotRetryAFailedAcceptAfterItsStop)
{
    EventLoop loop("traffic");
    BeastServer server(loop);
    HttpServerOptions options;
    options.address_ = Address { "127.0.0.1", 0 };
    const bool isStarted = valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(server.start(options, [] { return HttpServer::Handler {}; }));
            return true;
        },
        [](const Error &) { return false; });
    ASSERT_TRUE(isStarted);
    asio::io_context context;
    Tcp::socket caller(context, Tcp::v4());
    {
        const NoDescriptors limit;
        caller.connect({ asio::ip::make_address_v4("127.0.0.1"), server.port() });
        std::this_thread::sleep_for(50ms); // the accept fails
        server.stop();
        std::this_thread::sleep_for(200ms); // more than the delay of the retry
    }
    bool isRunning = false;
    loop.run([&] { isRunning = true; });
    EXPECT_TRUE(isRunning);
}

} // namespace
