#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/MemoryBudget.h"
#include "pimentostage/base/Time.h"
#include "src/base/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// A connection to an HttpServer; exists while it is open or referenced.
struct HttpConnection
{
    std::shared_ptr<void> handlerState_; ///< state that the handler stores per connection
};

/// A request received by an HttpServer.
struct ServerRequest
{
    std::string method_; ///< in upper case
    std::string target_; ///< path and query as received
    std::vector<HttpHeader> headers_;
    std::string body_;
    std::shared_ptr<HttpConnection> connection_; ///< on which the request was received

    /// @return the path, without the query.
    [[nodiscard]] std::string path() const;
    /// @return the query including its '?', or "" if there is none.
    [[nodiscard]] std::string query() const;
    /// @return the value of query parameter @p name, not decoded, or "" if there is none.
    [[nodiscard]] std::string parameter(std::string_view name) const;
    /// @return the value of the first header whose name equals @p name, ignoring case, or nothing.
    [[nodiscard]] std::optional<std::string> header(std::string_view name) const;
};

/// An answer to send.
struct ServerAnswer
{
    int status_ = 200;
    std::string contentType_; ///< if empty, only headers_ may add a Content-Type
    std::vector<HttpHeader> headers_;
    std::string body_;
    bool closesConnection_ = false; ///< whether to close the connection after this answer
};

/// Sends the answer to one request, once. If it is destroyed before, it answers with status 500.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    /// Sends @p answer; further calls have no effect. Any thread may call this.
    virtual void send(ServerAnswer answer) = 0;

    /// Calls @p task once if the caller disconnects before the answer. Only within the handler's
    /// call.
    virtual void onAbandoned(std::function<void()> task) = 0;
};

/// Settings of an HttpServer.
struct HttpServerOptions
{
    Address address_;
    int threads_ = 2;
    std::string threadName_;
    std::size_t maxHeaderBytes_ = std::size_t { 16 } << 10U;
    std::size_t maxRequestBytes_ = std::size_t { 1 } << 20U; ///< of one body
    /// Of the bodies of all requests that are being received or are not answered yet, except small
    /// ones (ByteBudget); a quarter of the memory of an entry host on the platform, 260 MB.
    std::size_t maxBufferedBytes_ = std::size_t { 64 } << 20U;
    /// Where the memory of all connections is counted; if not set, a server counts its own against
    /// defaultMemoryLimits(). Its account UnreadAnswers limits the answers that callers have not
    /// taken yet, divided among the threads; the largest above it are given up.
    std::shared_ptr<MemoryBudget> memory_;
    /// Of the answers that callers have not taken yet; 0: as many as the account allows.
    std::size_t maxUnreadBytes_ = 0;
    /// @return the answer to a request that exceeds maxBufferedBytes_. Called on the server's
    ///         threads.
    std::function<ServerAnswer()> overloadAnswer_;
    /// Of open connections; 0 for no limit. A new one above it takes the place of one on which no
    /// request is received or answered.
    std::size_t maxConnections_ = 0;
    std::size_t maxAnswerBytes_ = std::size_t { 8 } << 20U;
    Duration headerTimeout_ = std::chrono::seconds(60);
    /// For receiving a body, and for the next part of an answer to be taken by the caller.
    Duration bodyTimeout_ = std::chrono::seconds(60);
    Duration keepAliveTimeout_ = std::chrono::seconds(300);
};

/// Interface of an HTTP/1.1 server; the implementations use different libraries.
class HttpServer
{
public:
    /// Handles a request. Must not block. Called on the server's threads.
    using Handler = std::function<void(ServerRequest, std::shared_ptr<HttpResponder>)>;
    /// Creates a handler for one of the server's threads.
    using HandlerFactory = std::function<Handler()>;

    virtual ~HttpServer() = default;

    /// Starts listening and serving.
    /// @return nothing, or an Error of step Listen.
    virtual leaf::result<void> start(const HttpServerOptions &options, HandlerFactory factory) = 0;

    /// Closes the listener and all connections.
    virtual void stop() = 0;

    /// @return the port that the server listens on, also if the options let the system choose it
    ///         (port 0); 0 if it does not listen.
    [[nodiscard]] virtual std::uint16_t port() const = 0;
};

} // namespace pimentostage
