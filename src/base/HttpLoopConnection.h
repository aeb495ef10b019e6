#pragma once

#include "src/base/HttpLoopImpl.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pimentostage {

/// One TCP connection to a peer. Always reads, so that it learns of its end at once.
class HttpLoop::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Impl> loop, std::string peer)
        : loop_(std::move(loop))
        , peer_(std::move(peer))
        , socket_(loop_->context_)
        , timer_(loop_->context_)
    { }

    void connect(const std::shared_ptr<Transfer> &transfer);

    /// Sends @p transfer on this idle connection.
    void send(const std::shared_ptr<Transfer> &transfer);

    [[nodiscard]] bool isReusable(TimePoint now) const;
    [[nodiscard]] TimePoint heardAt() const { return heardAt_; }

    /// Closes it; a transfer on it ends as @p step and @p code say.
    void fail(Step step, ErrorCode code, const std::string &detail);

    void close();

private:
    void onConnected(const boost::system::error_code &error);

    void newParser();

    void writeRequest();

    void onWritten(const boost::system::error_code &error);

    void read();

    void onRead(const boost::system::error_code &error, std::size_t size);

    void onEnd(const boost::system::error_code &error);

    /// @return whether the connection reads on.
    bool parse();

    /// Hands the parsed answer over. @return whether the connection reads on.
    bool complete();

    void becomeIdle();

    const std::shared_ptr<Impl> loop_;
    const std::string peer_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
    std::shared_ptr<Transfer> transfer_; ///< nullptr while idle
    std::string outgoing_;
    TimePoint idleSince_ {};
    TimePoint heardAt_ {};
    Duration idleLimit_ = std::chrono::hours(1); // until an answer tells more
    std::size_t served_ = 0;
    bool isConnected_ = false;
    bool isWriting_ = false;
    bool mustClose_ = false;
    bool isClosed_ = false;
};

} // namespace pimentostage
