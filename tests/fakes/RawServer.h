#pragma once

#include "pimentostage/base/Ids.h"

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace pimentostage {

/// A TCP server that replies to each request with the exact bytes that a test provides.
class RawServer
{
public:
    /// Bytes to send for a request, and whether to close the connection afterwards.
    struct Reply
    {
        std::string bytes_;
        bool closesConnection_ = false;
        std::string
            beforeNext_ {}; ///< sent on this connection before the reply to its next request
        std::string unrequested_ {}; ///< sent on this connection after unrequestedDelay_
        std::chrono::milliseconds unrequestedDelay_ {};
        bool endsStream_ = false; ///< sends FIN after the bytes, and reads on
        bool resetsConnection_ = false; ///< after the bytes, and after FIN if endsStream_ is set
    };
    /// Returns the reply to a request.
    /// @param head request line and headers.
    /// @param number number of the request, counted from 1.
    using ReplyFunction = std::function<Reply(const std::string &head, int number)>;

    explicit RawServer(ReplyFunction makeReply)
        : makeReply_(std::move(makeReply))
        , acceptor_(context_, { boost::asio::ip::make_address_v4("127.0.0.1"), 0 })
        , thread_([this] { serve(); })
    { }

    ~RawServer()
    {
        stopping_ = true;
        // Connects to itself to unblock accept() on the server's thread.
        boost::asio::ip::tcp::socket socket(context_);
        boost::system::error_code ignored;
        socket.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (std::thread &connection : connections_)
            connection.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// @return the number of requests received.
    [[nodiscard]] int requestCount() const { return requestCount_; }

    /// Waits until clients have closed @p count connections.
    /// @return whether they have within 5 s.
    bool waitForClosedConnections(int count)
    {
        std::unique_lock lock(closedMutex_);
        return closed_.wait_for(lock, std::chrono::seconds(5),
                                [&] { return closedCount_ >= count; });
    }

    /// @return the number of connections that clients have reset.
    int resetConnections()
    {
        const std::lock_guard lock(closedMutex_);
        return resetCount_;
    }

private:
    void serve()
    {
        while (!stopping_) {
            boost::asio::ip::tcp::socket socket(context_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (error || stopping_)
                continue;
            connections_.emplace_back([this, socket = std::move(socket)]() mutable {
                const boost::system::error_code end = serveConnection(socket);
                const std::lock_guard lock(closedMutex_);
                ++closedCount_;
                resetCount_ += end == boost::asio::error::connection_reset ? 1 : 0;
                closed_.notify_all();
            });
        }
    }

    // Ends when the client, which a test destroys before the server, closes the connection.
    boost::system::error_code serveConnection(boost::asio::ip::tcp::socket &socket)
    {
        boost::asio::streambuf buffer;
        boost::system::error_code error;
        std::string before;
        while (!stopping_) {
            const std::size_t size = boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
            if (error)
                return error;
            const std::string head(boost::asio::buffers_begin(buffer.data()),
                                   boost::asio::buffers_begin(buffer.data())
                                       + static_cast<std::ptrdiff_t>(size));
            buffer.consume(buffer.size());
            const Reply reply = replyTo(head);
            boost::asio::write(socket, boost::asio::buffer(before + reply.bytes_), error);
            before = reply.beforeNext_;
            if (reply.endsStream_)
                socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
            if (reply.resetsConnection_) {
                // The client reads the bytes first; a reset may discard them.
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                socket.set_option(boost::asio::socket_base::linger(true, 0), error);
                socket.close(error);
                return error;
            }
            if (reply.endsStream_)
                return readToEnd(socket);
            if (reply.closesConnection_ || error)
                return error;
            if (reply.unrequested_.empty())
                continue;
            std::this_thread::sleep_for(reply.unrequestedDelay_);
            boost::asio::write(socket, boost::asio::buffer(reply.unrequested_), error);
        }
        return error;
    }

    // The requests that a client sends after the end of the stream get no reply.
    static boost::system::error_code readToEnd(boost::asio::ip::tcp::socket &socket)
    {
        std::array<char, 4096> ignored {};
        boost::system::error_code error;
        while (!error)
            socket.read_some(boost::asio::buffer(ignored), error);
        return error;
    }

    Reply replyTo(const std::string &head)
    {
        const std::lock_guard lock(mutex_);
        return makeReply_(head, ++requestCount_);
    }

    const ReplyFunction makeReply_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ { false };
    std::atomic<int> requestCount_ { 0 };
    std::mutex closedMutex_;
    std::condition_variable closed_;
    int closedCount_ = 0;
    int resetCount_ = 0;
    std::mutex mutex_; ///< makeReply_ is called for one request at a time
    std::vector<std::thread> connections_; ///< used by thread_ until it has ended
    std::thread thread_;
};

/// @return a complete answer that carries the request id @p id.
inline std::string rawAnswer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nPimento-Request-Id: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace pimentostage
