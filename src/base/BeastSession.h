#pragma once

#include "src/base/BeastWorker.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pimentostage {

/// A connection from a caller.
class BeastServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Worker> worker, boost::asio::ip::tcp::socket socket,
            AnswerMemory::AnswerId id)
        : id_(id)
        , worker_(std::move(worker))
        , socket_(std::move(socket))
        , connection_(std::make_shared<HttpConnection>())
        , openedAt_(BootClock::now())
        , lastActivityAt_(openedAt_)
    { }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void start();

    /// Stores the answer to request @p number and sends it when all earlier ones are sent.
    void onAnswer(std::uint64_t number, ServerAnswer answer);

    /// Sets the callback for the case that the caller disconnects before request @p number is
    /// answered.
    void setOnAbandoned(std::uint64_t number, std::function<void()> task);

    /// Closes the connection if no request is being read or answered on it or is about to be read.
    void closeIfIdle(TimePoint now);

    /// Closes the connection, or answers with status 408, if a timeout has expired.
    void checkTimeouts(TimePoint now);

    void close();

    /// @return the memory reserved for the body of the request that is being received, in bytes.
    [[nodiscard]] std::size_t unfinishedBodyBytes() const
    {
        return parser_ ? bodyBytes_.bytes() : 0;
    }
    /// @return the memory reserved for the head of the request that is being received, in bytes.
    [[nodiscard]] std::size_t unfinishedHeadBytes() const
    {
        return parser_ ? headBytes_.bytes() : 0;
    }
    /// @return whether the request that is being received has made no progress lately.
    [[nodiscard]] bool isStalled(TimePoint now) const;
    /// What a connection is used for; closed in this order when there are too many.
    enum class ConnectionUse { Closing, Unused, Stalled, Idle };
    /// Connections are closed in the order of these.
    using Disposability = std::pair<ConnectionUse, TimePoint>;
    /// @return how early this connection is closed for a new one, or nothing if a request is being
    ///         received or answered on it.
    [[nodiscard]] std::optional<Disposability> disposability(TimePoint now) const;

    /// Refuses the request that is being received; it has not run.
    void giveUpUnfinished();

private:
    /// A request whose answer is not sent yet.
    struct PendingRequest
    {
        bool isHeadRequest_ = false;
        bool isSafeMethod_ = false; ///< GET or HEAD
        std::optional<ServerAnswer> answer_; ///< empty until the handler has answered
        std::size_t answerBytes_ = 0; ///< memory of answer_ that is counted as unread
        std::function<void()> onAbandoned_;
    };

    /// @return whether no request is being read or answered and none has arrived. Closing an idle
    ///         connection loses no request that the caller has reason to believe was received.
    [[nodiscard]] bool isIdle() const;

    /// Ends the count of this connection in Worker::activeConnections_.
    void setInactive();

    /// Closes the connection if it is idle, once a read that is in progress has ended.
    void finishIfIdle();

    void read();

    /// Reads what has arrived.
    void onReadable(const boost::system::error_code &waitError);

    /// Notes that @p bytes have arrived.
    void recordProgress(std::size_t bytes);

    void onRead(const boost::system::error_code &error, std::size_t size);

    void onReadError(const boost::system::error_code &error);

    static void abandon(PendingRequest &pending);

    void abandonAll();

    void parse();

    void newParser();

    /// Checks a complete header.
    /// @return whether the request is accepted so far; if not, it has been refused.
    bool onHeader();

    /// Reserves memory for the part of the body that was received so far.
    /// @return whether it is within the limit; if not, the request has been refused.
    bool reserveBody();

    /// Counts a body of @p bytes, until its request is answered, against the limit for the bodies
    /// of all connections.
    /// @return whether it is within the limit; if not, the request has been refused.
    bool reserve(std::size_t bytes);

    /// Counts the head of the request that is being received against the limit for all heads.
    /// @return whether it is within the limit; if not, the request has been refused.
    bool countHead();

    void dispatch();

    /// Answers the request that is being read with @p status and closes the connection.
    void refuse(int status);

    /// Counts the answer of @p pending as unread, and gives up the largest unread answers if all
    /// exceed their limit.
    /// @return whether this connection is still open.
    bool countUnread(PendingRequest &pending);

    /// Ends the count of an answer of @p bytes that the caller has taken.
    void endUnread(std::size_t bytes);

    void writeNext();

    void write();

    void onWritten(const boost::system::error_code &error);

    /// Ends the connection so that the caller can still read the last answer.
    void finish();

    const AnswerMemory::AnswerId id_;
    const std::shared_ptr<Worker> worker_;
    boost::asio::ip::tcp::socket socket_;
    const std::shared_ptr<HttpConnection> connection_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::deque<PendingRequest> pendingRequests_; ///< in the order of arrival
    std::uint64_t firstPendingNumber_ = 0; ///< of pendingRequests_.front()
    std::string writeBuffer_; ///< head of the answer that is being written
    std::string writeBody_;
    std::size_t writingBytes_ = 0; ///< counted for the answer that is being written
    std::size_t unreadBytes_ = 0; ///< counted for all answers of this connection
    ByteBudget::Reservation bodyBytes_; ///< of the request that is being read
    ByteBudget::Reservation headBytes_; ///< of the request that is being read
    std::size_t headMemory_ = 0; ///< of its parsed fields, once they are complete
    const TimePoint openedAt_;
    TimePoint lastActivityAt_;
    TimePoint lastWriteAt_ {}; ///< at which the caller's system last took a part of an answer
    TimePoint parseStartedAt_ {};
    TimePoint progressAt_ {}; ///< at which the request that is being received last made progress
    std::size_t progressBytes_ = 0; ///< received since then
    bool isHeaderChecked_ = false;
    bool isReading_ = false;
    bool finishesAfterRead_ = false; ///< if the read in progress ends without bytes
    bool isWriting_ = false;
    bool closesAfterWrite_ = false;
    bool hasReceivedLastRequest_ = false; ///< further requests are ignored
    bool hasReceivedEof_ = false; ///< the caller has closed its sending direction
    bool isActive_ = true; ///< counted in Worker::activeConnections_
    bool isLingering_ = false;
    bool isClosed_ = false;
};

} // namespace pimentostage
