#pragma once

#include "pimentostage/backend/ExposureLease.h"

#include <atomic>

namespace pimentostage {

/// Decides at one host whether a request may go to the target of one roll-out.
///
/// Counts from its construction, when the process learns of the roll-out.
/// Traffic threads call recordRequest(), trySend() and mayUseCurrent(); the control thread calls
/// the others. Thread-safe and lock-free.
class ExposureBudget
{
public:
    /// @param incarnation of this process.
    /// @param isLate whether the process started after the order. It may not use the version in
    /// force
    ///        before its first lease, because the holder may know only its predecessor's leases.
    explicit ExposureBudget(Incarnation incarnation, bool isLate = false)
        : incarnation_(incarnation)
        , currentUntil_(isLate ? 0 : TimePoint::max().time_since_epoch().count())
    { }

    /// Counts one request of the service, whichever version it goes to.
    void recordRequest() { requests_.fetch_add(1, std::memory_order_relaxed); }

    /// Takes one request of the lease.
    /// @return whether the request may go to the target.
    bool trySend(TimePoint now);

    /// To be called after the request has been counted as running at the version in force, so that
    /// a report that this host has left that version cannot miss it.
    /// @return whether a request may go to the version in force. A process without a lease so far
    ///         may if it started before the order; one whose last lease forbids it or has run out
    ///         may not.
    [[nodiscard]] bool mayUseCurrent(TimePoint now) const;

    /// Drops leases of holders before @p holder and reads the counts for a report to it.
    /// @param holder epoch of the latest holder that this host knows.
    /// @return the report; its epoch is that of the latest holder that has ever been named here.
    ExposureUse report(Epoch holder);

    /// Applies @p lease unless it is for another process or older than the last one. Leases of this
    /// roll-out may arrive late, repeatedly or in any order.
    /// @param now time at which this host sent the report that the lease answers.
    void apply(const ExposureLease &lease, TimePoint now);

private:
    void dropLeasesBefore(Epoch holder);

    const Incarnation incarnation_;
    Epoch epoch_; ///< of the latest holder; control thread only, as is sequence_
    std::uint64_t sequence_ = 0; ///< of the last lease
    std::atomic<std::uint64_t> requests_ { 0 };
    std::atomic<std::uint64_t> sent_ { 0 };
    std::atomic<std::uint64_t> limit_ { 0 };
    std::atomic<TimePoint::rep> targetUntil_ { 0 };
    std::atomic<TimePoint::rep> currentUntil_;
    std::atomic<bool> isCurrentAllowed_ { true };
};

} // namespace pimentostage
