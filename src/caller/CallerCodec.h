#pragma once

#include "pimentostage/caller/CallerRequest.h"
#include "pimentostage/caller/Refusal.h"
#include "src/base/HttpLoop.h"
#include "src/base/HttpServer.h"

#include <variant>

namespace pimentostage {

/// Header with which a caller names the time it gives a request, in milliseconds.
inline constexpr const char *kCallerDeadlineHeader = "Pimento-Deadline-Ms";
/// Header in which callers may give a request an id; answers repeat it.
inline constexpr const char *kCallerRequestIdHeader = "X-Request-Id";

/// How callers' requests and their answers are encoded.
struct CallerProtocol
{
    std::variant<CallerRequest, Refusal> (*decode_)(ServerRequest request,
                                                    const RequestId &fallbackId);
    ServerAnswer (*encodeRefusal_)(const Refusal &, const RequestId &);
    ServerAnswer (*encodeAnswer_)(HttpAnswer, const RequestId &);
};

/// @return the protocol of the product's own interface.
const CallerProtocol &ownCallerProtocol();

/// @param fallbackId id of the request if the caller gave none.
/// @return the request, or why it is malformed.
std::variant<CallerRequest, Refusal> decodeCallerRequest(ServerRequest request,
                                                         const RequestId &fallbackId);

/// @return the RFC 9457 problem answer for @p refusal.
ServerAnswer encodeRefusal(const Refusal &refusal, const RequestId &id);

/// @return the back end's answer as the caller gets it; headers between entry hosts and back ends
///         are left out.
ServerAnswer encodeAnswer(HttpAnswer answer, const RequestId &id);

} // namespace pimentostage
