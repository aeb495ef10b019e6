#pragma once

#include "src/base/BeastWorker.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pimentostage {

/// One caller's connection.
class BeastServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Worker> worker, boost::asio::ip::tcp::socket socket)
        : worker_(std::move(worker))
        , socket_(std::move(socket))
        , connection_(std::make_shared<HttpConnection>())
        , activeAt_(BootClock::now())
    { }

    ~Session() { releaseBuffered(); }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void start();

    /// Takes the answer to request number @p number.
    void onAnswer(std::uint64_t number, ServerAnswer answer);

    void setAbandoned(std::uint64_t number, std::function<void()> task);

    /// Ends the connection if no request is being read or answered on it.
    void closeIfIdle();

    void checkTime(TimePoint now);

    void close();

private:
    /// A request and, once it is there, its answer.
    struct Slot
    {
        bool isHead_ = false;
        bool mayBeRepeated_ = false;
        std::optional<ServerAnswer> answer_;
        std::function<void()> abandoned_;
    };

    void read();

    void onRead(const boost::system::error_code &error, std::size_t size);

    void onEnd(const boost::system::error_code &error);

    static void abandon(Slot &slot);

    void abandonAll();

    void parse();

    void newParser();

    /// @return whether the request may go on.
    bool onHeader();

    bool accountBody();

    /// Counts a body of @p bytes against what all connections together may hold.
    bool reserve(std::size_t bytes);

    void releaseBuffered();

    void dispatch();

    /// Answers the request that is being read with @p status and ends the connection.
    void refuse(int status);

    void writeNext();

    void write();

    void onWritten(const boost::system::error_code &error);

    void finish();

    const std::shared_ptr<Worker> worker_;
    boost::asio::ip::tcp::socket socket_;
    const std::shared_ptr<HttpConnection> connection_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::deque<Slot> slots_; ///< requests that are not answered yet, in their order
    std::uint64_t firstNumber_ = 0; ///< of slots_.front()
    std::string writing_;
    std::size_t reserved_ = 0; ///< bytes counted in Worker::buffered_
    TimePoint activeAt_;
    TimePoint parseStartedAt_ {};
    bool isHeaderSeen_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool closesAfterWrite_ = false;
    bool isLast_ = false; ///< no further request is taken
    bool hasEnded_ = false; ///< the caller sends no more
    bool isLingering_ = false;
    bool isClosed_ = false;
};

} // namespace pimentostage
