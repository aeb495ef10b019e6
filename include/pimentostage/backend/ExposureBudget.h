#pragma once

#include "pimentostage/backend/ExposureLease.h"

#include <atomic>

namespace pimentostage {

/// Decides at one host whether a request may go to the target of a roll-out.
///
/// Traffic threads call recordRequest(), trySend() and mayUseCurrent(); the control thread calls
/// the others. Thread-safe and lock-free.
class ExposureBudget
{
public:
    explicit ExposureBudget(Incarnation incarnation)
        : incarnation_(incarnation)
    { }

    /// Counts one request of the service, whichever version it goes to.
    void recordRequest() { requests_.fetch_add(1, std::memory_order_relaxed); }

    /// Takes one request of the lease.
    /// @return whether the request may go to the target.
    bool trySend(TimePoint now);

    /// @return whether a request may go to the version in force. A host without a lease so far may;
    ///         one whose last lease forbids it or has run out may not.
    [[nodiscard]] bool mayUseCurrent(TimePoint now) const;

    /// Drops leases of holders before @p holder and reads the counts for a report to it.
    /// @param holder epoch of the holder that gets the report.
    ExposureUse report(Epoch holder);

    /// Applies @p lease unless it is for another process or of an earlier holder. Leases may arrive
    /// late, repeatedly or in any order.
    /// @param now time at which this host sent the report that the lease answers.
    void apply(const ExposureLease &lease, TimePoint now);

private:
    const Incarnation incarnation_;
    Epoch epoch_; ///< control thread only
    std::atomic<std::uint64_t> requests_ { 0 };
    std::atomic<std::uint64_t> sent_ { 0 };
    std::atomic<std::uint64_t> limit_ { 0 };
    std::atomic<TimePoint::rep> targetUntil_ { 0 };
    std::atomic<TimePoint::rep> currentUntil_ { TimePoint::max().time_since_epoch().count() };
    std::atomic<bool> isCurrentAllowed_ { true };
};

} // namespace pimentostage
