#pragma once

#include "src/base/EventLoop.h"
#include "src/base/HttpServer.h"

#include <memory>
#include <vector>

namespace pimentostage {

/// HttpServer based on Boost.Beast, for callers.
///
/// Answers pipelined requests in order, limits the size of each header, each body and all bodies
/// together, rejects a body as soon as its length is known to be too large, detects that a caller
/// has disconnected, and closes connections with a delay so that the caller can read the last
/// answer.
class BeastServer : public HttpServer
{
public:
    /// What happens to an unanswered request when its caller half-closes the connection.
    enum class HalfClosePolicy { Answer, Abandon };

    /// Time for the first request on a new connection to arrive before closeIdle() closes it.
    static constexpr Duration kFirstRequestTimeout = std::chrono::milliseconds(500);

    /// Creates a server that runs on its own threads; HttpServerOptions gives their number.
    BeastServer();
    /// Creates a server that runs on @p loop, which must outlive it.
    explicit BeastServer(EventLoop &loop);
    ~BeastServer() override;

    leaf::result<void> start(const HttpServerOptions &options, HandlerFactory factory) override;
    void stop() override;
    [[nodiscard]] std::uint16_t port() const override;

    /// Closes each connection after its next answer; pipelined requests that were received before
    /// are still answered.
    void drain();
    /// Closes idle connections. To be called after drain(). A connection on which bytes have
    /// arrived is not idle, and neither is a new one that may still receive its first request.
    void closeIdle();

    /// @return the number of connections on which a request may still arrive or an answer is due.
    ///         Any thread may call this between start() and stop().
    [[nodiscard]] std::size_t activeConnections() const;

    /// Sets the policy for the safe methods GET and HEAD; requests with other methods are always
    /// answered. To be called before start().
    void setHalfClosePolicy(HalfClosePolicy policy) { halfClose_ = policy; }

private:
    class Session;
    class Responder;
    class Worker;

    HalfClosePolicy halfClose_ = HalfClosePolicy::Answer;
    EventLoop *sharedLoop_ = nullptr;
    std::vector<std::unique_ptr<EventLoop>> ownLoops_;
    std::vector<std::shared_ptr<Worker>> workers_;
    std::uint16_t port_ = 0;
};

} // namespace pimentostage
