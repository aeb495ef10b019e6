#pragma once

#include "pimentostage/backend/BackendStats.h"
#include "pimentostage/backend/RolloutTraffic.h"
#include "pimentostage/backend/RouterLease.h"
#include "pimentostage/base/Random.h"
#include "pimentostage/platform/Configuration.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pimentostage {

/// A back end as a routing candidate of its service.
struct Candidate
{
    Backend backend_;
    std::shared_ptr<BackendStats> stats_;
    std::uint32_t limit_ = 0; ///< maximum number of requests this host may have in flight
    bool usesLoadReports_ = false; ///< its service balances by reported load
    bool isOwner_ = false; ///< of ordered keys
    bool isLocal_ = true; ///< in this host's data centre
    bool isTarget_ = false; ///< of the version that is rolled out
    /// Ready, not leaving, not replaced by another process at its address, and its data centre is
    /// in service.
    bool takesNewWork_ = true;
    TimePoint withdrawnAt_ {}; ///< when it stopped taking new work
    TimePoint rampStart_ {}; ///< when its data centre returned to service
    Duration ramp_ {}; ///< time over which its traffic share is restored; zero if at once

    /// Sharing of observations among the hosts; nullptr if there is none for its service.
    std::shared_ptr<RoomSharing> sharing_;

    /// @return whether its room is estimated from the observations of all hosts at @p now.
    [[nodiscard]] bool isRoomShared(TimePoint now) const
    {
        return sharing_ && sharing_->isActive(now);
    }

    /// @return the load at which it gets no more requests.
    [[nodiscard]] double maxLoad() const
    {
        return (isOwner_ ? kMaxOwnerLoadPerSlot : kMaxLoadPerSlot) * backend_.slots_;
    }

    /// @return the other hosts that send to it.
    [[nodiscard]] Rivals rivals(TimePoint now) const
    {
        return sharing_->rivals(stats_->room().ownRate(now), now);
    }

    /// @return the estimated number of requests that run or wait there.
    [[nodiscard]] double load(TimePoint now) const;

    /// @return the number of requests that this host may currently have in flight there.
    [[nodiscard]] std::uint32_t currentLimit() const
    {
        if (stats_->warmup().isCold())
            return std::min(limit_, stats_->warmup().limit());
        return stats_->concurrency().limit(limit_);
    }

    /// @return whether another request may be sent there: its cold start rate allows it and, by the
    ///         last load reports, the request will not wait long for a slot. While hosts share
    ///         their observations, RoomEstimate decides on the load; otherwise at least one request
    ///         from this host is allowed regardless of load, because answers carry the reports.
    [[nodiscard]] bool hasCapacity(TimePoint now) const;

    /// Counts a request as in flight if the back end has capacity for it.
    /// @return whether it was counted.
    [[nodiscard]] bool tryBegin(TimePoint now) const;

    /// @return whether it may be sent requests for the keys that it owns: it takes new work, or it
    ///         is still handing its keys over.
    [[nodiscard]] bool mayServeAsOwner(TimePoint now) const;

    /// @return the share of its usual traffic that it may be sent at @p now, from 0 to 1.
    [[nodiscard]] double share(TimePoint now) const;
};

/// The data from which a back end is chosen for requests of one service.
struct ServiceRoutes
{
    Service service_;
    std::vector<Candidate> candidates_;
    std::unordered_map<std::string, std::size_t> indexByName_;
    std::shared_ptr<const Placement> placement_;
    std::shared_ptr<const RangePlacement> ranges_; ///< of a service with ordered keys
    std::shared_ptr<RouterLease> routerLease_; ///< nullptr if the back ends check fences themselves
    std::shared_ptr<RolloutTraffic> rollout_; ///< nullptr unless a roll-out runs

    /// @return the candidate named @p name, or nullptr.
    [[nodiscard]] const Candidate *find(const BackendName &name) const;
};

/// Routes of all services; immutable once published.
struct RoutingTable
{
    std::unordered_map<std::string, ServiceRoutes> services_;
    bool hasTeams_ = true; ///< false only for a catalogue without teams
};

/// The input of a RoutingTable besides the configuration.
struct FleetState
{
    std::set<std::string> leavingHosts_;
    std::set<std::string> withheldBackends_; ///< of a version that may get no requests
    /// Of the services without keys whose roll-outs run.
    std::map<ServiceName, std::shared_ptr<RolloutTraffic>> rollouts_;
    std::map<ZoneName, TimePoint> zoneReturnedAt_; ///< when data centres returned to service
    std::set<ZoneName> presumedColdZones_; ///< whose back ends count as cold
    Incarnation router_; ///< of this entry host
    std::size_t entryHosts_ = 1; ///< number of entry hosts that share the back ends' connections
    ZoneName zone_; ///< of this entry host
    bool sharesRoom_ = false; ///< whether hosts send each other their observations of back ends
};

