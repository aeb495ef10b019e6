#pragma once

#include "pimentostage/backend/ExposureLease.h"
#include "pimentostage/backend/Rollout.h"

#include <array>
#include <map>
#include <optional>

namespace pimentostage {

/// Shares out, at the holder of the role `rollouts`, the number of requests that the target may
/// get.
///
/// All that was lent counts as spent; what a process has not used stays lent to it. A new holder
/// assumes that the former ones lent all that they were allowed to, and lends only for requests
/// that arrive after the first report of a process to it.
class ExposureAllocator
{
public:
    /// @param epoch of the holder, at least 1.
    /// @param isFirstHolder whether no other holder may have lent for this roll-out.
    ExposureAllocator(const RolloutLimits &limits, Epoch epoch, bool isFirstHolder);

    /// Applies a verdict of the decision to all later leases.
    void onVerdict(const RolloutVerdict &verdict, TimePoint now);

    /// Checks the process and the epoch of a report and answers it.
    /// @return the lease, or std::nullopt if the report is of a former process of the host or to a
    ///         later holder. A report to an earlier holder is answered by a lease that only
    ///         announces this holder's epoch.
    std::optional<ExposureLease> allocate(const HostName &host, const ExposureUse &use,
                                          TimePoint now);

    /// Answers a report that the latest known process of @p host sent to this holder. Late and
    /// repeated reports do no harm.
    /// @param used requests that the process sent to the target.
    /// @param requests requests of the service at the process.
    ExposureLease allocate(const HostName &host, std::uint64_t used, std::uint64_t requests,
                           TimePoint now);

    /// @return a lease that takes back the earlier ones of @p host for the target, to be sent at a
    ///         roll-back without waiting for a report; std::nullopt if none was given.
    std::optional<ExposureLease> revoke(const HostName &host);

    /// @return the number of requests to the target that this holder has lent.
    [[nodiscard]] std::uint64_t lent() const { return lent_; }

    /// @return whether the latest known process of @p host has applied a lease of this holder and
    /// may
    ///         not send to the version in force any more under any of them.
    [[nodiscard]] bool hasCurrentLeaseExpired(const HostName &host, TimePoint now) const;

    /// Time over which the part of RolloutLimits::maxExtra_ that is lent becomes available, so that
    /// a target that fails all requests has not got it all before its failures are known.
    static constexpr Duration kExtraPeriod = std::chrono::seconds(4);
    /// Part of RolloutLimits::maxExtra_ that is lent; the rest is for requests counted late.
    static constexpr double kExtraLent = 0.5;
    /// Time for whose expected requests a lease suffices: two periods of reports.
    static constexpr Duration kHeadroom = std::chrono::milliseconds(500);
    /// Weight of the newest report in the estimate of a host's request rate.
    static constexpr double kRateWeight = 0.3;

private:
    /// What the holder knows of one host's process.
    struct Host
    {
        Incarnation incarnation_;
        std::uint64_t used_ = 0;
        std::uint64_t requests_ = 0;
        std::uint64_t limit_ = 0;
        double earned_ = 0; ///< requests to the target for its requests since Switching began
        double perSecond_ = 0; ///< requests of the service
        TimePoint reportedAt_ {};
        TimePoint currentUntil_ {}; ///< end of its leases for the version in force
        bool hasLease_ = false; ///< the process has applied one
    };

    /// How many requests to the target are added to a host's limit.
    using Grant = std::uint64_t (ExposureAllocator::*)(const Host &, TimePoint) const;
    /// The rule of each phase, by RolloutPhase.
    static const std::array<Grant, kEnumCount<RolloutPhase>> kGrants;

    Host &hostFor(const HostName &name, std::uint64_t used, std::uint64_t requests, TimePoint now);
    void countRequests(Host &host, std::uint64_t requests, TimePoint now);
    [[nodiscard]] std::uint64_t grantFromBudget(const Host &host, TimePoint now) const;
    [[nodiscard]] std::uint64_t grantByShare(const Host &host, TimePoint now) const;
    [[nodiscard]] std::uint64_t grantNothing(const Host &host, TimePoint now) const;
    [[nodiscard]] double headroom(const Host &host) const;
    [[nodiscard]] double allowance(TimePoint now) const;
    ExposureLease leaseFor(Host &host, TimePoint now);

    const RolloutLimits limits_;
    const Epoch epoch_;
    const bool isFirstHolder_;
    RolloutVerdict verdict_;
    std::optional<TimePoint> startedAt_;
    std::map<HostName, Host> hosts_;
    std::uint64_t newRequests_ = 0; ///< of all processes, as far as this holder may lend for them
    std::uint64_t lent_ = 0;
    std::uint64_t sequence_ = 0; ///< of the last lease
};

} // namespace pimentostage
