#pragma once

#include "pimentostage/backend/HotKeyTracker.h"
#include "pimentostage/backend/LatestProcesses.h"
#include "pimentostage/backend/RangeCoordinator.h"
#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/platform/ObjectStore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pimentostage {

/// Kinds of orders about key ranges, for the log.
enum class RangeOrderKind { Grant, Release };

template <>
struct EnumTable<RangeOrderKind>
{
    static constexpr std::array kRows {
        EnumName<RangeOrderKind> { RangeOrderKind::Grant, "grant" },
        EnumName<RangeOrderKind> { RangeOrderKind::Release, "release" },
    };
};

/// Runs a RangeCoordinator for each service with ordered keys that this host coordinates.
///
/// Used only on the control thread.
class RangeControl
{
public:
    /// Called with an object that this host has written to the store.
    using OnOwnWrite = std::function<void(const StoredObject &)>;
    /// @return whether this host may act in a role at the given time.
    using Holds = std::function<bool(const RoleName &, TimePoint)>;
    /// @return a back end's pace: its usual processing time relative to that of other back ends.
    using UsualPace = std::function<double(const BackendName &)>;

    RangeControl(ObjectStore &store, RangeLink &backends, const RangeCoordinatorOptions &options,
                 Clock clock, Holds holds, UsualPace usualPace, std::uint64_t seed, LogSink &log,
                 MetricRegistry &metrics, OnOwnWrite onOwnWrite);

    /// Updates services and back ends from the configuration in force.
    void onConfig(const Configuration &configuration, const std::set<std::string> &leavingHosts);
    /// Records that the store's content is of @p generation or a newer one.
    void setStoreGeneration(Generation generation);
    void onRoleGained(const RoleName &role, Epoch epoch, TimePoint now);
    void onRoleLost(const RoleName &role);
    void tick(TimePoint now);
    /// Records the load that an entry host measured for a service.
    void onKeyLoad(const KeyLoad &load);

    /// @return the number of ranges that are moving between owners, over all services coordinated
    ///         here.
    [[nodiscard]] std::size_t movingRanges() const;

private:
    struct CoordinatedService
    {
        bool hasRole_ = false; ///< whether this host has the service's coordinator role
        /// Whether the authority to act in the role lapsed, so that replies were dropped.
        bool hasLapsed_ = false;
        Epoch roleEpoch_;
        std::unique_ptr<RangeCoordinator> coordinator_;
        RangeCoordinator::Backends backends_;
        std::map<BackendProcess, Address> addresses_; ///< includes processes that have ended
    };

    /// What the log tells of an order when its outcome is known. By then this host may have lost
    /// the role.
    struct SentOrder
    {
        RangeOrderKind kind_ = RangeOrderKind::Grant;
        BackendProcess to_;
        KeyRange range_;
        Epoch epoch_;
        Duration holdDuration_ {};
        ConnectionId requiredConnection_ = 0; ///< see SendRangeGrant::connection_
        Epoch roleEpoch_;
        Version placement_;
        TimePoint sentAt_ {};
    };

    void updateCapacities(CoordinatedService &coordinated);
    void perform(const ServiceName &service, const RangeActions &actions);
    void perform(const ServiceName &service, const ReadRanges &read);
    void perform(const ServiceName &service, const WriteRanges &write);
    void perform(const ServiceName &service, const SendRangeGrant &grant);
    void perform(const ServiceName &service, const SendRangeRelease &release);
    void perform(const ServiceName &service, const RangeMoveDecided &move);
    void onReadReply(const ServiceName &service, const Reply<StoredObject> &reply);
    void onWriteReply(const ServiceName &service, const RangePlacement &placement,
                      const Reply<WriteResult> &reply);
    /// @param order a SendRangeGrant or SendRangeRelease of @p service.
    template <typename Order>
    [[nodiscard]] SentOrder describe(const ServiceName &service, RangeOrderKind kind,
                                     const Order &order) const;
    /// Counts and logs the outcome of an order.
    void recordOutcome(const ServiceName &service, const SentOrder &sent, const RangeReply &reply,
                       TimePoint now);
    /// Begins again if the authority to act in the role had lapsed and is restored.
    void recoverFromLapse(const ServiceName &service, TimePoint now);
    /// @return the coordinator of @p service if this host may act in its role at @p now, else
    ///         nullptr; after a lapse of the authority nullptr until recoverFromLapse().
    RangeCoordinator *activeCoordinator(const ServiceName &service, TimePoint now);
    [[nodiscard]] const Address *addressOf(const ServiceName &service,
                                           const BackendProcess &process) const;
    /// @return whether a process of another service has replaced @p process at @p address.
    [[nodiscard]] bool isOfOtherService(const ServiceName &service, const BackendProcess &process,
                                        const Address &address) const;
    /// @return the address for orders to @p process, or nullptr if none may be sent: a process of
    ///         another service would carry them out.
    [[nodiscard]] const Address *destinationOf(const ServiceName &service,
                                               const BackendProcess &process) const;

    ObjectStore &store_;
    RangeLink &backends_;
    const RangeCoordinatorOptions options_;
    const Clock clock_;
    const Holds holds_;
    const UsualPace usualPace_;
    const std::uint64_t seed_;
    LogSink &log_;
    const OnOwnWrite onOwnWrite_;
    Counter &orders_;
    Counter &failures_;
    Counter &moves_;
    TimePoint nextCapacityUpdateAt_ {};
    std::map<ServiceName, CoordinatedService> services_;
    LatestProcesses latest_;
};

} // namespace pimentostage
