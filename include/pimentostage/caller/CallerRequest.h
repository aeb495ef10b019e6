#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <memory>
#include <optional>
#include <string>

namespace pimentostage {

class CallerConnection;

/// A request as it came from a caller, free of any encoding.
struct CallerRequest
{
    RequestId id_;
    std::string method_; ///< upper case
    std::string path_; ///< starts with '/', without the query
    std::string query_; ///< starts with '?', or empty
    std::optional<std::string> teamKey_; ///< never logged and never sent to a back end
    std::optional<Duration> budget_; ///< time that the caller gives the request
    std::string contentType_;
    std::string accept_;
    std::string body_;
    std::shared_ptr<CallerConnection> connection_; ///< nullptr if connections are not counted
};

} // namespace pimentostage
