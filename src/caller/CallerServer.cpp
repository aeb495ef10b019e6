#include "src/caller/CallerServer.h"

namespace pimentostage {

namespace {

bool isRefusedForConnectionLimit(const CallerAnswer &answer)
{
    const auto *refusal = std::get_if<Refusal>(&answer);
    return refusal && refusal->reason_ == RefusalReason::TooManyConnections;
}

} // namespace

CallerServer::CallerServer(std::unique_ptr<BeastServer> server, CallerService &service,
                           const CallerProtocol &protocol, std::string idPrefix,
                           std::size_t maxConnections)
    : service_(service)
    , protocol_(protocol)
    , idPrefix_(std::move(idPrefix))
    , limits_(maxConnections)
    , server_(std::move(server))
{ }

leaf::result<void> CallerServer::start(const HttpServerOptions &options)
{
    HttpServerOptions withAnswer = options;
    withAnswer.overloadAnswer_ = [this] { return refuseBody(); };
    return server_->start(withAnswer, [this] { return makeHandler(); });
}

ServerAnswer CallerServer::refuseBody()
{
    const RequestId id = nextId();
    return protocol_.encodeRefusal_(service_.refuseBody(id), id);
}

HttpServer::Handler CallerServer::makeHandler()
{
    auto handler = std::make_shared<CallerService::RequestHandler>(service_);
    return [this, handler](ServerRequest request, const std::shared_ptr<HttpResponder> &responder) {
        const std::shared_ptr<HttpConnection> connection = request.connection_;
        auto decoded = protocol_.decode_(std::move(request), nextId());
        if (const auto *refusal = std::get_if<Refusal>(&decoded)) {
            responder->send(protocol_.encodeRefusal_(*refusal, nextId()));
            return;
        }
        auto &callerRequest = std::get<CallerRequest>(decoded);
        if (!connection->handlerState_)
            connection->handlerState_ = limits_.open();
        callerRequest.connection_
            = std::static_pointer_cast<CallerConnection>(connection->handlerState_);
        const RequestId id = callerRequest.id_;
        const auto abandonment = std::make_shared<Abandonment>();
        responder->onAbandoned([abandonment] { abandonment->abandon(); });
        handler->handle(std::move(callerRequest), abandonment,
                        [this, id, responder](CallerAnswer answer) {
                            responder->send(encode(std::move(answer), id));
                        });
    };
}

ServerAnswer CallerServer::encode(CallerAnswer answer, const RequestId &id) const
{
    const bool mustClose = isRefusedForConnectionLimit(answer);
    ServerAnswer encoded;
    if (const auto *refusal = std::get_if<Refusal>(&answer))
        encoded = protocol_.encodeRefusal_(*refusal, id);
    else
        encoded = protocol_.encodeAnswer_(std::move(std::get<HttpAnswer>(answer)), id);
    encoded.closesConnection_ = encoded.closesConnection_ || mustClose;
    return encoded;
}

RequestId CallerServer::nextId()
{
    return RequestId(idPrefix_ + std::to_string(lastId_.fetch_add(1) + 1));
}

} // namespace pimentostage
