#include "src/base/BeastAnswer.h"

#include <boost/beast/http/status.hpp>

namespace pimentostage {

namespace {

namespace http = boost::beast::http;

// Beside its texts: allocations, list nodes and the entry of a pending request.
constexpr std::size_t kAnswerOverheadBytes = 512;

} // namespace

bool hasNoBody(int status)
{
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status == kNoContent || status == kNotModified;
}

std::size_t memoryOf(const ServerAnswer &answer)
{
    std::size_t bytes = kAnswerOverheadBytes + answer.body_.capacity();
    for (const HttpHeader &header : answer.headers_)
        bytes += sizeof header + header.name_.size() + header.value_.size();
    return bytes;
}

std::size_t memoryOf(const http::fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &field : fields)
        bytes += sizeof field + field.name_string().size() + field.value().size();
    return bytes;
}

std::string encodeHead(const ServerAnswer &answer, bool closesConnection)
{
    std::string out = "HTTP/1.1 " + std::to_string(answer.status_) + ' ';
    out += http::obsolete_reason(static_cast<http::status>(answer.status_));
    out += "\r\n";
    if (!answer.contentType_.empty())
        out += "Content-Type: " + answer.contentType_ + "\r\n";
    for (const HttpHeader &header : answer.headers_)
        out.append(header.name_).append(": ").append(header.value_).append("\r\n");
    if (!hasNoBody(answer.status_))
        out += "Content-Length: " + std::to_string(answer.body_.size()) + "\r\n";
    out += closesConnection ? "Connection: close\r\n\r\n" : "Connection: Keep-Alive\r\n\r\n";
    return out;
}

} // namespace pimentostage
