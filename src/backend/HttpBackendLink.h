#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "src/base/HttpClient.h"

#include <functional>

namespace pimentostage {

/// BackendLink over HTTP. Used only on the thread of its loop.
class HttpBackendLink : public BackendLink
{
public:
    explicit HttpBackendLink(EventLoop &loop);

    void grant(const Address &backend, const Grant &grant, OnGrantReply done) override;
    void probe(const Address &backend, OnProbeReply done) override;

private:
    void send(HttpRequest request, std::function<void(const HttpResult &)> done);

    HttpClient http_;
};

} // namespace pimentostage
