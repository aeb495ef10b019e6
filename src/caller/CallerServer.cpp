#include "src/caller/CallerServer.h"

#include "src/caller/CallerCodec.h"

namespace pimentostage {

namespace {

bool isConnectionRefused(const CallerAnswer &answer)
{
    const auto *refusal = std::get_if<Refusal>(&answer);
    return refusal && refusal->reason_ == RefusalReason::TooManyConnections;
}

} // namespace

CallerServer::CallerServer(CallerService &service, std::string idPrefix,
                           std::size_t mostConnections)
    : service_(service)
    , idPrefix_(std::move(idPrefix))
    , limits_(mostConnections)
{ }

leaf::result<void> CallerServer::start(const HttpServerOptions &options)
{
    return server_.start(options, [this] { return makeHandler(); });
}

HttpServer::Handler CallerServer::makeHandler()
{
    auto entrance = std::make_shared<CallerService::Entrance>(service_);
    return [this, entrance](const ServerRequest &request,
                            const std::shared_ptr<HttpResponder> &responder) {
        auto decoded = decodeCallerRequest(request, nextId());
        if (const auto *refusal = std::get_if<Refusal>(&decoded)) {
            responder->send(encodeRefusal(*refusal, nextId()));
            return;
        }
        auto &callerRequest = std::get<CallerRequest>(decoded);
        std::shared_ptr<void> &context = request.connection().context_;
        if (!context)
            context = limits_.open();
        callerRequest.connection_ = std::static_pointer_cast<CallerConnection>(context);
        const RequestId id = callerRequest.id_;
        entrance->handle(std::move(callerRequest), [this, id, responder](CallerAnswer answer) {
            ServerAnswer encoded;
            if (const auto *refusal = std::get_if<Refusal>(&answer))
                encoded = encodeRefusal(*refusal, id);
            else
                encoded = encodeAnswer(std::move(std::get<HttpAnswer>(answer)), id);
            const bool mustClose
                = draining_.load(std::memory_order_relaxed) || isConnectionRefused(answer);
            if (mustClose)
                encoded.headers_.push_back({ "Connection", "close" });
            responder->send(encoded);
        });
    };
}

RequestId CallerServer::nextId()
{
    return RequestId(idPrefix_ + std::to_string(lastId_.fetch_add(1) + 1));
}

} // namespace pimentostage
