#pragma once

#include "pimentostage/base/HttpHeader.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

class CallerConnection;

/// A request as it came from a caller, free of any encoding.
struct CallerRequest
{
    RequestId id_;
    std::string method_; ///< upper case
    std::string path_; ///< starts with '/', without the query
    std::string query_; ///< starts with '?', or empty
    std::string host_; ///< virtual host in lower case; empty if none was named
    std::optional<std::string> key_; ///< key of a service with ordered keys, as it was sent
    std::optional<std::string> teamKey_; ///< never logged and never sent to a back end
    std::optional<Duration> budget_; ///< time that the caller gives the request
    std::vector<HttpHeader> headers_; ///< to be passed on to the back end
    std::string body_;
    std::shared_ptr<CallerConnection> connection_; ///< nullptr if connections are not counted
};

} // namespace pimentostage
