#pragma once

#include "pimentostage/backend/BackendLink.h"
#include "pimentostage/backend/RangeLink.h"
#include "pimentostage/base/MemoryBudget.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/operator/Settings.h"
#include "pimentostage/platform/ObjectStore.h"
#include "src/backend/BackendProtocol.h"
#include "src/base/EventLoop.h"
#include "src/base/HttpServer.h"
#include "src/caller/CallerCodec.h"

#include <functional>
#include <memory>

namespace pimentostage {

/// Protocols and factories that differ between the product's own interfaces and those of another
/// platform. The objects made run on the control thread, and its event loop outlives them.
struct PeerAdapters
{
    const CallerProtocol *callerProtocol_ = nullptr;
    const BackendProtocol *backendProtocol_ = nullptr;
    /// The last argument, if set, is where the memory of unfinished replies is counted, in the
    /// account StoreReplies; otherwise the client's fixed limits apply.
    std::function<std::unique_ptr<ObjectStore>(EventLoop &, MetricRegistry &,
                                               std::shared_ptr<MemoryBudget>)>
        makeStore_;
    std::function<std::unique_ptr<BackendLink>(EventLoop &)> makeBackendLink_;
    std::function<std::unique_ptr<RangeLink>(EventLoop &)> makeRangeLink_;
    std::function<std::unique_ptr<HttpServer>(EventLoop &)> makeOperatorServer_;
};

} // namespace pimentostage
