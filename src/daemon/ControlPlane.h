#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/operator/Settings.h"
#include "src/base/EventLoop.h"
#include "src/daemon/ControlCore.h"
#include "src/daemon/NodeParts.h"
#include "src/sibling/SiblingLinks.h"

#include <string>

namespace pimentostage {

/// The control thread: a ControlCore with its connections to store, siblings and back ends.
///
/// Public functions may be called on any thread but the
/// control thread, unless they say otherwise.
class ControlPlane
{
public:
    ControlPlane(const Settings &settings, const NodeParts &parts,
                 SnapshotPublisher<RoutingTable> &routing, SnapshotPublisher<TrafficView> &views,
                 LogSink &log, Counters &counters);
    ~ControlPlane();

    /// Starts the thread's work and listens for siblings.
    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start();

    /// Turns not ready, gives roles up and tells the siblings. Waits a bounded time for the store.
    void leave();
    /// Ends this host's registration, after its last request. Waits a bounded time for the store.
    void endRegistration();
    /// Ends the thread.
    void stop();

    /// Spenders of @p account wait. Returns at once.
    void tokensWanted(const AccountName &account);
    /// Traffic noticed that a cold start has begun or ended. Returns at once.
    void backendWarmth(const BackendWarmth &warmth);
    /// What a traffic thread measured of a keyed service. Returns at once.
    void keyLoad(const KeyLoad &load);

    /// @return the loop of the control thread.
    [[nodiscard]] EventLoop &loop() { return loop_; }

    [[nodiscard]] Readiness readiness() const { return core_.readiness(); }
    /// @return a JSON object about this host.
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
