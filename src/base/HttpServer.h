#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"
#include "src/base/HttpLoop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// A connection to an HttpServer; lives as long as it is open, and as long as somebody holds it.
struct HttpConnection
{
    std::shared_ptr<void> context_; ///< whatever the handler keeps with it
};

/// A request as an HttpServer received it.
struct ServerRequest
{
    std::string method_; ///< in upper case
    std::string target_; ///< path and query as they were sent
    std::vector<HttpHeader> headers_;
    std::string body_;
    std::shared_ptr<HttpConnection> connection_; ///< that it came on

    /// @return the path without the query.
    [[nodiscard]] std::string path() const;
    /// @return the query with its '?', or "".
    [[nodiscard]] std::string query() const;
    /// @return the value of one query parameter, or "".
    [[nodiscard]] std::string parameter(std::string_view name) const;
    /// @return the value of the first header of that name in any case, or nothing.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// An answer to send.
struct ServerAnswer
{
    int status_ = 200;
    std::string contentType_; ///< may be empty if headers_ has one or none is wanted
    std::vector<HttpHeader> headers_;
    std::string body_;
    bool closes_ = false; ///< whether the connection ends with it
};

/// Sends the answer to one request, from any thread, once.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void send(ServerAnswer answer) = 0;

    /// Calls @p task, once, if the caller leaves before the answer. Only within the handler's call.
    virtual void onAbandoned(std::function<void()> task) = 0;
};

/// Settings of an HttpServer.
struct HttpServerOptions
{
    Address address_;
    int threads_ = 2;
    std::string threadName_;
    std::size_t mostHeaderBytes_ = std::size_t { 16 } << 10U;
    std::size_t mostRequestBytes_ = std::size_t { 1 } << 20U; ///< of one body
    std::size_t mostBufferedBytes_ = std::size_t { 64 } << 20U; ///< of all bodies together
    std::size_t mostAnswerBytes_ = std::size_t { 8 } << 20U;
    Duration headerTimeout_ = std::chrono::seconds(60);
    Duration bodyTimeout_ = std::chrono::seconds(60);
    Duration keepAliveTimeout_ = std::chrono::seconds(300);
};

/// An HTTP/1.1 server; its implementations differ in the library behind them.
class HttpServer
{
public:
    /// Must not block. Called on the server's threads.
    using Handler = std::function<void(ServerRequest, std::shared_ptr<HttpResponder>)>;
    /// Makes one handler for each of the server's threads.
    using HandlerFactory = std::function<Handler()>;

    virtual ~HttpServer() = default;

    /// Starts to listen and serve.
    /// @return nothing, or an Error of step Listen.
    virtual leaf::result<void> start(const HttpServerOptions &options, HandlerFactory factory) = 0;

    /// Closes the listener and all connections.
    virtual void stop() = 0;

    /// @return the port it listens on, also if the options left its choice to the system (0).
    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

} // namespace pimentostage
