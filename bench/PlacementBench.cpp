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

/// @return the most loaded back end's shards over the mean.
double imbalance(const Owners &owners, const Backends &backends)
{
    std::map<BackendName, std::size_t> counts;
    for (const BackendName &owner : owners)
        ++counts[owner];
    std::size_t most = 0;
    for (const auto &[backend, count] : counts)
        most = std::max(most, count);
    const double mean = static_cast<double>(owners.size()) / static_cast<double>(backends.size());
    return static_cast<double>(most) / mean;
}

/// @return shards whose owner changed, over those whose owner left or that a newcomer is due.
double churn(const Owners &before, const Owners &after, double due)
{
    std::size_t moved = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
        moved += before[i] != after[i] ? 1 : 0;
    return static_cast<double>(moved) / due;
}

/// One way to place shards.
using Plan = Owners (*)(const Owners &, const Backends &);

Owners bounded(const Owners &owners, const Backends &backends)
{
    return PlacementPlanner::plan(owners, backends);
}

Owners rendezvous(const Owners &owners, const Backends &backends)
{
    return PlacementPlanner::planByRendezvous(owners.size(), backends);
}

/// Back ends leave and return at random, one at a time.
void measure(const char *name, Plan plan, std::size_t count)
{
    Random random(5);
    Backends present = makeBackends(count);
    Backends absent;
    Owners owners = plan(Owners(kShards), present);
    double imbalanceSum = 0;
    double imbalanceMost = 0;
    double churnSum = 0;
    for (int event = 0; event < kEvents; ++event) {
        const bool leaves = absent.empty() || (present.size() > count / 2 && random.unit() < 0.5);
        Backends &from = leaves ? present : absent;
        Backends &to = leaves ? absent : present;
        const auto chosen = from.begin() + static_cast<std::ptrdiff_t>(random.below(from.size()));
        const BackendName changed = chosen->name_;
        to.push_back(*chosen);
        from.erase(chosen);
        const Owners next = plan(owners, present);
        const double due
            = leaves ? static_cast<double>(std::count(owners.begin(), owners.end(), changed))
                     : static_cast<double>(kShards) / static_cast<double>(present.size());
        churnSum += churn(owners, next, std::max(1.0, due));
        owners = next;
        const double value = imbalance(owners, present);
        imbalanceSum += value;
        imbalanceMost = std::max(imbalanceMost, value);
    }
    std::printf("%-12s %8zu %16.3f %16.3f %16.3f\n", name, count, imbalanceSum / kEvents,
                imbalanceMost, churnSum / kEvents);
}

} // namespace

int main()
{
    std::printf("%zu shards, %d joins and leaves\n", kShards, kEvents);
    std::printf("%-12s %8s %16s %16s %16s\n", "way", "servers", "mean imbalance", "worst imbalance",
                "moves over due");
    for (const std::size_t count : { 6U, 8U, 24U }) {
        measure("bounded", &bounded, count);
        measure("rendezvous", &rendezvous, count);
    }
    return 0;
}
