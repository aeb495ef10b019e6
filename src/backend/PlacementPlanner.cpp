#include "pimentostage/backend/PlacementPlanner.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace pimentostage {

namespace {

/// @return the number of shards that each back end should own; the sum is @p shards.
std::vector<std::size_t> quotas(std::size_t shards, const std::vector<PlacementBackend> &backends,
                                const std::vector<std::size_t> &owned)
{
    double total = 0;
    for (const PlacementBackend &backend : backends)
        total += backend.capacity_;
    std::vector<std::size_t> quota(backends.size());
    std::vector<double> fraction(backends.size());
    std::size_t assigned = 0;
    for (std::size_t i = 0; i < backends.size(); ++i) {
        const double exact = static_cast<double>(shards) * backends[i].capacity_ / total;
        quota[i] = static_cast<std::size_t>(exact);
        fraction[i] = exact - std::floor(exact);
        assigned += quota[i];
    }
    std::vector<std::size_t> order(backends.size());
    for (std::size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    // The remainder goes first to back ends that own more than their quota, which avoids moves.
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const bool exceedsQuotaA = owned[a] > quota[a];
        const bool exceedsQuotaB = owned[b] > quota[b];
        return exceedsQuotaA != exceedsQuotaB ? exceedsQuotaA : fraction[a] > fraction[b];
    });
    for (std::size_t i = 0; assigned < shards; ++i, ++assigned)
        ++quota[order[i % order.size()]];
    return quota;
}

std::uint64_t preference(std::size_t shard, const BackendName &backend)
{
    return hash64(backend.str(), shard + 1);
}

// Prefers back ends with room below their quota. If only back ends that cannot gain shards have
// room, the quota of another one is exceeded.
BackendName assignOwner(std::size_t shard, const std::vector<PlacementBackend> &backends,
                        std::vector<std::size_t> &room)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < backends.size(); ++i) {
        if (!backends[i].canGainShards_)
            continue;
        const bool hasRoom = room[i] > 0;
        const bool bestHasRoom = best && room[*best] > 0;
        const bool isPreferred
            = !best
              || preference(shard, backends[i].name_) > preference(shard, backends[*best].name_);
        const bool isBetter = hasRoom != bestHasRoom ? hasRoom || !best : isPreferred;
        if (isBetter)
            best = i;
    }
    if (!best)
        return {};
    if (room[*best] > 0)
        --room[*best];
    return backends[*best].name_;
}

} // namespace

std::vector<BackendName> PlacementPlanner::plan(const std::vector<BackendName> &owners,
                                                const std::vector<PlacementBackend> &backends)
{
    std::vector<BackendName> wanted(owners.size());
    if (backends.empty())
        return wanted;
    std::map<BackendName, std::size_t> indexOf;
    for (std::size_t i = 0; i < backends.size(); ++i)
        indexOf[backends[i].name_] = i;
    std::vector<std::size_t> owned(backends.size());
    for (const BackendName &owner : owners) {
        const auto found = indexOf.find(owner);
        if (found != indexOf.end())
            ++owned[found->second];
    }
    std::vector<std::size_t> room = quotas(owners.size(), backends, owned);
    std::vector<std::size_t> unassigned;
    for (std::size_t shard = 0; shard < owners.size(); ++shard) {
        const auto found = indexOf.find(owners[shard]);
        const bool stays = found != indexOf.end() && room[found->second] > 0;
        if (!stays) {
            unassigned.push_back(shard);
            continue;
        }
        --room[found->second];
        wanted[shard] = owners[shard];
    }
    for (const std::size_t shard : unassigned)
        wanted[shard] = assignOwner(shard, backends, room);
    return wanted;
}

std::vector<BackendName> PlacementPlanner::planByRendezvous(
    std::size_t shards, const std::vector<PlacementBackend> &backends)
{
    std::vector<BackendName> wanted(shards);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        double bestScore = -1;
        for (const PlacementBackend &backend : backends) {
            const double kHashRange = std::ldexp(1.0, 64);
            const double uniform
                = (static_cast<double>(preference(shard, backend.name_)) + 0.5) / kHashRange;
            const double score = -backend.capacity_ / std::log(uniform);
            if (score <= bestScore)
                continue;
            bestScore = score;
            wanted[shard] = backend.name_;
        }
    }
    return wanted;
}

} // namespace pimentostage
