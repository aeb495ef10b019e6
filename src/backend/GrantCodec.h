#pragma once

#include "pimentostage/backend/Grant.h"

#include <optional>
#include <string>

namespace pimentostage {

/// HTTP path at which a server accepts grants.
inline constexpr const char *kGrantPath = "/.pimento/grant";

/// @return the JSON form of @p grant.
std::string formatGrant(const Grant &grant);
/// @return the grant in @p text, or nothing if @p text is not a valid grant.
std::optional<Grant> parseGrant(const std::string &text);

/// @return the JSON form of @p reply.
std::string formatGrantReply(const GrantReply &reply);
/// @return the reply in @p text, or nothing if @p text is not a valid reply.
std::optional<GrantReply> parseGrantReply(const std::string &text);

} // namespace pimentostage
