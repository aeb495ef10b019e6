#pragma once

#include "pimentostage/backend/AttemptBudget.h"
#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/backend/ServerLease.h"
#include "pimentostage/caller/RequestRouter.h"
#include "src/daemon/ControlCore.h"
#include "tests/fakes/DriftingClock.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FleetOracle.h"
#include "tests/fakes/FleetStore.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/UnreachableRangeLink.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimentostage {

/// Faults injected on purpose, to show that the oracle detects them. Without overrides there is
/// none.
class InjectedFault
{
public:
    virtual ~InjectedFault() = default;
    /// @return whether back ends check their lease.
    [[nodiscard]] virtual bool checksLease() const { return true; }
    /// @return whether host number @p host uses its newest view, not its first serving view.
    [[nodiscard]] virtual bool usesNewestView(std::size_t /*host*/) const { return true; }
    /// @return whether a request spends a token before it runs.
    [[nodiscard]] virtual bool spendsTokens() const { return true; }
    /// @return whether the store keeps a placement that it acknowledged.
    [[nodiscard]] virtual bool keepsPlacements() const { return true; }
    /// @return the version that a host has in force in place of @p version.
    [[nodiscard]] virtual Version effectiveVersion(Version version) const { return version; }
    /// @return the state that a host assumes for an attempt in @p state.
    [[nodiscard]] virtual AttemptState assumedState(AttemptState state) const { return state; }
};

/// Simulates the decision cores of several hosts with a store, links and back ends, all of which
/// can fail.
///
/// Simulated time is true time; the clocks of hosts and back ends drift. The oracle records what
/// actually happens.
class CoreFleet
{
public:
    CoreFleet(std::size_t hosts, std::uint64_t seed, const InjectedFault &injected,
              const ControlOptions &options = {});
    ~CoreFleet();

    void run(Duration duration);

    /// Sends a request to a host.
    /// @param number selects service, key and team.
    void request(std::size_t host, std::size_t number);

    void pauseHost(std::size_t host, bool paused);
    /// Isolates a host from the other hosts, or reconnects it.
    void cutHost(std::size_t host, bool isCut);
    void cutHostFromStore(std::size_t host, bool isCut);
    void restartHost(std::size_t host);
    void pauseBackend(std::size_t backend, bool paused) { backends_[backend].paused_ = paused; }
    void restartBackend(std::size_t backend);
    void setBackendLeaving(std::size_t backend, bool isLeaving);
    void setZoneOut(std::size_t zone, bool isOut);
    void setKeyGranted(std::size_t team, bool isGranted);
    /// Ends all failures.
    void heal();

    [[nodiscard]] std::size_t hostCount() const { return hosts_.size(); }
    [[nodiscard]] std::size_t backendCount() const { return backends_.size(); }
    [[nodiscard]] const FleetOracle &oracle() const { return oracle_; }
    /// @return the version of a data centre's object that a host has in force.
    [[nodiscard]] Version zoneVersion(std::size_t host, std::size_t zone) const;
    /// @return the number of requests answered.
    [[nodiscard]] std::size_t answered() const { return answered_; }

    FleetStore &store() { return store_; }
    bool losesMessages_ = false;

    static constexpr std::size_t kTeams = 2;
    static constexpr std::size_t kZones = 2;

private:
    class FakeSiblingLinks;
    class FakeBackendLinks;
    class Run;
    struct Host;
    struct Work;
    struct Backend
    {
        BackendName name_;
        ServiceName service_;
        std::size_t zone_ = 0;
        Address address_;
        DriftingClock clock_ { Duration::zero(), 0 };
        std::unique_ptr<ServerLease> lease_;
        std::vector<std::shared_ptr<Work>> work_;
        bool paused_ = false;
    };
    void writeObjects();
    void startHost(std::size_t index);
    void startBackend(Backend &backend);
    void scheduleTick(const std::shared_ptr<Host> &host);
    void runAtHost(const std::shared_ptr<Host> &host, std::function<void()> task);
    void deliver(Host &from, const HostName &to, const SiblingMessage &message);
    Backend *find(const Address &address);
    Backend &find(const BackendName &name);
    using OnEnd = std::function<void(AttemptState)>;
    void beginWork(Backend &backend, const std::shared_ptr<Work> &work, const OnEnd &done);
    void finishWork(Backend &backend, const std::shared_ptr<Work> &work, const OnEnd &done);
    void check();
    void checkOwners();
    void checkVersions();

    EventQueue events_;
    const InjectedFault &injected_;
    ControlOptions options_;
    Random random_;
    FleetOracle oracle_;
    NullLog log_;
    FleetStore store_;
    UnreachableRangeLink ranges_;
    std::vector<std::shared_ptr<Host>> hosts_;
    std::vector<std::shared_ptr<Host>> stoppedHosts_;
    std::vector<Backend> backends_;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t messages_ = 0;
    std::size_t answered_ = 0;
};

} // namespace pimentostage
