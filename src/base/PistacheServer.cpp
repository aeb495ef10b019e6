#include "src/base/PistacheServer.h"

#include <exception>

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>

namespace pimentostage {

namespace {

namespace http = Pistache::Http;

constexpr int kInternalError = 500;
constexpr int kListenBacklog = 1024;
constexpr const char *kConnectionData = "pimentostage.connection";

/// A header with an arbitrary name; Pistache writes only headers that are instances of a class.
class TextHeader : public http::Header::Header
{
public:
    TextHeader(std::string name, std::string value)
        : name_(std::move(name))
        , value_(std::move(value))
    { }

    const char *name() const override { return name_.c_str(); }
    void write(std::ostream &out) const override { out << value_; }
    std::uint64_t hash() const override { return std::hash<std::string> {}(name_); }

private:
    const std::string name_;
    const std::string value_;
};

void setHeader(http::ResponseWriter &writer, const std::string &name, const std::string &value)
{
    writer.headers().remove(name);
    writer.headers().add(std::make_shared<TextHeader>(name, value));
}

// Pistache applies the rule of HTTP/1.0 also to HTTP/1.1: it closes a connection unless the request
// asks for keep-alive.
void keepAliveByDefault(const http::Request &request, http::ResponseWriter &writer)
{
    const bool isDefault = request.version() == http::Version::Http11
                           && !request.headers().has<http::Header::Connection>();
    if (isDefault)
        setHeader(writer, "Connection", "Keep-Alive");
}

// Pistache stores the data with the peer and releases it when the peer is destroyed.
std::shared_ptr<HttpConnection> connectionOf(const http::ResponseWriter &writer)
{
    const std::shared_ptr<Pistache::Tcp::Peer> peer = writer.getPeer();
    auto existing = std::static_pointer_cast<HttpConnection>(peer->tryGetData(kConnectionData));
    if (existing)
        return existing;
    auto connection = std::make_shared<HttpConnection>();
    peer->putData(kConnectionData, connection);
    return connection;
}

ServerRequest convertRequest(const http::Request &request)
{
    ServerRequest converted;
    converted.method_ = http::methodString(request.method());
    converted.target_ = request.resource() + request.query().as_str();
    for (const auto &[name, raw] : request.headers().rawList())
        converted.headers_.push_back({ raw.name(), raw.value() });
    converted.body_ = request.body();
    return converted;
}

class PistacheResponder : public HttpResponder
{
public:
    explicit PistacheResponder(http::ResponseWriter writer)
        : writer_(std::move(writer))
    { }

    ~PistacheResponder() override
    {
        if (!sent_)
            send(ServerAnswer { kInternalError, "", {}, "" });
    }

    PistacheResponder(const PistacheResponder &) = delete;
    PistacheResponder &operator=(const PistacheResponder &) = delete;

    void send(ServerAnswer answer) override
    {
        if (sent_)
            return;
        sent_ = true;
        if (!answer.contentType_.empty())
            setHeader(writer_, "Content-Type", answer.contentType_);
        for (const HttpHeader &header : answer.headers_)
            setHeader(writer_, header.name_, header.value_);
        if (answer.closesConnection_)
            setHeader(writer_, "Connection", "close");
        try {
            writer_.send(static_cast<http::Code>(answer.status_), answer.body_);
        } catch (const std::exception &) {
            // The caller has disconnected, so there is no recipient for the answer.
        }
    }

    // Pistache does not report that a caller has disconnected.
    void onAbandoned(std::function<void()>) override { }

private:
    http::ResponseWriter writer_;
    bool sent_ = false;
};

class ServerHandler : public http::Handler
{
public:
    HTTP_PROTOTYPE(ServerHandler)

    explicit ServerHandler(std::shared_ptr<HttpServer::HandlerFactory> factory)
        : factory_(std::move(factory))
        , handler_((*factory_)())
    { }

    // Pistache copies the prototype once per thread.
    ServerHandler(const ServerHandler &other)
        : http::Handler(other)
        , factory_(other.factory_)
        , handler_((*factory_)())
    { }

    void onRequest(const http::Request &request, http::ResponseWriter writer) override
    {
        keepAliveByDefault(request, writer);
        ServerRequest converted = convertRequest(request);
        converted.connection_ = connectionOf(writer);
        handler_(std::move(converted), std::make_shared<PistacheResponder>(std::move(writer)));
    }

private:
    std::shared_ptr<HttpServer::HandlerFactory> factory_;
    HttpServer::Handler handler_;
};

} // namespace

class PistacheServer::Impl
{
public:
    std::unique_ptr<http::Endpoint> endpoint_;
};

PistacheServer::PistacheServer()
    : impl_(std::make_unique<Impl>())
{ }

PistacheServer::~PistacheServer()
{
    PistacheServer::stop();
}

leaf::result<void> PistacheServer::start(const HttpServerOptions &options, HandlerFactory factory)
{
    try {
        const Pistache::Address address(options.address_.ip_,
                                        Pistache::Port(options.address_.port_));
        impl_->endpoint_ = std::make_unique<http::Endpoint>(address);
        http::Endpoint::Options endpointOptions = http::Endpoint::options();
        endpointOptions.threads(options.threads_)
            .threadsName(options.threadName_)
            .backlog(kListenBacklog)
            .maxRequestSize(options.maxRequestBytes_)
            .maxResponseSize(options.maxAnswerBytes_)
            .headerTimeout(options.headerTimeout_)
            .bodyTimeout(options.bodyTimeout_)
            .keepaliveTimeout(options.keepAliveTimeout_);
        endpointOptions.flags(
            Pistache::Flags<Pistache::Tcp::Options>(Pistache::Tcp::Options::ReuseAddr)
            | Pistache::Tcp::Options::NoDelay | Pistache::Tcp::Options::CloseOnExec);
        impl_->endpoint_->init(endpointOptions);
        impl_->endpoint_->setHandler(
            std::make_shared<ServerHandler>(std::make_shared<HandlerFactory>(std::move(factory))));
        impl_->endpoint_->serveThreaded();
    } catch (const std::exception &failure) {
        impl_->endpoint_.reset();
        return fail(Error { Step::Listen, Peer { PeerKind::Caller, options.address_.str() },
                            ErrorCode::Unavailable, failure.what() });
    }
    return {};
}

std::uint16_t PistacheServer::port() const
{
    return impl_->endpoint_ ? static_cast<std::uint16_t>(impl_->endpoint_->getPort()) : 0;
}

void PistacheServer::stop()
{
    if (!impl_->endpoint_)
        return;
    impl_->endpoint_->shutdown();
    impl_->endpoint_.reset();
}

} // namespace pimentostage
