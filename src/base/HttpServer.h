#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"
#include "src/base/HttpLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Pistache::Http {
class Request;
class ResponseWriter;
} // namespace Pistache::Http

namespace pimentostage {

/// A connection to an HttpServer; lives as long as it is open, and as long as somebody holds it.
struct HttpConnection
{
    std::shared_ptr<void> context_; ///< whatever the handler keeps with it
};

/// A request as an HttpServer received it. Valid only during the handler's call.
class ServerRequest
{
public:
    ServerRequest(const Pistache::Http::Request &request, HttpConnection &connection)
        : request_(request)
        , connection_(connection)
    { }

    /// @return the method in upper case.
    [[nodiscard]] std::string method() const;
    /// @return the path without the query.
    [[nodiscard]] const std::string &path() const;
    /// @return the query with its '?', or "".
    [[nodiscard]] std::string query() const;
    /// @return the value of one query parameter, or "".
    [[nodiscard]] std::string parameter(const std::string &name) const;
    /// @return the value of a header, or nothing.
    [[nodiscard]] std::optional<std::string> header(const std::string &name) const;
    [[nodiscard]] const std::string &body() const;
    /// @return the connection that it came on.
    [[nodiscard]] HttpConnection &connection() const { return connection_; }

private:
    const Pistache::Http::Request &request_;
    HttpConnection &connection_;
};

/// An answer to send.
struct ServerAnswer
{
    int status_ = 200;
    std::string contentType_;
    std::vector<HttpHeader> headers_;
    std::string body_;
};

/// Sends the answer to one request, from any thread, once.
class HttpResponder
{
public:
    explicit HttpResponder(Pistache::Http::ResponseWriter writer);
    /// Answers 500 if nothing was sent.
    ~HttpResponder();

    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;

    void send(const ServerAnswer &answer);

private:
    std::unique_ptr<Pistache::Http::ResponseWriter> writer_;
    bool sent_ = false;
};

/// Settings of an HttpServer.
struct HttpServerOptions
{
    Address address_;
    int threads_ = 2;
    std::string threadName_;
    std::size_t mostRequestBytes_ = std::size_t { 1 } << 20U;
    std::size_t mostAnswerBytes_ = std::size_t { 8 } << 20U;
    Duration headerTimeout_ = std::chrono::seconds(60);
    Duration bodyTimeout_ = std::chrono::seconds(60);
    Duration keepAliveTimeout_ = std::chrono::seconds(300);
};

/// HTTP server over Pistache.
class HttpServer
{
public:
    /// Must not block. Called on the server's threads.
    using Handler = std::function<void(const ServerRequest &, std::shared_ptr<HttpResponder>)>;
    /// Makes one handler for each of the server's threads.
    using HandlerFactory = std::function<Handler()>;

    HttpServer();
    ~HttpServer();

    /// Starts to listen and serve.
    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const HttpServerOptions &options, HandlerFactory factory);

    /// Closes the listener and all connections.
    void stop();

    /// @return the port it listens on, also if the options left its choice to the system (0).
    [[nodiscard]] std::uint16_t port() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace pimentostage
