#include "src/daemon/NativeAdapters.h"

#include "src/backend/HttpBackendLink.h"
#include "src/backend/HttpRangeLink.h"
#include "src/base/PistacheServer.h"
#include "src/platform/StoreClient.h"

namespace pimentostage {

namespace {

StoreClientOptions storeOptions(const Settings &settings)
{
    StoreClientOptions options;
    options.baseUrl_ = settings.platformUrl_;
    options.timeout_ = settings.platformTimeout_;
    options.callsPerSecond_ = settings.platformCallsPerSecond_;
    options.callBurst_ = settings.platformCallsPerSecond_;
    return options;
}

} // namespace

PeerAdapters nativeAdapters(const Settings &settings)
{
    PeerAdapters adapters;
    adapters.callerProtocol_ = &nativeCallerProtocol();
    adapters.backendProtocol_ = &nativeBackendProtocol();
    adapters.makeStore_ = [options = storeOptions(settings)](EventLoop &loop,
                                                             MetricRegistry &metrics,
                                                             std::shared_ptr<MemoryBudget> memory) {
        StoreClientOptions counted = options;
        counted.memory_ = std::move(memory);
        return std::make_unique<StoreClient>(
            counted, [&loop](std::function<void()> task) { loop.post(std::move(task)); }, metrics);
    };
    adapters.makeBackendLink_
        = [](EventLoop &loop) { return std::make_unique<HttpBackendLink>(loop); };
    adapters.makeRangeLink_ = [](EventLoop &loop) {
        return std::make_unique<HttpRangeLink>(loop, nativeRangeProtocol());
    };
    adapters.makeOperatorServer_ = [](EventLoop &) { return std::make_unique<PistacheServer>(); };
    return adapters;
}

} // namespace pimentostage