/// Builds routing tables and carries the observations of back ends over from one to the next.
class RoutingTableBuilder
{
public:
    /// @return a table for @p configuration at @p now, with the stats of back ends recorded before.
    std::shared_ptr<const RoutingTable> build(const Configuration &configuration,
                                              const FleetState &fleet, TimePoint now);

    /// @return the stats of @p backend, or nullptr.
    [[nodiscard]] std::shared_ptr<BackendStats> stats(const BackendName &backend) const;

    /// Records that a sibling has sent observations of back ends.
    void onRoomReport(TimePoint now);

    /// @return the router lease of a service whose back ends do not check fences, or nullptr.
    [[nodiscard]] std::shared_ptr<RouterLease> routerLease(const ServiceName &service) const;

private:
    /// State of one back end that is kept across tables.
    struct BackendRecord
    {
        std::shared_ptr<BackendStats> stats_;
        Incarnation incarnation_;
        Incarnation latest_; ///< the highest of all processes that were recorded
        Duration coldFor_ {};
    };

    /// @return the sharing of @p service, or nullptr if there is none.
    std::shared_ptr<RoomSharing> roomSharing(const Service &service, const FleetState &fleet);
    const BackendRecord &updateRecord(const Backend &backend, const Service &service,
                                      const FleetState &fleet, TimePoint now);

    std::map<BackendName, BackendRecord> records_;
    std::map<ServiceName, std::shared_ptr<RouterLease>> routerLeases_;
    std::map<ServiceName, std::shared_ptr<RoomSharing>> roomSharings_;
    std::map<BackendName, TimePoint> withdrawnAt_; ///< when back ends stopped taking new work
};

/// @return the shard of @p key out of @p shardCount.
ShardId shardOf(std::string_view key, std::size_t shardCount);

/// @return the owner of @p key: the owner of the key itself if it is hot, else of its shard.
const ShardOwner &ownerOf(const Placement &placement, std::string_view key);

/// The back end chosen for one attempt.
struct BackendChoice
{
    const Candidate *candidate_ = nullptr; ///< nullptr if none is available
    UnitName unit_; ///< unit of the key; empty for services that are not keyed
    Epoch epoch_; ///< fencing epoch of the unit's owner
    bool isBusy_ = false; ///< there are back ends, but none has capacity
};

/// The key of a request, in the form by which its service divides keys.
struct RequestKey
{
    std::string_view text_; ///< empty for services that are not keyed
    std::optional<std::uint32_t> ordered_; ///< set for services with ordered keys
};

/// Chooses back ends for the attempts of one request.
class BackendSelector
{
public:
    /// @param tried back ends used by earlier attempts; not chosen again on services without keys.
    /// @return a candidate whose stats, and the service's router lease, already count the request
    ///         as in flight; or none.
    static BackendChoice select(const ServiceRoutes &routes, const RequestKey &key,
                                const std::vector<BackendName> &tried, Random &random,
                                TimePoint now);

private:
    /// Back ends with capacity for a request, in groups by preference.
    struct CandidateGroups
    {
        std::vector<const Candidate *> usable_;
        std::vector<const Candidate *> ejected_; ///< ejected after recent failures
        std::vector<const Candidate *> ramping_; ///< skipped because of their data centre's ramp
        std::vector<const Candidate *> cold_; ///< being warmed up by another host
        bool hasPermitted_ = false; ///< this host may use some back end, even if it is full
    };

    /// Chooses among the candidates, or only those of one version.
    using Filter = bool (*)(const Candidate &);

    static CandidateGroups groupCandidates(const ServiceRoutes &routes, Filter filter,
                                           const std::vector<BackendName> &tried, Random &random,
                                           TimePoint now);
    /// @return the candidates that may be used, the preferred ones only.
    /// @param mayUseCold whether back ends that other hosts warm up may be used if there are no
    ///        others.
    static std::vector<const Candidate *> usableCandidates(const ServiceRoutes &routes,
                                                           Filter filter, bool mayUseCold,
                                                           const std::vector<BackendName> &tried,
                                                           Random &random, TimePoint now);
    static const Candidate *pick(const ServiceRoutes &routes, std::vector<const Candidate *> usable,
                                 Random &random, TimePoint now);
    static const Candidate *selectVersion(const ServiceRoutes &routes,
                                          const std::vector<BackendName> &tried, Random &random,
                                          TimePoint now);
    static BackendChoice selectOwner(const ServiceRoutes &routes, std::string_view key,
                                     TimePoint now);
    static BackendChoice selectRangeOwner(const ServiceRoutes &routes, std::uint32_t key,
                                          TimePoint now);
    static const Candidate *selectBalanced(const ServiceRoutes &routes,
                                           const std::vector<BackendName> &tried, Random &random,
                                           TimePoint now);
};

} // namespace pimentostage
