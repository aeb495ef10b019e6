#include "src/backend/HttpRangeLink.h"

#include <cinttypes>
#include <cstdio>
#include <random>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
// A back end without a free slot replies late, and a new connection to it would wait even longer.
constexpr Duration kGrantTimeout = std::chrono::milliseconds(600);
// A back end replies to a release only after the work that runs on the keys has ended.
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(3000);
// Bytes of a reply's body: a reply consists of its status and headers, and the rest is a margin for
// an error text.
constexpr std::size_t kMaxReplyBytes = std::size_t { 16 } << 10U;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Back ends limit their connections, and a new connection occupies a slot there for a moment.
constexpr long kGrantConnections = 1;
constexpr long kReleaseConnections = 3;

// An id is a counter below a random number, so that the ids of different hosts differ.
constexpr unsigned kCounterBits = 32;

constexpr const char *kGrantPath = "/.pimento/ranges/grant";
constexpr const char *kReleasePath = "/.pimento/ranges/release";

HttpClientOptions clientOptions(long connections)
{
    HttpClientOptions options;
    options.threadName_ = "ranges";
    options.connectionsPerPeer_ = connections;
    options.connectTimeout_ = kConnectTimeout;
    options.maxAnswerBytes_ = kMaxReplyBytes;
    return options;
}

/// @return the options for releases. Where answers have no id, a late copy of an answer could be
/// taken
///         for that of the next release, while the back end still works on the range; so each
///         release gets a connection of its own.
HttpClientOptions releaseOptions(const RangeProtocol &protocol)
{
    HttpClientOptions options = clientOptions(kReleaseConnections);
    if (!protocol.idHeader_)
        options.maxIdleAge_ = Duration::zero();
    return options;
}

HttpRequest encodeGrant(const RangeGrantOrder &order)
{
    HttpRequest request;
    request.url_ = kGrantPath;
    request.body_ = sharedBody(nlohmann::json({ { "from", order.range_.from_ },
                                                { "to", order.range_.to_ },
                                                { "epoch", order.epoch_.value_ },
                                                { "hold_ms", toMilliseconds(order.holdDuration_) },
                                                { "handover", order.handover_ } })
                                   .dump());
    return request;
}

HttpRequest encodeRelease(const RangeReleaseOrder &order)
{
    HttpRequest request;
    request.url_ = kReleasePath;
    request.body_ = sharedBody(nlohmann::json({ { "from", order.range_.from_ },
                                                { "to", order.range_.to_ },
                                                { "epoch", order.epoch_.value_ } })
                                   .dump());
    return request;
}

/// @return @p id as 16 hexadecimal digits.
std::string formatId(std::uint64_t id)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016" PRIx64, id);
    return text;
}

RangeOutcome outcomeOf(const HttpResult &result, const RangeProtocol &protocol)
{
    if (result.answer_) {
        if (result.answer_->status_ == kOk)
            return RangeOutcome::Accepted;
        return result.answer_->status_ == kConflict ? RangeOutcome::StaleEpoch
                                                    : RangeOutcome::Malformed;
    }
    if (result.error_->code_ == ErrorCode::ConnectionClosed)
        return RangeOutcome::ConnectionLost;
    // The back end accepted the connection, so it is not known to have ended.
    if (result.error_->code_ == ErrorCode::ClosedUnanswered)
        return RangeOutcome::Broken;
    const bool isTimeout = result.error_->code_ == ErrorCode::Timeout;
    if (result.state_ == AttemptState::NotSent)
        return !isTimeout && protocol.refusalMeansProcessEnded_ ? RangeOutcome::ProcessGone
                                                                : RangeOutcome::NotDelivered;
    return isTimeout ? RangeOutcome::Unanswered : RangeOutcome::Broken;
}

RangeReply replyOf(const HttpResult &result, const RangeProtocol &protocol)
{
    RangeReply reply;
    reply.outcome_ = outcomeOf(result, protocol);
    reply.connection_ = result.connection_;
    if (result.answer_)
        reply.handover_ = result.answer_->header(protocol.handoverHeader_);
    return reply;
}

/// As replyOf(), for a release: whoever sent a reply without the proof, the back end may still be
/// at work.
RangeReply replyToRelease(const HttpResult &result, const RangeProtocol &protocol)
{
    RangeReply reply = replyOf(result, protocol);
    const bool isUnproven = protocol.provesRelease_ && reply.handover_.empty();
    if (reply.outcome_ == RangeOutcome::Accepted && isUnproven)
        reply.outcome_ = RangeOutcome::Unanswered;
    return reply;
}

} // namespace

const RangeProtocol &nativeRangeProtocol()
{
    static const RangeProtocol protocol { &encodeGrant, &encodeRelease, "Pimento-Handover",
                                          kRequestIdHeader, true };
    return protocol;
}

HttpRangeLink::HttpRangeLink(EventLoop &loop, const RangeProtocol &protocol)
    : protocol_(protocol)
    , lastId_(std::uint64_t { std::random_device {}() } << kCounterBits)
    , grants_(clientOptions(kGrantConnections), loop)
    , releases_(releaseOptions(protocol), loop)
{ }

HttpRequest HttpRangeLink::prepare(HttpRequest request, const Address &backend, Duration timeout)
{
    request.method_ = "POST";
    request.url_ = "http://" + backend.str() + request.url_;
    request.timeout_ = timeout;
    if (!protocol_.idHeader_)
        return request;
    request.idHeader_ = protocol_.idHeader_;
    request.expectedId_ = formatId(++lastId_);
    request.isIdOptional_ = true;
    request.headers_.push_back({ protocol_.idHeader_, request.expectedId_ });
    return request;
}

void HttpRangeLink::grant(const Address &backend, const RangeGrantOrder &order,
                          ConnectionId connection, OnReply done)
{
    HttpRequest request = prepare(protocol_.encodeGrant_(order), backend, kGrantTimeout);
    request.requiredConnection_ = connection;
    grants_.start(std::move(request), [this, done = std::move(done)](const HttpResult &result) {
        done(replyOf(result, protocol_));
    });
}

void HttpRangeLink::release(const Address &backend, const RangeReleaseOrder &order, OnReply done)
{
    releases_.start(prepare(protocol_.encodeRelease_(order), backend, kReleaseTimeout),
                    [this, done = std::move(done)](const HttpResult &result) {
                        done(replyToRelease(result, protocol_));
                    });
}

} // namespace pimentostage
