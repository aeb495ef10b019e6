#pragma once

#include "src/base/HttpServer.h"

namespace pimentostage {

/// HttpServer based on Pistache, for the operators' pages and the stand-in programs.
class PistacheServer : public HttpServer
{
public:
    PistacheServer();
    ~PistacheServer() override;

    leaf::result<void> start(const HttpServerOptions &options, HandlerFactory factory) override;
    void stop() override;
    [[nodiscard]] std::uint16_t port() const override;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace pimentostage
