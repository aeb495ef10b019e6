#pragma once

#include "pimentostage/backend/ExposureAllocator.h"
#include "pimentostage/backend/KeyedRollout.h"
#include "pimentostage/backend/RolloutDecision.h"
#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/Messages.h"
#include "src/daemon/RolloutOrders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace pimentostage {

/// Runs the roll-outs of all services at the holder of the role `rollouts`: begins, decides, lends
/// exposure to the hosts, records the state and tells the operators.
///
/// A phase takes effect only once the store has recorded it, except for a roll-back, which stops
/// the leases at once. Lives on the control thread. Does nothing where roll-outs are off.
class RolloutControl
{
public:
    /// Called with an object that this host has written to the store, or read from it.
    using OnOwnWrite = std::function<void(const StoredObject &)>;
    /// @return whether this host may act in a role at the given time.
    using Holds = std::function<bool(const RoleName &, TimePoint)>;
    /// @return the last known version of an object; zero if unknown.
    using VersionOf = std::function<Version(const ObjectRef &)>;

    /// @param limits of every roll-out; a share of 0 turns roll-outs off.
    /// @param hosts reaches all entry hosts, this one included.
    RolloutControl(const RolloutLimits &limits, ObjectStore &store, SiblingSender &hosts,
                   Clock clock, Holds holds, VersionOf versionOf, LogSink &log,
                   MetricRegistry &metrics, OnOwnWrite onOwnWrite);

    /// Updates orders and states from the configuration in force.
    void onConfig(const std::shared_ptr<const Configuration> &configuration,
                  const ServiceVersions &versions, TimePoint now);
    /// @return the role, if a roll-out is ordered and not ended.
    [[nodiscard]] std::set<RoleName> roles() const;
    /// Replaces the set of entry hosts that are believed to be running.
    void setHosts(const std::set<HostName> &hosts) { runningHosts_ = hosts; }

    void onRoleGained(const RoleName &role, Epoch epoch);
    void onRoleLost(const RoleName &role);
    void onMessage(const HostName &from, const VersionOutcomeReport &report, TimePoint now);
    void tick(TimePoint now);

private:
    /// What the holder knows of one host.
    struct HostRecord
    {
        Incarnation incarnation_; ///< of its last report; zero before the first
        TimePoint seenAt_ {}; ///< when it last reported or was in the view
        Duration reportSentAt_ {}; ///< of its last report that was answered, on its own clock
    };

    /// A roll-out that this host runs as the holder.
    struct Running
    {
        RolloutState state_; ///< as written last, or to be written
        Version version_; ///< of the stored state; zero if there is none
        bool isRecorded_ = false; ///< the store has state_
        bool isWriting_ = false;
        TimePoint retryAt_ {}; ///< of the next write
        /// Of a service without keys; both are nullptr if the roll-out had ended before.
        std::unique_ptr<RolloutDecision> decision_;
        std::unique_ptr<ExposureAllocator> allocator_;
        std::unique_ptr<KeyedRollout> keyed_; ///< of a keyed service
        std::uint32_t backends_ = 0; ///< of the version that has fewer, as told to decision_
        RolloutVerdict verdict_;
        std::map<HostName, HostRecord> hosts_;
        std::optional<RolloutStatus> reported_; ///< what the operators were told last
        bool isReporting_ = false;
        TimePoint reportFrom_ {}; ///< time of the next attempt to tell them
        TimePoint storeCheckedAt_ {}; ///< when the store last replied
        TimePoint nextStoreCheck_ {};
    };

    [[nodiscard]] bool mayAct(TimePoint now) const;

    void adopt(const ServiceName &service, TimePoint now);
    void begin(const ServiceName &service, const Rollout &order, TimePoint now);
    void makeDecision(const ServiceName &service, Running &running, bool isFirstHolder,
                      TimePoint now);
    /// Tells the decision how many back ends the version with fewer of them has.
    void updateBackends(const ServiceName &service, Running &running) const;
    [[nodiscard]] std::uint32_t countBackends(const ServiceName &service,
                                              const std::string &version) const;
    [[nodiscard]] RolloutVerdict verdictFor(const ServiceName &service, Running &running,
                                            TimePoint now) const;
    void logPhase(const ServiceName &service, const Running &running) const;
    void advance(const ServiceName &service, Running &running, TimePoint now);
    void updateHosts(Running &running, TimePoint now);
    void decide(const ServiceName &service, Running &running, TimePoint now);
    void applyVerdict(const ServiceName &service, Running &running, const RolloutVerdict &verdict,
                      TimePoint now);
    /// Sends each known host a lease that takes back the earlier ones for the target.
    void revokeLeases(const ServiceName &service, Running &running);
    void write(const ServiceName &service, Running &running, TimePoint now);
    void onWriteReply(const ServiceName &service, const RolloutState &written,
                      const Reply<WriteResult> &reply);
    void onConflict(const ServiceName &service, Running &running, const StoredObject &current);
    void checkStore(const ServiceName &service, Running &running, TimePoint now);
    void reportStatus(const ServiceName &service, Running &running, TimePoint now);
    void onStatusReply(const ServiceName &service, const Rollout &rollout, RolloutStatus status,
                       bool isWritten);
    /// @return the roll-out of @p service that this host still runs in @p epoch, or nullptr.
    Running *find(const ServiceName &service, Epoch epoch);

    const RolloutLimits limits_;
    ObjectStore &store_;
    SiblingSender &hosts_;
    const Clock clock_;
    const Holds holds_;
    const VersionOf versionOf_;
    LogSink &log_;
    const OnOwnWrite onOwnWrite_;
    Counter &reports_;
    Counter &leases_;
    Counter &completed_;
    Counter &rolledBack_;
    RolloutOrders orders_;
    std::set<HostName> runningHosts_;
    std::optional<Epoch> epoch_; ///< set while this host has the role
    std::map<ServiceName, Running> running_;
};

} // namespace pimentostage
