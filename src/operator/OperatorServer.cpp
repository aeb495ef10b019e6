#include "src/operator/OperatorServer.h"

namespace pimentostage {

namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::size_t kMaxRequestBytes = std::size_t { 16 } << 10U; // no page takes a body
constexpr std::size_t kMaxBufferedBytes = std::size_t { 256 } << 10U; // of all connections
constexpr std::size_t kMaxUnreadBytes = std::size_t { 2 } << 20U; // of all connections
// A balancer, a collector of metrics and some operators use a few each.
constexpr std::size_t kMaxConnections = 64;
constexpr const char *kText = "text/plain; charset=utf-8";
constexpr const char *kJson = "application/json";

} // namespace

const OperatorServer::Page OperatorServer::kPages[] = {
    { "/metrics", &OperatorServer::metrics },  { "/healthz", &OperatorServer::health },
    { "/readyz", &OperatorServer::readiness }, { "/status", &OperatorServer::status },
    { "/owner", &OperatorServer::owner },
};

OperatorServer::OperatorServer(std::unique_ptr<HttpServer> server, HostStatus &status,
                               MetricRegistry &registry)
    : status_(status)
    , metrics_(registry)
    , server_(std::move(server))
{ }

leaf::result<void> OperatorServer::start(const Address &address, const std::string &readyPath,
                                         std::shared_ptr<MemoryBudget> memory)
{
    readyPath_ = readyPath;
    HttpServerOptions options;
    options.address_ = address;
    options.threads_ = 1;
    options.threadName_ = "operator";
    options.maxRequestBytes_ = kMaxRequestBytes;
    options.maxBufferedBytes_ = kMaxBufferedBytes;
    options.memory_ = std::move(memory);
    options.maxUnreadBytes_ = kMaxUnreadBytes;
    options.maxConnections_ = kMaxConnections;
    return server_->start(options, [this] {
        return
            [this](const ServerRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                responder->send(answer(request));
            };
    });
}

ServerAnswer OperatorServer::answer(const ServerRequest &request)
{
    const std::string path = request.path();
    if (!readyPath_.empty() && path == readyPath_)
        return readiness(request);
    for (const Page &page : kPages) {
        if (path == page.path_)
            return (this->*page.answer_)(request);
    }
    return ServerAnswer { kNotFound, kText, {}, "no such page\n" };
}

ServerAnswer OperatorServer::metrics(const ServerRequest &)
{
    return ServerAnswer { 200, "text/plain; version=0.0.4", {}, metrics_.exposition() };
}

ServerAnswer OperatorServer::health(const ServerRequest &)
{
    return ServerAnswer { 200, kText, {}, "ok\n" };
}

ServerAnswer OperatorServer::readiness(const ServerRequest &)
{
    if (status_.isReady())
        return ServerAnswer { 200, kText, {}, "ready\n" };
    return ServerAnswer { kUnavailable, kText, {}, "not ready\n" };
}

ServerAnswer OperatorServer::status(const ServerRequest &)
{
    return ServerAnswer { 200, kJson, {}, status_.statusJson() };
}

ServerAnswer OperatorServer::owner(const ServerRequest &request)
{
    const std::string json
        = status_.ownerJson(request.parameter("service"), request.parameter("key"));
    return ServerAnswer { json.empty() ? kNotFound : 200, kJson, {}, json };
}

} // namespace pimentostage
