#pragma once

#include "pimentostage/base/Time.h"

#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace pimentostage {

/// A TCP server whose replies do not end: it repeats bytes until the peer closes the connection.
class EndlessServer
{
public:
    /// Bytes to send once after a request, and those to repeat after them.
    struct Reply
    {
        std::string begin_;
        std::string repeated_;
        Duration pause_ {}; ///< before each repetition
    };

    explicit EndlessServer(Reply reply)
        : reply_(std::move(reply))
        , acceptor_(context_, { boost::asio::ip::make_address_v4("127.0.0.1"), 0 })
        , thread_([this] { serve(); })
    { }

    ~EndlessServer()
    {
        stopping_ = true;
        // Connects to itself to unblock accept() on the server's thread.
        boost::asio::ip::tcp::socket socket(context_);
        boost::system::error_code ignored;
        socket.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        {
            const std::lock_guard lock(mutex_);
            for (auto &connection : connections_)
                ::shutdown(connection.socket_.native_handle(), SHUT_RDWR);
        }
        for (auto &connection : connections_)
            connection.thread_.join();
    }

    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// @return the number of requests received.
    [[nodiscard]] int requestCount() const { return requestCount_; }
    /// @return the number of connections that the peer has closed.
    [[nodiscard]] int closedCount() const { return closedCount_; }
    /// @return the number of bytes sent.
    [[nodiscard]] std::size_t sentBytes() const { return sentBytes_; }

private:
    struct Connection
    {
        explicit Connection(boost::asio::io_context &context)
            : socket_(context)
        { }

        boost::asio::ip::tcp::socket socket_;
        std::thread thread_;
    };

    void serve()
    {
        while (!stopping_) {
            boost::asio::ip::tcp::socket socket(context_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (error || stopping_)
                continue;
            const std::lock_guard lock(mutex_);
            Connection &connection = connections_.emplace_back(context_);
            connection.socket_ = std::move(socket);
            connection.thread_ = std::thread([this, &connection] { reply(connection.socket_); });
        }
    }

    void reply(boost::asio::ip::tcp::socket &socket)
    {
        boost::asio::streambuf buffer;
        boost::system::error_code error;
        boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
        if (error)
            return;
        ++requestCount_;
        boost::asio::write(socket, boost::asio::buffer(reply_.begin_), error);
        while (!stopping_ && !error) {
            if (reply_.pause_ > Duration::zero())
                std::this_thread::sleep_for(reply_.pause_);
            sentBytes_ += boost::asio::write(socket, boost::asio::buffer(reply_.repeated_), error);
        }
        if (!stopping_)
            ++closedCount_;
    }

    const Reply reply_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ { false };
    std::atomic<int> requestCount_ { 0 };
    std::atomic<int> closedCount_ { 0 };
    std::atomic<std::size_t> sentBytes_ { 0 };
    std::mutex mutex_; ///< protects connections_ while the server accepts
    std::list<Connection> connections_;
    std::thread thread_;
};

} // namespace pimentostage
