#include "src/caller/CallerCodec.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::size_t kMaxTeamKeyLength = 512;
constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr const char *kProblemType = "application/problem+json";

// Headers of an answer that apply only to one connection or only between an entry host and a back
// end, and the content type, which is encoded separately.
constexpr std::string_view kHopByHopHeaders[] = {
    "connection",          "keep-alive",      "transfer-encoding",
    "content-length",      "content-type",    "pimento-request-id",
    "pimento-load",        "pimento-outcome", "pimento-fence",
    "pimento-incarnation", "server",
};

bool isHopByHopHeader(const std::string &name)
{
    return std::any_of(
        std::begin(kHopByHopHeaders), std::end(kHopByHopHeaders),
        [&](std::string_view hopByHopName) { return isSameHeaderName(hopByHopName, name); });
}

bool isRequestId(const std::string &text)
{
    static constexpr std::string_view kAllowed
        = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_.:";
    return !text.empty() && text.size() <= kMaxRequestIdLength
           && text.find_first_not_of(kAllowed) == std::string::npos;
}

Refusal malformed(std::string detail)
{
    return Refusal { RefusalReason::MalformedRequest, Outcome::NotRun, std::nullopt,
                     std::move(detail) };
}

std::optional<std::int64_t> parseMilliseconds(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (!isWhole || value < 0 || value > kMaxDeadlineMs)
        return std::nullopt;
    return value;
}

} // namespace

std::variant<CallerRequest, Refusal> decodeCallerRequest(ServerRequest request,
                                                         const RequestId &fallbackId)
{
    CallerRequest decoded;
    decoded.id_ = fallbackId;
    decoded.method_ = request.method_;
    decoded.path_ = request.path();
    decoded.query_ = request.query();
    decoded.body_ = std::move(request.body_);
    for (const char *name : { "Content-Type", "Accept" }) {
        if (const auto value = request.header(name))
            decoded.headers_.push_back({ name, *value });
    }
    if (const auto id = request.header(kCallerRequestIdHeader)) {
        if (!isRequestId(*id))
            return malformed("X-Request-Id must be 1 to 128 letters, digits or any of -_.:");
        decoded.id_ = RequestId(*id);
    }
    if (const auto authorization = request.header("Authorization")) {
        const bool isBearer = authorization->rfind(kBearer, 0) == 0
                              && authorization->size() <= kBearer.size() + kMaxTeamKeyLength;
        if (!isBearer)
            return malformed("Authorization must be \"Bearer\" and a team key");
        decoded.teamKey_ = authorization->substr(kBearer.size());
    }
    if (const auto deadline = request.header(kCallerDeadlineHeader)) {
        const auto milliseconds = parseMilliseconds(*deadline);
        if (!milliseconds)
            return malformed("Pimento-Deadline-Ms must be a whole number from 0 to 600000");
        decoded.budget_ = std::chrono::milliseconds(*milliseconds);
    }
    return decoded;
}

const CallerProtocol &nativeCallerProtocol()
{
    static const CallerProtocol protocol { &decodeCallerRequest, &encodeRefusal, &encodeAnswer };
    return protocol;
}

ServerAnswer encodeRefusal(const Refusal &refusal, const RequestId &id)
{
    ServerAnswer answer;
    answer.status_ = httpStatusOf(refusal.reason_);
    answer.contentType_ = kProblemType;
    answer.headers_.push_back({ kCallerRequestIdHeader, id.str() });
    answer.headers_.push_back({ "Pimento-Outcome", std::string(toString(refusal.outcome_)) });
    if (refusal.retryAfter_) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter_);
        answer.headers_.push_back({ "Retry-After", std::to_string(seconds.count()) });
    }
    nlohmann::json body {
        { "type", "urn:pimentostage:refusal:" + std::string(toString(refusal.reason_)) },
        { "title", titleOf(refusal.reason_) },
        { "status", answer.status_ },
        { "outcome", toString(refusal.outcome_) },
        { "request_id", id.str() },
    };
    if (!refusal.detail_.empty())
        body["detail"] = refusal.detail_;
    answer.body_ = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

ServerAnswer encodeAnswer(HttpAnswer answer, const RequestId &id)
{
    ServerAnswer encoded;
    encoded.status_ = answer.status_;
    encoded.contentType_ = answer.header("Content-Type");
    encoded.body_ = std::move(answer.body_);
    for (HttpHeader &header : answer.headers_) {
        if (!isHopByHopHeader(header.name_))
            encoded.headers_.push_back(std::move(header));
    }
    encoded.headers_.push_back({ kCallerRequestIdHeader, id.str() });
    return encoded;
}

} // namespace pimentostage
