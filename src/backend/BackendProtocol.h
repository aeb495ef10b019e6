#pragma once

#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/backend/RoutingTable.h"
#include "src/backend/BackendClient.h"
#include "src/base/HttpClient.h"

#include <optional>
#include <string>

namespace pimentostage {

/// Headers of the protocol between entry hosts and backend servers.
inline constexpr const char *kDeadlineHeader = "Pimento-Deadline-Ms";
inline constexpr const char *kTeamHeader = "Pimento-Team";
inline constexpr const char *kFenceHeader = "Pimento-Fence";
inline constexpr const char *kOutcomeHeader = "Pimento-Outcome";
inline constexpr const char *kLoadHeader = "Pimento-Load";
inline constexpr const char *kIncarnationHeader = "Pimento-Incarnation";

/// Path at which a back end reports its load; any answer shows that it is alive.
inline constexpr const char *kLoadPath = "/.pimento/load";

/// Result of an attempt, as read from its transfer.
struct AttemptResult
{
    AttemptState state_ = AttemptState::NotSent;
    /// Empty if the answer may be delivered to the caller. Full if the connection was closed before
    /// any byte of an answer, whether or not the back end has answered lately.
    std::optional<AttemptFailure> failure_;
    std::optional<std::uint64_t> incarnation_; ///< of the back end's process
    std::optional<LoadReport> load_;
};

/// Encoding of requests to back ends and decoding of their answers.
struct BackendProtocol
{
    HttpRequest (*encodeAttempt_)(const ForwardRequest &, AttemptNumber, const BackendChoice &,
                                  TimePoint now);
    AttemptResult (*interpretResult_)(const HttpResult &);
};

/// @return the native protocol between entry hosts and backend servers.
const BackendProtocol &nativeBackendProtocol();

/// @return the HTTP request for one attempt. It does not contain the team's API key.
HttpRequest encodeAttempt(const ForwardRequest &request, AttemptNumber attempt,
                          const BackendChoice &choice, TimePoint now);

/// @return the result of the attempt by its transfer alone, without regard to the answer's content.
AttemptResult interpretTransfer(const HttpResult &result);

/// @return the result of the attempt by its transfer and the answer's headers.
AttemptResult interpretResult(const HttpResult &result);

} // namespace pimentostage
