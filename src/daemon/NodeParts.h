#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "pimentostage/backend/RangeLink.h"
#include "pimentostage/base/Counters.h"
#include "pimentostage/operator/Settings.h"
#include "pimentostage/platform/ObjectStore.h"
#include "src/backend/BackendProtocol.h"
#include "src/base/EventLoop.h"
#include "src/base/HttpServer.h"
#include "src/caller/CallerCodec.h"

#include <functional>
#include <memory>

namespace pimentostage {

/// How a host speaks with its peers: what differs between the product's own interface and another
/// platform's. What is made here runs on the control thread, whose loop outlives it.
struct NodeParts
{
    const CallerProtocol *callerProtocol_ = nullptr;
    const BackendProtocol *backendProtocol_ = nullptr;
    std::function<std::unique_ptr<ObjectStore>(EventLoop &, Counters &)> makeStore_;
    std::function<std::unique_ptr<BackendLink>(EventLoop &)> makeBackendLink_;
    std::function<std::unique_ptr<RangeLink>(EventLoop &)> makeRangeLink_;
    std::function<std::unique_ptr<HttpServer>(EventLoop &)> makeOperatorServer_;
};

} // namespace pimentostage
