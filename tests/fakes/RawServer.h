#pragma once

#include "pimentostage/base/Ids.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace pimentostage {

/// A TCP server that answers each request head with whatever a test says, byte for byte.
class RawServer
{
public:
    /// What to do with a request: bytes to send, and whether to close the connection then.
    struct Reply
    {
        std::string bytes_;
        bool closes_ = false;
    };
    /// @param head the request's head. @param number of the request, counted from 1.
    using Answer = std::function<Reply(const std::string &head, int number)>;

    explicit RawServer(Answer answer)
        : answer_(std::move(answer))
        , acceptor_(context_, { boost::asio::ip::make_address_v4("127.0.0.1"), 0 })
        , thread_([this] { serve(); })
    { }

    ~RawServer()
    {
        stopping_ = true;
        // A connection of our own ends the accept that the thread waits in.
        boost::asio::ip::tcp::socket socket(context_);
        boost::system::error_code ignored;
        socket.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// @return how many requests have arrived.
    [[nodiscard]] int requests() const { return requests_; }

private:
    void serve()
    {
        while (!stopping_) {
            boost::asio::ip::tcp::socket socket(context_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (!error && !stopping_)
                converse(socket);
        }
    }

    // One connection at a time; a test's client has no more.
    void converse(boost::asio::ip::tcp::socket &socket)
    {
        boost::asio::streambuf buffer;
        boost::system::error_code error;
        while (!stopping_) {
            const std::size_t size = boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
            if (error)
                return;
            const std::string head(boost::asio::buffers_begin(buffer.data()),
                                   boost::asio::buffers_begin(buffer.data())
                                       + static_cast<std::ptrdiff_t>(size));
            buffer.consume(buffer.size());
            const Reply reply = answer_(head, ++requests_);
            boost::asio::write(socket, boost::asio::buffer(reply.bytes_), error);
            if (reply.closes_ || error)
                return;
        }
    }

    const Answer answer_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopping_ { false };
    std::atomic<int> requests_ { 0 };
    std::thread thread_;
};

/// @return a whole answer that repeats a request id.
inline std::string rawAnswer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nPimento-Request-Id: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace pimentostage
