#include "src/backend/HttpBackendLink.h"

#include "src/backend/BackendProtocol.h"
#include "src/backend/GrantCodec.h"

namespace pimentostage {

namespace {

constexpr int kOk = 200;
constexpr Duration kTimeout = 4 * kGrantPeriod;
// Bytes of a reply's body: a reply lists the withdrawn units whose requests still run, with at most
// 24 bytes each, and a back end runs far fewer than the 10,000 requests for which this is enough.
constexpr std::size_t kMaxReplyBytes = std::size_t { 256 } << 10U;

HttpClientOptions httpClientOptions()
{
    HttpClientOptions options;
    options.threadName_ = "grants";
    options.connectionsPerPeer_ = 8;
    options.connectTimeout_ = kTimeout;
    options.maxAnswerBytes_ = kMaxReplyBytes;
    return options;
}

} // namespace

HttpBackendLink::HttpBackendLink(EventLoop &loop)
    : http_(httpClientOptions(), loop)
{ }

void HttpBackendLink::send(HttpRequest request, std::function<void(const HttpResult &)> done)
{
    request.timeout_ = kTimeout;
    http_.start(std::move(request), std::move(done));
}

void HttpBackendLink::grant(const Address &backend, const Grant &grant, OnGrantReply done)
{
    HttpRequest request;
    request.method_ = "POST";
    request.url_ = "http://" + backend.str() + kGrantPath;
    request.body_ = sharedBody(formatGrant(grant));
    request.expectedId_ = "grant-" + std::to_string(grant.sequence_);
    request.headers_.push_back({ kRequestIdHeader, request.expectedId_ });
    send(std::move(request), [done = std::move(done)](const HttpResult &result) {
        const bool isAnswer = result.answer_ && result.answer_->status_ == kOk;
        done(isAnswer ? parseGrantReply(result.answer_->body_) : std::nullopt);
    });
}

void HttpBackendLink::probe(const Address &backend, OnProbeReply done)
{
    HttpRequest request;
    request.url_ = "http://" + backend.str() + kLoadPath;
    send(std::move(request),
         [done = std::move(done)](const HttpResult &result) { done(result.answer_.has_value()); });
}

} // namespace pimentostage
