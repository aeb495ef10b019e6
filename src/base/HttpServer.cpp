#include "src/base/HttpServer.h"

#include <algorithm>

namespace pimentostage {

namespace {

std::size_t queryStart(const std::string &target)
{
    return std::min(target.find('?'), target.size());
}

} // namespace

std::string ServerRequest::path() const
{
    return target_.substr(0, queryStart(target_));
}

std::string ServerRequest::query() const
{
    return target_.substr(queryStart(target_));
}

std::string ServerRequest::parameter(std::string_view name) const
{
    std::string_view rest = std::string_view(target_).substr(queryStart(target_));
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name)
            return std::string(pair.substr(std::min(equals + 1, pair.size())));
        rest.remove_prefix(end);
    }
    return "";
}

std::optional<std::string> ServerRequest::header(std::string_view name) const
{
    const HttpHeader *found = findHeader(headers_, name);
    return found ? std::optional(found->value_) : std::nullopt;
}

} // namespace pimentostage
