#include "pimentostage/backend/PlacementPlanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace pimentostage;

namespace {

std::vector<PlacementBackend> makeBackends(std::size_t count)
{
    std::vector<PlacementBackend> backends;
    for (std::size_t i = 0; i < count; ++i)
        backends.push_back({ BackendName("worker-" + std::to_string(i)), 1, true });
    return backends;
}

std::map<BackendName, std::size_t> countByOwner(const std::vector<BackendName> &owners)
{
    std::map<BackendName, std::size_t> counts;
    for (const BackendName &owner : owners)
        ++counts[owner];
    return counts;
}

std::size_t moved(const std::vector<BackendName> &before, const std::vector<BackendName> &after)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < before.size(); ++i)
        count += before[i] != after[i] ? 1 : 0;
    return count;
}

TEST(PlacementPlanner, MovesOnlyTheShardsOfARemovedBackEnd)
{
    const auto before = PlacementPlanner::plan(std::vector<BackendName>(64), makeBackends(8));
    const auto after = PlacementPlanner::plan(before, makeBackends(7));
    EXPECT_EQ(moved(before, after), 8U);
    for (const auto &[owner, count] : countByOwner(after))
        EXPECT_LE(count, 10U) << owner;
}

TEST(PlacementPlanner, MovesOnlyItsQuotaToAnAddedBackEnd)
{
    const auto before = PlacementPlanner::plan(std::vector<BackendName>(64), makeBackends(7));
    const auto after = PlacementPlanner::plan(before, makeBackends(8));
    EXPECT_EQ(moved(before, after), 8U);
}

TEST(PlacementPlanner, AssignsNoFurtherShardsToABackEndThatCannotGain)
{
    auto backends = makeBackends(3);
    const auto before = PlacementPlanner::plan(std::vector<BackendName>(30), backends);
    backends.erase(backends.begin());
    backends[0].canGainShards_ = false;
    const auto after = PlacementPlanner::plan(before, backends);
    EXPECT_EQ(countByOwner(after)[BackendName("worker-1")], 10U);
    EXPECT_EQ(countByOwner(after)[BackendName("worker-2")], 20U);
}

RC_GTEST_PROP(PlacementPlannerProperty, AssignsAllShardsByCapacityWithTheFewestMoves, ())
{
    const auto shards = *rc::gen::inRange<std::size_t>(1, 200);
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    auto backends = makeBackends(count);
    double total = 0;
    for (PlacementBackend &backend : backends) {
        backend.capacity_ = *rc::gen::inRange(1, 5);
        total += backend.capacity_;
    }
    std::vector<BackendName> owners(shards);
    for (BackendName &owner : owners) {
        const auto pick = *rc::gen::inRange<std::size_t>(0, count + 2);
        owner = BackendName(pick < count ? backends[pick].name_.str() : "");
    }
    const auto wanted = PlacementPlanner::plan(owners, backends);
    auto before = countByOwner(owners);
    auto counts = countByOwner(wanted);
    std::size_t surplus = before[BackendName("")];
    for (const PlacementBackend &backend : backends) {
        const double exact = static_cast<double>(shards) * backend.capacity_ / total;
        // Remainders of the rounding stay where they are: at most one shard above the quota.
        const auto quota = static_cast<std::size_t>(exact);
        RC_ASSERT(counts[backend.name_] >= quota);
        RC_ASSERT(counts[backend.name_] <= quota + 1);
        const std::size_t had = before[backend.name_];
        surplus += had > counts[backend.name_] ? had - counts[backend.name_] : 0;
    }
    RC_ASSERT(moved(owners, wanted) == surplus);
}

} // namespace
