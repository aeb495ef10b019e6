#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentostage {

/// Manages the leases that one coordinator grants: one per holder, covering all its units.
///
/// A holder is a back end that checks its grants, or an entry host that sends requests to back ends
/// that do not. Explicitly instantiated for BackendName and Member.
template <typename Holder>
class LeaseGranter
{
public:
    /// A grant that is due to be sent.
    struct DueGrant
    {
        Holder holder_;
        Grant grant_;
    };

    /// @param maxWorkDuration how long work started under a lease may continue after its end.
    LeaseGranter(ServiceName service, Duration maxWorkDuration);

    /// Starts granting under @p roleEpoch. Earlier coordinators may have granted leases up to
    /// @p now.
    void begin(Epoch roleEpoch, TimePoint now);
    /// Stops granting; discards all leases but keeps the holders.
    void end();

    /// Replaces the set of holders that receive grants. The lease of a removed holder remains
    /// recorded until it expires.
    void setHolders(const std::set<Holder> &holders);
    /// Records that an earlier coordinator may have granted a lease to @p holder.
    void assumeEarlierLease(const Holder &holder);
    /// Replaces the units granted to each holder; holders not in @p units get none.
    void setUnits(const std::map<Holder, GrantedUnits> &units);

    /// @return the grants to send at @p now.
    std::vector<DueGrant> collectDueGrants(TimePoint now);
    void onReply(const Holder &holder, const GrantReply &reply, TimePoint now);

    /// @return whether @p holder replied recently.
    [[nodiscard]] bool isResponsive(const Holder &holder, TimePoint now) const;
    /// @return whether @p holder certainly has neither a lease nor work started under one.
    [[nodiscard]] bool hasExpired(const Holder &holder, TimePoint now) const;
    /// @return whether @p holder certainly runs no work for @p unit any longer.
    [[nodiscard]] bool hasReleased(const Holder &holder, const UnitName &unit, TimePoint now) const;
    /// @return whether certainly no holder runs work for @p unit any longer.
    [[nodiscard]] bool haveAllReleased(const UnitName &unit, TimePoint now) const;
    /// @return the holders that receive grants or may still have a lease.
    [[nodiscard]] std::set<Holder> holders() const;
    /// @return the number of holders that replied recently.
    [[nodiscard]] std::size_t responsiveCount(TimePoint now) const;

private:
    struct Lease
    {
        bool receivesGrants_ = false; ///< whether the last setHolders() included the holder
        std::optional<ServerStamp> stamp_;
        TimePoint stampReceivedAt_ {}; ///< when stamp_ was received
        TimePoint lastReplyAt_ {};
        TimePoint expiresAt_ {}; ///< from then on the holder certainly has no lease
        std::uint64_t sequence_ = 0; ///< of the newest grant sent
        GrantedUnits units_; ///< covered by the newest grant
        std::uint64_t digest_ = 0; ///< of units_
        std::uint64_t unitsSequence_ = 0; ///< of the first grant that covers units_
        std::uint64_t ackedSequence_ = 0; ///< of the newest grant that the holder accepted
        std::set<UnitName> draining_;
        TimePoint nextGrantAt_ {}; ///< when the next grant is due
    };

    [[nodiscard]] const Lease *find(const Holder &holder) const;
    [[nodiscard]] bool hasExpired(const Lease &lease, TimePoint now) const;
    [[nodiscard]] bool hasReleased(const Lease &lease, const UnitName &unit, TimePoint now) const;
    [[nodiscard]] static bool isResponsive(const Lease &lease, TimePoint now);
    Grant makeGrant(Lease &lease) const;

    const ServiceName service_;
    const Duration maxWorkDuration_;
    Epoch roleEpoch_;
    TimePoint startedAt_ {};
    std::map<Holder, Lease> leases_;
};

} // namespace pimentostage
