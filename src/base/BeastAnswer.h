#pragma once

#include "src/base/HttpServer.h"

#include <cstddef>
#include <string>

#include <boost/beast/http/fields.hpp>

namespace pimentostage {

/// @return whether an answer with @p status has no body.
[[nodiscard]] bool hasNoBody(int status);

/// @return the memory that @p answer occupies until it is written, in bytes.
[[nodiscard]] std::size_t memoryOf(const ServerAnswer &answer);

/// @return the memory that the parsed @p fields occupy, in bytes.
[[nodiscard]] std::size_t memoryOf(const boost::beast::http::fields &fields);

/// @return the status line and the headers of @p answer, as sent on the connection.
[[nodiscard]] std::string encodeHead(const ServerAnswer &answer, bool closesConnection);

} // namespace pimentostage
