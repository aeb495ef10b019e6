#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/operator/Settings.h"
#include "src/base/EventLoop.h"
#include "src/daemon/ControlCore.h"
#include "src/daemon/PeerAdapters.h"
#include "src/sibling/SiblingLinks.h"

#include <string>

namespace pimentostage {

/// The control thread: a ControlCore with its connections to store, siblings and back ends.
///
/// Public functions may be called on any thread except the control thread, unless stated otherwise.
class ControlPlane
{
public:
    ControlPlane(const Settings &settings, const PeerAdapters &adapters,
                 SnapshotPublisher<RoutingTable> &routing, SnapshotPublisher<TrafficView> &views,
                 LogSink &log, MetricRegistry &metrics, std::shared_ptr<MemoryBudget> memory);
    ~ControlPlane();

    /// Starts the control thread's work and listens for siblings.
    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start();

    /// Becomes not ready, resigns from all roles and notifies the siblings. Waits for the store for
    /// a bounded time.
    void leave();
    /// Removes this host's registration; call it after the last request has ended. Waits for the
    /// store for a bounded time.
    void endRegistration();
    /// Stops the control thread.
    void stop();

    /// Reports that requests wait for tokens of @p account. Does not block.
    void reportTokensNeeded(const AccountName &account);
    /// Reports that a traffic thread has observed the start or end of a cold start. Does not block.
    void reportBackendColdState(const BackendColdState &coldState);
    /// Reports the load that a traffic thread measured for a keyed service. Does not block.
    void reportKeyLoad(const KeyLoad &load);

    /// @return the control thread's event loop.
    [[nodiscard]] EventLoop &loop() { return loop_; }

    [[nodiscard]] Readiness readiness() const { return core_.readiness(); }
    /// @return this host's status as a JSON object.
    [[nodiscard]] std::string statusJson();

private:
    ControlPorts ports();

    const Settings settings_;
    const MemberUpdate self_;
    EventLoop loop_ { "control" };
    const std::unique_ptr<ObjectStore> store_;
    const std::unique_ptr<BackendLink> backends_;
    const std::unique_ptr<RangeLink> ranges_;
    SiblingLinks links_;
    ControlCore core_;
};

} // namespace pimentostage
