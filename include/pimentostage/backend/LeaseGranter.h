#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentostage {

/// Keeps the leases that one coordinator grants: one for each holder, covering all its units.
///
/// A holder is a back end that checks its grant, or an entry host that sends to back ends that
/// check none. Explicitly instantiated for BackendName and Member.
template <typename Holder>
class LeaseGranter
{
public:
    /// A grant to send now.
    struct Due
    {
        Holder holder_;
        Grant grant_;
    };

    /// @param tail how long work begun under a lease may outlast it.
    LeaseGranter(ServiceName service, Duration tail);

    /// Starts under @p roleEpoch; leases of earlier coordinators may have been granted up to
    /// @p now.
    void begin(Epoch roleEpoch, TimePoint now);
    /// Ends; forgets all leases but not the holders.
    void end();

    /// Replaces the holders that get grants. One that gets none any more keeps the lease that it
    /// may have.
    void setHolders(const std::set<Holder> &holders);
    /// Notes that an earlier coordinator may have granted @p holder a lease.
    void expectEarlierLease(const Holder &holder);
    /// Replaces what holders are granted; those not named are granted nothing.
    void setUnits(const std::map<Holder, GrantedUnits> &units);

    /// @return the grants to send at @p now.
    std::vector<Due> takeDue(TimePoint now);
    void onReply(const Holder &holder, const GrantReply &reply, TimePoint now);

    /// @return whether @p holder replied lately.
    [[nodiscard]] bool isAnswering(const Holder &holder, TimePoint now) const;
    /// @return whether @p holder surely has no lease, and no work begun under one.
    [[nodiscard]] bool hasLapsed(const Holder &holder, TimePoint now) const;
    /// @return whether @p holder surely acts no more for @p unit.
    [[nodiscard]] bool hasReleased(const Holder &holder, const UnitName &unit, TimePoint now) const;
    /// @return whether surely no holder acts for @p unit any more.
    [[nodiscard]] bool haveAllReleased(const UnitName &unit, TimePoint now) const;
    /// @return holders that get grants or may still have a lease.
    [[nodiscard]] std::set<Holder> holders() const;
    /// @return how many holders replied lately.
    [[nodiscard]] std::size_t answering(TimePoint now) const;

private:
    struct Lease
    {
        bool isGranted_ = false; ///< gets grants
        std::optional<ServerStamp> stamp_;
        TimePoint stampAt_ {}; ///< when stamp_ arrived
        TimePoint repliedAt_ {};
        TimePoint until_ {}; ///< the holder surely has no lease from here on
        std::uint64_t sequence_ = 0; ///< of the newest grant sent
        GrantedUnits units_; ///< what the newest grant covers
        std::uint64_t digest_ = 0; ///< of units_
        std::uint64_t unitsSequence_ = 0; ///< first grant that covered units_
        std::uint64_t ackedSequence_ = 0; ///< newest grant that the holder has taken
        std::set<UnitName> draining_;
        TimePoint next_ {}; ///< when the next grant is due
    };

    [[nodiscard]] const Lease *find(const Holder &holder) const;
    [[nodiscard]] bool hasLapsed(const Lease &lease, TimePoint now) const;
    [[nodiscard]] bool hasReleased(const Lease &lease, const UnitName &unit, TimePoint now) const;
    [[nodiscard]] static bool isAnswering(const Lease &lease, TimePoint now);
    Grant grantFor(Lease &lease) const;

    const ServiceName service_;
    const Duration tail_;
    Epoch roleEpoch_;
    TimePoint begunAt_ {};
    std::map<Holder, Lease> leases_;
};

} // namespace pimentostage
