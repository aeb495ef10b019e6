#pragma once

#include "pimentostage/backend/BackendStats.h"
#include "pimentostage/backend/RoutingFence.h"
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

/// One back end as the routing of a service sees it.
struct Candidate
{
    Backend backend_;
    std::shared_ptr<BackendStats> stats_;
    std::uint32_t limit_ = 0; ///< requests this host may have in flight there
    bool followsReports_ = false; ///< its service is balanced by reported load
    bool isNear_ = true; ///< in this host's data centre
    bool takesNewWork_ = true; ///< neither leaving nor in a data centre that is out
    TimePoint withdrawnAt_ {}; ///< since when it takes no new work, if it takes none
    TimePoint rampStart_ {}; ///< when its data centre came back
    Duration ramp_ {}; ///< time over which it regains its share; zero if none

    /// @return requests that this host may have in flight there now.
    [[nodiscard]] std::uint32_t presentLimit() const
    {
        if (stats_->warmup().isCold())
            return std::min(limit_, stats_->warmup().limit());
        return stats_->concurrency().limit(limit_);
    }

    /// @return whether another request may be sent there: as far as reports tell, it will not wait
    ///         long for a slot. A few are sent all the same, or nothing newer would be heard.
    [[nodiscard]] bool hasRoom(TimePoint now) const;

    /// Counts a request there if there is room for it. @return whether there was.
    [[nodiscard]] bool tryBegin(TimePoint now) const;

    /// @return whether it may get requests for what it owns: it takes new work, or is handing
    ///         over what it owned.
    [[nodiscard]] bool mayServeAsOwner(TimePoint now) const;

    /// @return the share of its usual traffic that it may get at @p now, from 0 to 1.
    [[nodiscard]] double share(TimePoint now) const;
};

/// Everything needed to choose a back end for requests of one service.
struct ServiceRoutes
{
    Service service_;
    std::vector<Candidate> candidates_;
    std::unordered_map<std::string, std::size_t> indexByName_;
    std::shared_ptr<const Placement> placement_;
    std::shared_ptr<const RangePlacement> ranges_; ///< of a service with ordered keys
    std::shared_ptr<RoutingFence> fence_; ///< nullptr if the back ends check the fence

    /// @return the candidate called @p name, or nullptr.
    [[nodiscard]] const Candidate *find(const BackendName &name) const;
};

/// Routes of all services; immutable once published.
struct RoutingTable
{
    std::unordered_map<std::string, ServiceRoutes> services_;
};

/// What a RoutingTable is built from besides the configuration.
struct FleetFacts
{
    std::set<std::string> leavingHosts_;
    std::map<ZoneName, TimePoint> zoneReturnedAt_;
    Incarnation router_; ///< of this entry host
    std::size_t entryHosts_ = 1; ///< entry hosts that share the back ends' connections
    ZoneName zone_; ///< of this entry host
};

/// Builds routing tables and keeps the observations of back ends across them.
class RoutingTableBuilder
{
public:
    /// @return a table for @p configuration at @p now; stats of known back ends are carried over.
    std::shared_ptr<const RoutingTable> build(const Configuration &configuration,
                                              const FleetFacts &facts, TimePoint now);

    /// @return the observations of @p backend, or nullptr.
    [[nodiscard]] std::shared_ptr<BackendStats> stats(const BackendName &backend) const;

    /// @return the fence of a service whose back ends check none, or nullptr.
    [[nodiscard]] std::shared_ptr<RoutingFence> fence(const ServiceName &service) const;

private:
    /// What is kept of one back end across tables.
    struct Known
    {
        std::shared_ptr<BackendStats> stats_;
        Incarnation incarnation_;
        Duration coldFor_ {};
    };

    const Known &updateKnown(const Backend &backend, const Service &service,
                             const FleetFacts &facts, TimePoint now);

    std::map<BackendName, Known> known_;
    std::map<ServiceName, std::shared_ptr<RoutingFence>> fences_;
    std::map<BackendName, TimePoint> withdrawnAt_; ///< back ends that take no new work
};

/// @return the shard of @p key among @p shardCount.
ShardId shardOf(std::string_view key, std::size_t shardCount);

/// @return the owner of @p key: of the key itself if it is hot, else of its shard.
const ShardOwner &ownerOf(const Placement &placement, std::string_view key);

/// A back end chosen for one attempt.
struct BackendChoice
{
    const Candidate *candidate_ = nullptr; ///< nullptr if none can take the request
    UnitName unit_; ///< that the key belongs to; empty for services that are not keyed
    Epoch epoch_; ///< fencing epoch of the unit's owner
    bool isBusy_ = false; ///< there is none now, but back ends that had no room
};

/// The key of a request, in the form that its service divides keys by.
struct RequestKey
{
    std::string_view text_; ///< empty for services that are not keyed
    std::optional<std::uint32_t> ordered_;
};

/// Chooses back ends for the attempts of one request.
class BackendSelector
{
public:
    /// @param tried back ends that earlier attempts used; avoided while others are left.
    /// @return a candidate whose stats count the request already, as does the service's fence, or
    ///         none.
    static BackendChoice select(const ServiceRoutes &routes, const RequestKey &key,
                                const std::vector<BackendName> &tried, Random &random,
                                TimePoint now);

private:
    /// Back ends that may take a request, by how readily they are to be used.
    struct Choices
    {
        std::vector<const Candidate *> usable_;
        std::vector<const Candidate *> ejected_; ///< failed lately
        std::vector<const Candidate *> ramping_; ///< passed over by their data centre's ramp
        std::vector<const Candidate *> cold_; ///< warmed up by another host
        bool hasOwn_ = false; ///< this host may use some back end, even if it is full now
    };

    static Choices sortCandidates(const ServiceRoutes &routes,
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
