#pragma once

#include "src/base/BeastServer.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace pimentostage {

/// Lets the system choose the port, so that tests can run in parallel.
constexpr std::uint16_t kAnyPort = 0;

/// @return a GET request for @p path.
inline std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

/// A BeastServer whose requests are answered by the test, or immediately with their path.
class BeastServerTest : public testing::Test
{
protected:
    void start(const HttpServerOptions &overrides = {})
    {
        HttpServerOptions options = overrides;
        options.address_ = Address { "127.0.0.1", kAnyPort };
        options.threads_ = 1;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_CHECK(server_.start(options, [this] {
                    return [this](const ServerRequest &request,
                                  const std::shared_ptr<HttpResponder> &responder) {
                        std::unique_lock lock(mutex_);
                        responder->onAbandoned([this, path = request.path(), responder] {
                            if (answersOnAbandonment_)
                                responder->send({ 503, "", {}, path });
                            recordAbandonment(path);
                        });
                        received_.push_back({ request, responder });
                        if (answersImmediately_)
                            responder->send({ 200, "text/plain", {}, request.path() });
                        changed_.notify_all();
                        if (request.path() == kBlockingPath)
                            changed_.wait(lock, [this] { return !isBlocked_; });
                    };
                }));
                return {};
            },
            [] { FAIL() << "the server does not listen"; });
    }

    void TearDown() override
    {
        resumeServer();
        server_.stop();
    }

    /// Blocks the server's thread in the handler of a request until resumeServer().
    void blockServer()
    {
        {
            const std::lock_guard lock(mutex_);
            isBlocked_ = true;
        }
        blocker_.emplace(server_.port());
        blocker_->send(get(kBlockingPath));
        ASSERT_TRUE(waitFor([this] {
            return std::any_of(received_.begin(), received_.end(), [](const auto &received) {
                return received.request_.path() == kBlockingPath;
            });
        }));
    }

    void resumeServer()
    {
        const std::lock_guard lock(mutex_);
        isBlocked_ = false;
        changed_.notify_all();
    }

    void recordAbandonment(const std::string &path)
    {
        const std::lock_guard lock(mutex_);
        abandoned_.push_back(path);
        changed_.notify_all();
    }

    /// Waits until @p condition, which may read received_ and abandoned_, is true.
    /// @return whether it became true within 5 s.
    bool waitFor(const std::function<bool()> &condition)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(5), condition);
    }

    struct ReceivedRequest
    {
        ServerRequest request_;
        std::shared_ptr<HttpResponder> responder_;
    };

    /// A connection from a caller.
    struct Caller
    {
        /// Creates a caller that is not connected.
        Caller()
            : socket_(context_)
        { }

        explicit Caller(std::uint16_t port)
            : Caller()
        {
            socket_.connect({ boost::asio::ip::make_address_v4("127.0.0.1"), port });
        }

        void send(const std::string &bytes)
        {
            boost::system::error_code ignored;
            boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
        }

        /// Reads until the server closes the connection or the text contains @p end.
        /// @return the text.
        std::string read(const std::string &end)
        {
            std::string text;
            boost::system::error_code error;
            while (!error && text.find(end) == std::string::npos) {
                char part[4096];
                const std::size_t size = socket_.read_some(boost::asio::buffer(part), error);
                text.append(part, size);
            }
            return text;
        }

        boost::asio::io_context context_;
        boost::asio::ip::tcp::socket socket_;
    };

    /// Requests the close of idle connections repeatedly, as a stop does, while it reads.
    /// @return what @p caller received until its connection was closed, or within 5 s.
    std::string readWhileClosingIdle(Caller &caller)
    {
        const TimePoint limit = BootClock::now() + std::chrono::seconds(5);
        std::string text;
        boost::system::error_code error;
        caller.socket_.non_blocking(true);
        while ((!error || error == boost::asio::error::would_block) && BootClock::now() < limit) {
            server_.closeIdle();
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            char part[4096];
            const std::size_t size = caller.socket_.read_some(boost::asio::buffer(part), error);
            text.append(part, size);
        }
        EXPECT_TRUE(error && error != boost::asio::error::would_block) << "not closed";
        return text;
    }

    static constexpr const char *kBlockingPath = "/block";

    BeastServer server_;
    std::optional<Caller> blocker_;
    std::mutex mutex_;
    bool isBlocked_ = false;
    std::condition_variable changed_;
    std::vector<ReceivedRequest> received_;
    std::vector<std::string> abandoned_;
    bool answersImmediately_ = true;
    bool answersOnAbandonment_ = false;
};

} // namespace pimentostage
