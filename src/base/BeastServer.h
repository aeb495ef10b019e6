#pragma once

#include "src/base/EventLoop.h"
#include "src/base/HttpServer.h"

#include <memory>
#include <vector>

namespace pimentostage {

/// HttpServer over Boost.Beast, for callers.
///
/// Answers pipelined requests in their order, bounds headers, bodies and all bodies together,
/// refuses a body as soon as its length is known to be too large, notices callers that leave, and
/// lets a caller read the last answer before its connection ends.
class BeastServer : public HttpServer
{
public:
    /// What the end of a caller's sending direction means for a request that is not answered yet.
    enum class HalfClose { Answer, Abandon };

    /// Serves on threads of its own, as many as the options say.
    BeastServer();
    /// Serves on @p loop, which outlives it.
    explicit BeastServer(EventLoop &loop);
    ~BeastServer() override;

    leaf::result<void> start(const HttpServerOptions &options, HandlerFactory factory) override;
    void stop() override;
    [[nodiscard]] std::uint16_t port() const override;

    /// Lets each connection end with its next answer.
    void drain();
    /// Ends idle connections; after drain().
    void closeIdle();

    /// @param meaning for requests of a method that may be repeated (GET, HEAD); others are always
    ///        answered.
    void setHalfClose(HalfClose meaning) { halfClose_ = meaning; }

private:
    class Session;
    class Responder;
    class Worker;

    HalfClose halfClose_ = HalfClose::Answer;
    EventLoop *sharedLoop_ = nullptr;
    std::vector<std::unique_ptr<EventLoop>> ownLoops_;
    std::vector<std::shared_ptr<Worker>> workers_;
    std::uint16_t port_ = 0;
};

} // namespace pimentostage
