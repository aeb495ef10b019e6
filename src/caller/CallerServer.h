#pragma once

#include "pimentostage/caller/ConnectionLimits.h"
#include "src/base/BeastServer.h"
#include "src/caller/CallerCodec.h"
#include "src/caller/CallerService.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace pimentostage {

/// HTTP front end of a CallerService.
class CallerServer
{
public:
    /// @param server HTTP server for the callers, not started yet.
    /// @param service must outlive this object.
    /// @param protocol must outlive this object.
    /// @param idPrefix prefix of the ids generated for requests without one.
    /// @param maxConnections maximum number of open connections that may send requests.
    CallerServer(std::unique_ptr<BeastServer> server, CallerService &service,
                 const CallerProtocol &protocol, std::string idPrefix, std::size_t maxConnections);

    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const HttpServerOptions &options);

    /// Closes each connection after its next answer, which announces the close to the caller.
    void drain() { server_->drain(); }
    /// Closes connections without a request in progress.
    void closeIdle() { server_->closeIdle(); }
    /// @return the number of connections on which a request may still arrive or an answer is due.
    [[nodiscard]] std::size_t activeConnections() const { return server_->activeConnections(); }

    void stop() { server_->stop(); }

private:
    HttpServer::Handler makeHandler();
    /// @return the refusal of a request whose body would exceed the limit for all bodies.
    ServerAnswer refuseBody();
    [[nodiscard]] ServerAnswer encode(CallerAnswer answer, const RequestId &id) const;
    RequestId nextId();

    CallerService &service_;
    const CallerProtocol &protocol_;
    const std::string idPrefix_;
    std::atomic<std::uint64_t> lastId_ { 0 };
    ConnectionLimits limits_;
    const std::unique_ptr<BeastServer> server_;
};

} // namespace pimentostage
