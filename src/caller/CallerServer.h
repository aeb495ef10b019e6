#pragma once

#include "pimentostage/caller/ConnectionLimits.h"
#include "src/base/HttpServer.h"
#include "src/caller/CallerService.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace pimentostage {

/// The callers' HTTP front end of a CallerService.
class CallerServer
{
public:
    /// @param idPrefix start of the ids of requests that come without one.
    /// @param mostConnections connections that may send requests at once.
    CallerServer(CallerService &service, std::string idPrefix, std::size_t mostConnections);

    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const HttpServerOptions &options);

    /// Asks callers to close their connections after the next answer.
    void drain() { draining_.store(true, std::memory_order_relaxed); }

    void stop() { server_.stop(); }

private:
    HttpServer::Handler makeHandler();
    RequestId nextId();

    CallerService &service_;
    const std::string idPrefix_;
    std::atomic<std::uint64_t> lastId_ { 0 };
    std::atomic<bool> draining_ { false };
    ConnectionLimits limits_;
    HttpServer server_;
};

} // namespace pimentostage
