#pragma once

#include "pimentostage/base/AnswerMemory.h"
#include "src/base/EventLoop.h"
#include "src/base/HttpClient.h"

#include <algorithm>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pimentostage {

/// The parts of a URL "http://ip:port/target".
struct ParsedUrl
{
    std::string peer_; ///< "ip:port"
    std::string target_;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint_; ///< not set if the URL is invalid
};

/// Transfers and connections of an HttpClient; used only on the client's thread, apart from post().
class HttpClient::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const HttpClientOptions &options, EventLoop &loop)
        : options_(options)
        , context_(loop.context())
        , answerMemory_(options.memory_ ? options.maxUnfinishedBytes_
                                        : std::max(options.maxUnfinishedBytes_,
                                                   kMinUnfinishedAnswers * options.maxAnswerBytes_),
                        options.memory_, options.account_)
    { }

    void post(Task task)
    {
        boost::asio::post(context_, [self = shared_from_this(), task = std::move(task)] {
            if (!self->isClosed_)
                task();
        });
    }

    TransferId start(HttpRequest request, Done done);
    void cancel(TransferId id);

    [[nodiscard]] std::size_t unfinishedBytes() const { return answerMemory_.totalBytes(); }

    void runAt(TimePoint at, Task task)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(context_);
        timer->expires_after(std::max(Duration::zero(), at - BootClock::now()));
        timer->async_wait([self = shared_from_this(), timer,
                           task = std::move(task)](const boost::system::error_code &error) {
            if (!error && !self->isClosed_)
                task();
        });
    }

    /// Closes all connections; no callback or task runs after that.
    void close();

private:
    class Connection;
    struct PeerState;

    /// Largest answers whose memory is always allowed: the memory of a single one, which may be
    /// twice its size while it grows, must not exceed the limit.
    static constexpr std::size_t kMinUnfinishedAnswers = 4;

    struct Transfer
    {
        Transfer(boost::asio::io_context &context, HttpRequest request, Done done)
            : request_(std::move(request))
            , done_(std::move(done))
            , timer_(context)
            , startedAt_(BootClock::now())
        { }

        TransferId id_ = 0;
        HttpRequest request_;
        ParsedUrl url_;
        Done done_;
        boost::asio::steady_timer timer_;
        TimePoint startedAt_;
        AttemptState state_ = AttemptState::NotSent;
        bool isReused_ = false;
        ConnectionId connectionId_ = 0;
        std::weak_ptr<Connection> connection_; ///< expired while the transfer has no connection
    };

    struct PeerState
    {
        std::list<std::shared_ptr<Connection>> idleConnections_; ///< most recently used first
        std::deque<TransferId> waitingTransfers_; ///< wait for a connection, oldest first
        std::set<ConnectionId> openConnections_;
    };

    void assign(const std::shared_ptr<Transfer> &transfer);
    void assignNext(const std::string &peer);
    /// @return whether another connection to @p peer may be opened.
    [[nodiscard]] bool mayConnect(const PeerState &peer) const;
    /// Assigns the connection that the request of @p transfer requires.
    void assignRequired(PeerState &peer, const std::shared_ptr<Transfer> &transfer);
    /// @return an idle connection on which @p request may be sent, or nullptr.
    static std::shared_ptr<Connection> takeIdle(PeerState &peer, const HttpRequest &request);
    void onTimeout(TransferId id);
    /// Records that the unfinished answer to @p id occupies @p bytes, and fails the transfers whose
    /// answers must be given up; that of @p id may be among them.
    void limitMemory(TransferId id, std::size_t bytes);
    void finish(Transfer &transfer, HttpResult result);
    void fail(Transfer &transfer, Step step, ErrorCode code, std::string detail);

    const HttpClientOptions options_;
    boost::asio::io_context &context_;
    std::unordered_map<TransferId, std::shared_ptr<Transfer>> transfers_;
    std::unordered_map<std::string, PeerState> peers_;
    AnswerMemory answerMemory_;
    TransferId lastId_ = 0;
    ConnectionId lastConnectionId_ = 0;
    bool isClosed_ = false;
};

} // namespace pimentostage
