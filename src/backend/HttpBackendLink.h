#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "src/base/HttpLoop.h"

namespace pimentostage {

/// A BackendLink over HTTP, on a thread of its own.
class HttpBackendLink : public BackendLink
{
public:
    /// Runs a function on the control thread.
    using Post = std::function<void(std::function<void()>)>;

    explicit HttpBackendLink(Post post);

    void grant(const Address &backend, const Grant &grant, OnGrantReply done) override;
    void probe(const Address &backend, OnProbeReply done) override;

private:
    /// Sends @p request and passes the end of the transfer to @p done on the control thread.
    void send(HttpRequest request, std::function<void(const HttpResult &)> done);

    const Post post_;
    HttpLoop loop_;
};

} // namespace pimentostage
