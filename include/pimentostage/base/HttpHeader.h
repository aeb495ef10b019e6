#pragma once

#include <string>

namespace pimentostage {

/// One HTTP header.
struct HttpHeader
{
    std::string name_;
    std::string value_;
};

} // namespace pimentostage
