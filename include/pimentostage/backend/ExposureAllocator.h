#pragma once

#include "pimentostage/backend/ExposureLease.h"
#include "pimentostage/backend/Rollout.h"

#include <map>
#include <optional>

namespace pimentostage {

/// Shares out, at the holder of the role `rollouts`, the number of requests that the target may
/// get.
///
/// All that was lent counts as spent. A new holder assumes that the former ones lent all that they
/// were allowed to, and lends only for requests that arrive after its own first report of a host.
class ExposureAllocator
{
public:
    /// @param epoch of the holder.
    /// @param isFirstHolder whether no other holder has lent for this roll-out.
    ExposureAllocator(const RolloutLimits &limits, Epoch epoch, bool isFirstHolder);

    /// Applies the share of traffic that the decision allows from now on.
    void onVerdict(const RolloutVerdict &verdict, TimePoint now);

    /// Checks the sender and the epoch of a report and answers it.
    /// @return the lease, or std::nullopt if the report is of a former process of the host. A
    /// report
    ///         to another holder is answered by a lease that only announces this holder's epoch.
    std::optional<ExposureLease> allocate(const HostName &host, const ExposureUse &use,
                                          TimePoint now);

    /// Answers a report that was sent to this holder by the latest known process of @p host.
    /// @param used requests that the process sent to the target since it started.
    /// @param requests requests of the service at the process since it started.
    ExposureLease allocate(const HostName &host, std::uint64_t used, std::uint64_t requests,
                           TimePoint now);

    /// @return the number of requests to the target that this holder has lent.
    [[nodiscard]] std::uint64_t lent() const { return lent_; }
    /// @return whether the last lease of @p host for the version in force has certainly run out, or
    ///         this holder has given it none for that version.
    [[nodiscard]] bool hasCurrentLeaseExpired(const HostName &host, TimePoint now) const;

private:
    /// What the holder knows of one host's process.
    struct Host
    {
        Incarnation incarnation_;
        std::uint64_t used_ = 0;
        std::uint64_t requests_ = 0;
        std::uint64_t limit_ = 0;
        TimePoint currentUntil_ {};
    };

    const RolloutLimits limits_;
    const Epoch epoch_;
    RolloutVerdict verdict_;
    std::map<HostName, Host> hosts_;
    std::uint64_t lent_ = 0;
};

} // namespace pimentostage
