#pragma once

#include "src/base/HttpClientImpl.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pimentostage {

/// One TCP connection to a peer. A read is always pending, so that a close by the peer is detected
/// immediately.
class HttpClient::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Impl> client, std::string peer, ConnectionId id)
        : client_(std::move(client))
        , peer_(std::move(peer))
        , id_(id)
        , socket_(client_->context_)
        , timer_(client_->context_)
    { }

    void connect(const std::shared_ptr<Transfer> &transfer);

    /// Sends the request of @p transfer on this connection, which must be idle.
    void send(const std::shared_ptr<Transfer> &transfer);

    /// @return whether this idle connection may be used for another request at @p now.
    [[nodiscard]] bool isReusable(TimePoint now);
    [[nodiscard]] ConnectionId id() const { return id_; }
    [[nodiscard]] TimePoint lastReadAt() const { return lastReadAt_; }

    /// Closes the connection; its transfer, if any, fails with @p step, @p code and @p detail.
    void fail(Step step, ErrorCode code, const std::string &detail);

    void close();

private:
    /// Rejects folded lines in the trailer of a chunked body. The parser calls it when it has the
    /// whole trailer and before it reads the fields.
    struct TrailerCheck
    {
        /// @param size of the chunk; 0 for the last one, which the trailer follows.
        /// @param extensions those of the chunk, in buffer_.
        /// @param error set if a line of the trailer is folded.
        void operator()(std::uint64_t size, boost::beast::string_view extensions,
                        boost::system::error_code &error) const;

        const boost::beast::flat_buffer &buffer_; ///< contains the whole trailer
    };

    /// @return whether the peer has sent bytes that were not read yet, or has closed.
    [[nodiscard]] bool hasUnreadInput();

    void onConnected(const boost::system::error_code &error);

    void resetParser();

    void writeRequest();

    /// Writes outgoing_; what the socket does not take at once is written as it becomes writable.
    void startWriting(const SharedBody &body);

    void onWritten(const boost::system::error_code &error);

    /// @return why the connection has ended, where the pending read failed with @p readError.
    [[nodiscard]] boost::system::error_code endReason(
        const boost::system::error_code &readError) const;

    void read();

    void onRead(const boost::system::error_code &error, std::size_t size);

    /// @param readError the result of the read.
    void onEnd(const boost::system::error_code &readError);

    /// Parses the received bytes.
    /// @return whether the answer is incomplete and more must be read.
    bool parse();

    /// Reports the memory of the unfinished answer, which may have to be given up.
    void limitMemory();

    /// Ends the transfer with the parsed answer; an open connection becomes idle.
    void complete();

    void becomeIdle();

    const std::shared_ptr<Impl> client_;
    const std::string peer_;
    const ConnectionId id_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    TrailerCheck checkTrailer_ { buffer_ }; ///< must outlive parser_
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::shared_ptr<Transfer> transfer_; ///< nullptr while idle
    std::string outgoing_; ///< head of the request that is being written
    boost::system::error_code writeError_; ///< if set, the request was not completely written
    TimePoint idleSince_ {};
    TimePoint lastReadAt_ {};
    Duration maxIdleTime_ = std::chrono::hours(1); // until the first answer sets it
    std::size_t headBytes_ = 0; ///< memory of the current answer's parsed head
    std::size_t responseCount_ = 0;
    std::size_t interimCount_ = 0; ///< interim answers to the current request
    bool isConnected_ = false;
    bool isWriting_ = false;
    bool mustClose_ = false;
    bool isClosed_ = false;
};

} // namespace pimentostage
