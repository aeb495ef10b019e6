#pragma once

#include "pimentostage/caller/CallerRequest.h"
#include "pimentostage/caller/Refusal.h"
#include "src/base/HttpClient.h"
#include "src/base/HttpServer.h"

#include <variant>

namespace pimentostage {

/// Header with the caller's time limit for a request, in milliseconds.
inline constexpr const char *kCallerDeadlineHeader = "Pimento-Deadline-Ms";
/// Header with an optional request id chosen by the caller; every answer carries the request's id.
inline constexpr const char *kCallerRequestIdHeader = "X-Request-Id";

/// Encoding of callers' requests and of the answers to them.
struct CallerProtocol
{
    std::variant<CallerRequest, Refusal> (*decode_)(ServerRequest request,
                                                    const RequestId &fallbackId);
    ServerAnswer (*encodeRefusal_)(const Refusal &, const RequestId &);
    ServerAnswer (*encodeAnswer_)(HttpAnswer, const RequestId &);
};

/// @return the protocol of the native caller interface.
const CallerProtocol &nativeCallerProtocol();

/// @param fallbackId id of the request if the caller sent none.
/// @return the request, or the refusal of a malformed one.
std::variant<CallerRequest, Refusal> decodeCallerRequest(ServerRequest request,
                                                         const RequestId &fallbackId);

/// @return an answer with an RFC 9457 problem document for @p refusal.
ServerAnswer encodeRefusal(const Refusal &refusal, const RequestId &id);

/// @return the back end's answer to send to the caller, without the headers that are exchanged
///         between entry hosts and back ends.
ServerAnswer encodeAnswer(HttpAnswer answer, const RequestId &id);

} // namespace pimentostage
