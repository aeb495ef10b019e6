#pragma once

#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/backend/RoutingTable.h"
#include "src/backend/BackendClient.h"
#include "src/base/HttpLoop.h"

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

/// Path at which a back end tells its load; any answer shows that it runs.
inline constexpr const char *kLoadPath = "/.pimento/load";

/// What the end of a transfer says about an attempt.
struct AttemptVerdict
{
    AttemptState state_ = AttemptState::NotSent;
    std::optional<AttemptFailure> failure_; ///< empty if the answer may go to the caller
    std::optional<std::uint64_t> incarnation_; ///< start of the back end's process
    std::optional<LoadReport> load_;
};

/// How requests to back ends are encoded, and their answers read.
struct BackendProtocol
{
    HttpRequest (*encodeAttempt_)(const ForwardRequest &, AttemptNumber, const BackendChoice &,
                                  TimePoint now);
    AttemptVerdict (*judge_)(const HttpResult &);
};

/// @return the protocol of this project's own back ends.
const BackendProtocol &ownBackendProtocol();

/// @return the HTTP request for one attempt. The team's key is no part of it.
HttpRequest encodeAttempt(const ForwardRequest &request, AttemptNumber attempt,
                          const BackendChoice &choice, TimePoint now);

/// @return what the transfer alone says about its attempt, whatever its answer holds.
AttemptVerdict transferVerdict(const HttpResult &result);

/// @return what @p result says about its attempt.
AttemptVerdict judge(const HttpResult &result);

} // namespace pimentostage
