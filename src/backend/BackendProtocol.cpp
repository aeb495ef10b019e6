#include "src/backend/BackendProtocol.h"

#include <charconv>

namespace pimentostage {

namespace {

constexpr int kConflict = 409;
constexpr int kServiceUnavailable = 503;

template <typename T>
std::optional<T> parseNumber(const std::string &text)
{
    T value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

AttemptFailure failureOf(const Error &error)
{
    if (error.code_ == ErrorCode::Stale)
        return AttemptFailure::StaleEpoch;
    if (error.code_ == ErrorCode::ClosedUnanswered)
        return AttemptFailure::Full;
    if (error.step_ == Step::Connect)
        return AttemptFailure::Gone;
    if (error.code_ == ErrorCode::Timeout)
        return AttemptFailure::TimedOut;
    if (error.code_ == ErrorCode::Mismatch)
        return AttemptFailure::Mismatched;
    return AttemptFailure::Broken;
}

} // namespace

AttemptResult interpretTransfer(const HttpResult &result)
{
    AttemptResult attemptResult;
    attemptResult.state_ = result.state_;
    if (!result.answer_)
        attemptResult.failure_ = failureOf(*result.error_);
    return attemptResult;
}

HttpRequest encodeAttempt(const ForwardRequest &request, AttemptNumber attempt,
                          const BackendChoice &choice, TimePoint now)
{
    HttpRequest http;
    http.method_ = request.method_;
    http.url_ = "http://" + choice.candidate_->backend_.address_.str() + request.path_;
    http.body_ = request.body_;
    http.timeout_ = request.deadline_ - now;
    http.expectedId_ = request.id_.str() + '.' + std::to_string(attempt);
    http.headers_.push_back({ kRequestIdHeader, http.expectedId_ });
    http.headers_.push_back({ kDeadlineHeader, std::to_string(toMilliseconds(http.timeout_)) });
    if (!request.team_.isEmpty())
        http.headers_.push_back({ kTeamHeader, request.team_.str() });
    if (!choice.unit_.isEmpty()) {
        http.headers_.push_back(
            { kFenceHeader, choice.unit_.str() + ' ' + std::to_string(choice.epoch_.value_) });
    }
    http.headers_.insert(http.headers_.end(), request.headers_.begin(), request.headers_.end());
    return http;
}

AttemptResult interpretResult(const HttpResult &result)
{
    AttemptResult attemptResult = interpretTransfer(result);
    if (!result.answer_)
        return attemptResult;
    if (const auto running = parseNumber<std::uint32_t>(result.answer_->header(kLoadHeader)))
        attemptResult.load_ = LoadReport { *running, 0, 1 };
    attemptResult.incarnation_
        = parseNumber<std::uint64_t>(result.answer_->header(kIncarnationHeader));
    const bool didNotRun = result.answer_->header(kOutcomeHeader) == toString(Outcome::NotRun);
    if (!didNotRun)
        return attemptResult;
    if (result.answer_->status_ == kConflict)
        attemptResult.failure_ = AttemptFailure::StaleEpoch;
    else if (result.answer_->status_ == kServiceUnavailable)
        attemptResult.failure_ = AttemptFailure::Shed;
    if (attemptResult.failure_)
        attemptResult.state_ = AttemptState::DeclaredNotRun;
    return attemptResult;
}

const BackendProtocol &nativeBackendProtocol()
{
    static const BackendProtocol protocol { &encodeAttempt, &interpretResult };
    return protocol;
}

} // namespace pimentostage
