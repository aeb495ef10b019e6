#pragma once

#include "pimentostage/base/Counters.h"
#include "src/base/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace pimentostage {

/// What the operators' pages need to know of the host.
class HostStatus
{
public:
    virtual ~HostStatus() = default;
    /// @return whether the balancer should send callers here.
    [[nodiscard]] virtual bool isReady() const = 0;
    /// @return a JSON object about the host.
    [[nodiscard]] virtual std::string statusJson() = 0;
    /// @return a JSON object about the owner of @p key of @p service.
    [[nodiscard]] virtual std::string ownerJson(const std::string &service, const std::string &key)
        = 0;
};

/// The operators' HTTP pages: /metrics, /healthz, /readyz, /status, /owner.
class OperatorServer
{
public:
    /// @param server serves the pages; not started yet.
    OperatorServer(std::unique_ptr<HttpServer> server, HostStatus &status, Counters &counters);

    /// @param readyPath a further path of the readiness page, or "".
    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const Address &address, const std::string &readyPath);
    void stop() { server_->stop(); }

private:
    ServerAnswer answer(const ServerRequest &request);
    ServerAnswer metrics(const ServerRequest &request);
    ServerAnswer health(const ServerRequest &request);
    ServerAnswer readiness(const ServerRequest &request);
    ServerAnswer status(const ServerRequest &request);
    ServerAnswer owner(const ServerRequest &request);

    struct Page
    {
        const char *path_;
        ServerAnswer (OperatorServer::*answer_)(const ServerRequest &);
    };
    static const Page kPages[];

    HostStatus &status_;
    Counters &counters_;
    const std::unique_ptr<HttpServer> server_;
    std::string readyPath_;
};

} // namespace pimentostage
