#pragma once

#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/backend/ServerLease.h"
#include "pimentostage/backend/ShareBudget.h"
#include "pimentostage/caller/RequestRouter.h"
#include "src/daemon/ControlCore.h"
#include "tests/fakes/DriftingClock.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FleetOracle.h"
#include "tests/fakes/FleetStore.h"
#include "tests/fakes/NoRanges.h"
#include "tests/fakes/NullLog.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimentostage {

/// Faults built in on purpose, to show that the oracle finds them. Without overrides there is none.
class InjectedFault
{
public:
    virtual ~InjectedFault() = default;
    /// @return whether back ends check their lease.
    [[nodiscard]] virtual bool checksLease() const { return true; }
    /// @return whether host @p host decides by its newest view, and not by the first that served.
    [[nodiscard]] virtual bool usesNewestView(std::size_t /*host*/) const { return true; }
    /// @return whether tokens are spent before a request runs.
    [[nodiscard]] virtual bool spendsTokens() const { return true; }
    /// @return whether the store keeps a placement that it acknowledged.
    [[nodiscard]] virtual bool keepsPlacements() const { return true; }
    /// @return the version that a host has in force, if it should be @p version.
    [[nodiscard]] virtual Version inForce(Version version) const { return version; }
    /// @return what a host believes of an attempt in @p state.
    [[nodiscard]] virtual AttemptState believed(AttemptState state) const { return state; }
};

/// Several hosts' whole decision core with store, links and back ends, all of which fail.
///
/// Time is true time; clocks drift. The oracle is told what really happens.
class CoreFleet
{
public:
    CoreFleet(std::size_t hosts, std::uint64_t seed, const InjectedFault &injected,
              const ControlOptions &options = {});
    ~CoreFleet();

    void run(Duration duration);

    /// A request comes to a host. @param number chooses service, key and team.
    void request(std::size_t host, std::size_t number);

    void pauseHost(std::size_t host, bool paused);
    /// Cuts a host off from the other hosts.
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
    /// @return requests answered.
    [[nodiscard]] std::size_t answered() const { return answered_; }

    FleetStore &store() { return store_; }
    bool losesMessages_ = false;

    static constexpr std::size_t kTeams = 2;
    static constexpr std::size_t kZones = 2;

private:
    class Links;
    class Servers;
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
    void atHost(const std::shared_ptr<Host> &host, std::function<void()> task);
    void deliver(Host &from, const HostName &to, const SiblingMessage &message);
    Backend *find(const Address &address);
    Backend &find(const BackendName &name);
    using OnEnd = std::function<void(AttemptState)>;
    void take(Backend &backend, const std::shared_ptr<Work> &work, const OnEnd &done);
    void finish(Backend &backend, const std::shared_ptr<Work> &work, const OnEnd &done);
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
    NoRanges ranges_;
    std::vector<std::shared_ptr<Host>> hosts_;
    std::vector<std::shared_ptr<Host>> retired_;
    std::vector<Backend> backends_;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t messages_ = 0;
    std::size_t answered_ = 0;
};

} // namespace pimentostage
