#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <strings.h>

namespace pimentostage {

/// One HTTP header field.
struct HttpHeader
{
    std::string name_;
    std::string value_;
};

/// @return whether two header names are equal, ignoring case.
inline bool isSameHeaderName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// @return the first header whose name equals @p name, ignoring case, or nullptr.
inline const HttpHeader *findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    const auto found
        = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
              return isSameHeaderName(header.name_, name);
          });
    return found == headers.end() ? nullptr : &*found;
}

} // namespace pimentostage
