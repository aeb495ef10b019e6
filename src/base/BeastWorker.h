#pragma once

#include "pimentostage/base/AnswerMemory.h"
#include "pimentostage/base/ByteBudget.h"
#include "src/base/BeastServer.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace pimentostage {

/// The connections that one thread serves, and on the first worker also the listener.
class BeastServer::Worker : public std::enable_shared_from_this<Worker>
{
public:
    Worker(EventLoop &loop, const HttpServerOptions &options, Handler handler,
           HalfClosePolicy halfClose, std::shared_ptr<ByteBudget> headBudget,
           std::shared_ptr<ByteBudget> bodyBudget, std::size_t maxUnreadBytes)
        : options_(options)
        , handler_(std::move(handler))
        , halfClose_(halfClose)
        , headBudget_(std::move(headBudget))
        , bodyBudget_(std::move(bodyBudget))
        , unread_(maxUnreadBytes, options.memory_, MemoryAccount::UnreadAnswers)
        , context_(loop.context())
        , acceptor_(context_)
        , sweepTimer_(context_)
    { }

    void listen(const boost::asio::ip::tcp::endpoint &endpoint);

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /// Accepts connections and assigns them to @p workers in turn (round robin).
    void accept(std::vector<std::shared_ptr<Worker>> workers);

    void add(boost::asio::ip::tcp::socket socket);
    void drain() { draining_ = true; }
    void closeIdle();
    void close();

    /// Gives up unfinished requests that make no progress, the largest first, until one is given
    /// up.
    /// @param memory the memory of a session that is short.
    /// @param bytes size of the request that needs the memory; only larger ones are given up.
    /// @return whether one was given up.
    bool giveUpStalledRequest(std::size_t (Session::*memory)() const, std::size_t bytes);
    /// Closes the connections with the most unread answers until the limit for them is kept.
    void giveUpUnreadAnswers();

    const HttpServerOptions options_;
    const Handler handler_;
    const HalfClosePolicy halfClose_;
    const std::shared_ptr<ByteBudget> headBudget_; ///< of all workers' heads
    const std::shared_ptr<ByteBudget> bodyBudget_; ///< of all workers' bodies
    AnswerMemory unread_; ///< of this thread's connections, by their ids
    boost::asio::io_context &context_;
    std::map<AnswerMemory::AnswerId, std::shared_ptr<Session>> sessions_;
    std::atomic<std::size_t> activeConnections_ { 0 }; ///< sessions that owe or expect something
    bool draining_ = false;
    /// Limits the time for which one caller occupies a thread.
    static constexpr std::size_t kMaxReadSize = std::size_t { 16 } * 1024;
    std::array<char, kMaxReadSize> readBuffer_ {}; ///< of the connection that is being read

private:
    void acceptNext();

    void scheduleSweep();

    /// Closes the connection that is needed least, if any.
    /// @return whether one was closed.
    bool closeLeastNeeded();

    /// @return the sessions, which may close while the result is in use.
    [[nodiscard]] std::vector<std::shared_ptr<Session>> openSessions() const;

    static constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer sweepTimer_;
    bool isSweepScheduled_ = false;
    std::unique_ptr<boost::asio::steady_timer> acceptRetryTimer_;
    std::vector<std::shared_ptr<Worker>> allWorkers_;
    std::size_t nextWorker_ = 0;
    AnswerMemory::AnswerId lastSessionId_ = 0;
};

} // namespace pimentostage
