#pragma once

#include "pimentostage/caller/ConnectionLimits.h"
#include "src/base/BeastServer.h"
#include "src/caller/CallerCodec.h"
#include "src/caller/CallerService.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace pimentostage {

/// The callers' HTTP front end of a CallerService.
class CallerServer
{
public:
    /// @param server serves the callers; not started yet.
    /// @param protocol outlives this.
    /// @param idPrefix start of the ids of requests that come without one.
    /// @param mostConnections connections that may send requests at once.
    CallerServer(std::unique_ptr<BeastServer> server, CallerService &service,
                 const CallerProtocol &protocol, std::string idPrefix, std::size_t mostConnections);

    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const HttpServerOptions &options);

    /// Asks callers to close their connections after the next answer.
    void drain() { server_->drain(); }
    /// Ends connections on which nothing is under way.
    void closeIdle() { server_->closeIdle(); }

    void stop() { server_->stop(); }

private:
    HttpServer::Handler makeHandler();
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
