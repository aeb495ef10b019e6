// Imbalance and churn of placement: bounded movement against plain weighted rendezvous hashing.

#include "pimentostage/backend/PlacementPlanner.h"
#include "pimentostage/base/Random.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace pimentostage;

using Owners = std::vector<BackendName>;
using Backends = std::vector<PlacementBackend>;

constexpr std::size_t kShards = 256;
constexpr int kEvents = 200;

Backends makeBackends(std::size_t count)
{
    Backends backends;
    for (std::size_t i = 0; i < count; ++i)
        backends.push_back({ BackendName("permits-" + std::to_string(i)), 6, true });
    return backends;
}

/// @return the largest number of shards on a back end, relative to the mean.
double imbalance(const Owners &owners, const Backends &backends)
{
    std::map<BackendName, std::size_t> counts;
    for (const BackendName &owner : owners)
        ++counts[owner];
    std::size_t maxCount = 0;
    for (const auto &[backend, count] : counts)
        maxCount = std::max(maxCount, count);
    const double mean = static_cast<double>(owners.size()) / static_cast<double>(backends.size());
    return static_cast<double>(maxCount) / mean;
}

/// @return the number of shards whose owner changed, relative to @p requiredMoves: the shards of a
///         back end that left, or the mean number of shards for one that joined.
double churn(const Owners &before, const Owners &after, double requiredMoves)
{
    std::size_t moved = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
        moved += before[i] != after[i] ? 1 : 0;
    return static_cast<double>(moved) / requiredMoves;
}

/// A function that places shards.
using Plan = Owners (*)(const Owners &, const Backends &);

Owners planWithBoundedMovement(const Owners &owners, const Backends &backends)
{
    return PlacementPlanner::plan(owners, backends);
}

Owners planByRendezvousOnly(const Owners &owners, const Backends &backends)
{
    return PlacementPlanner::planByRendezvous(owners.size(), backends);
}

/// Measures @p plan while randomly chosen back ends leave and return, one at a time.
void measure(const char *name, Plan plan, std::size_t count)
{
    Random random(5);
    Backends present = makeBackends(count);
    Backends absent;
    Owners owners = plan(Owners(kShards), present);
    double imbalanceSum = 0;
    double maxImbalance = 0;
    double churnSum = 0;
    for (int event = 0; event < kEvents; ++event) {
        const bool isLeave = absent.empty() || (present.size() > count / 2 && random.unit() < 0.5);
        Backends &from = isLeave ? present : absent;
        Backends &to = isLeave ? absent : present;
        const auto chosen = from.begin() + static_cast<std::ptrdiff_t>(random.below(from.size()));
        const BackendName changed = chosen->name_;
        to.push_back(*chosen);
        from.erase(chosen);
        const Owners next = plan(owners, present);
        const double requiredMoves
            = isLeave ? static_cast<double>(std::count(owners.begin(), owners.end(), changed))
                      : static_cast<double>(kShards) / static_cast<double>(present.size());
        churnSum += churn(owners, next, std::max(1.0, requiredMoves));
        owners = next;
        const double value = imbalance(owners, present);
        imbalanceSum += value;
        maxImbalance = std::max(maxImbalance, value);
    }
    std::printf("%-12s %8zu %16.3f %16.3f %16.3f\n", name, count, imbalanceSum / kEvents,
                maxImbalance, churnSum / kEvents);
}

} // namespace

int main()
{
    std::printf("%zu shards, %d joins and leaves\n", kShards, kEvents);
    std::printf("%-12s %8s %16s %16s %16s\n", "way", "servers", "mean imbalance", "worst imbalance",
                "moves over due");
    for (const std::size_t count : { 6U, 8U, 24U }) {
        measure("bounded", &planWithBoundedMovement, count);
        measure("rendezvous", &planByRendezvousOnly, count);
    }
    return 0;
}
