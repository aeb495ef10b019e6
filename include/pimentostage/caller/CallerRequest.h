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

/// A caller's request, independent of its encoding on the wire.
struct CallerRequest
{
    RequestId id_;
    std::string method_; ///< upper case
    std::string path_; ///< starts with '/', without the query
    std::string query_; ///< starts with '?', or empty
    std::string host_; ///< virtual host in lower case; empty if the request has none
    std::optional<std::string> key_; ///< unparsed key of a service with ordered keys
    std::optional<std::string> teamKey_; ///< must not be logged or sent to a back end
    std::optional<Duration> budget_; ///< caller's time limit, from the arrival of the request
    std::vector<HttpHeader> headers_; ///< forwarded to the back end
    std::string body_;
    std::shared_ptr<CallerConnection> connection_; ///< nullptr if connections are not counted
};

} // namespace pimentostage
