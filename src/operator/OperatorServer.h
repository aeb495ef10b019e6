#pragma once

#include "pimentostage/base/MetricRegistry.h"
#include "src/base/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace pimentostage {

/// State of the host that the operator pages show.
class HostStatus
{
public:
    virtual ~HostStatus() = default;
    /// @return whether the load balancer should send callers to this host.
    [[nodiscard]] virtual bool isReady() const = 0;
    /// @return the status of the host as a JSON object.
    [[nodiscard]] virtual std::string statusJson() = 0;
    /// @return the owner of @p key of @p service as a JSON object; empty if there is none.
    [[nodiscard]] virtual std::string ownerJson(const std::string &service, const std::string &key)
        = 0;
};

/// HTTP server of the operator pages: /metrics, /healthz, /readyz, /status, /owner.
class OperatorServer
{
public:
    /// @param server serves the pages; must not be started yet.
    OperatorServer(std::unique_ptr<HttpServer> server, HostStatus &status,
                   MetricRegistry &registry);

    /// @param readyPath an additional path of the readiness page, or "".
    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const Address &address, const std::string &readyPath,
                             std::shared_ptr<MemoryBudget> memory = nullptr);
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
    MetricRegistry &metrics_;
    const std::unique_ptr<HttpServer> server_;
    std::string readyPath_;
};

} // namespace pimentostage
