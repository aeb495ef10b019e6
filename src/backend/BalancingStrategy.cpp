#include "pimentostage/backend/BalancingStrategy.h"

#include "pimentostage/backend/RoutingTable.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>

namespace pimentostage {

namespace {

using Candidates = std::vector<const Candidate *>;

/// @return the index of the candidate with the lowest @p costOf; ties are broken at random.
template <typename CostOf>
std::size_t pickLowest(const Candidates &candidates, Random &random, CostOf costOf)
{
    // A random start index keeps ties from always selecting the first back end.
    const std::size_t start = random.below(candidates.size());
    std::size_t best = start;
    auto bestCost = costOf(*candidates[start]);
    for (std::size_t step = 1; step < candidates.size(); ++step) {
        const std::size_t index = (start + step) % candidates.size();
        const auto cost = costOf(*candidates[index]);
        if (cost >= bestCost)
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

class PowerOfTwo : public BalancingStrategy
{
public:
    std::size_t pick(const Candidates &candidates, Random &random, TimePoint now) const override
    {
        if (candidates.size() == 1)
            return 0;
        const std::size_t first = random.below(candidates.size());
        std::size_t second = random.below(candidates.size() - 1);
        if (second >= first)
            ++second;
        const double firstCost = candidates[first]->stats_->cost(now);
        const double secondCost = candidates[second]->stats_->cost(now);
        return firstCost <= secondCost ? first : second;
    }
};

class LowestCost : public BalancingStrategy
{
public:
    std::size_t pick(const Candidates &candidates, Random &random, TimePoint now) const override
    {
        return pickLowest(candidates, random, [now](const Candidate &candidate) {
            return candidate.stats_->cost(now);
        });
    }
};

class LeastLoaded : public BalancingStrategy
{
public:
    std::size_t pick(const Candidates &candidates, Random &random, TimePoint) const override
    {
        return pickLowest(candidates, random,
                          [](const Candidate &candidate) { return candidate.stats_->inFlight(); });
    }
};

class RoundRobin : public BalancingStrategy
{
public:
    std::size_t pick(const Candidates &candidates, Random &, TimePoint) const override
    {
        return next_.fetch_add(1, std::memory_order_relaxed) % candidates.size();
    }

private:
    mutable std::atomic<std::size_t> next_ { 0 };
};

/// Chooses the lowest expected time of one more request, estimated from reported pace and load.
class ExpectedTime : public BalancingStrategy
{
public:
    std::size_t pick(const Candidates &candidates, Random &random, TimePoint now) const override
    {
        if (candidates.front()->isRoomShared(now))
            return pickAmongFew(candidates, random, now);
        return pickLowest(candidates, random, [now](const Candidate &candidate) {
            return expectedTime(candidate, now);
        });
    }

private:
    // Candidates drawn at random in each group. Hosts that share a view of the load would all
    // choose the same back end if each compared all of them.
    static constexpr std::size_t kDrawn = 3;

    /// Chooses among a few local and a few remote candidates, drawn at random.
    static std::size_t pickAmongFew(const Candidates &candidates, Random &random, TimePoint now)
    {
        std::array<std::vector<std::size_t>, 2> groups; // remote and local
        for (std::size_t i = 0; i < candidates.size(); ++i)
            groups[candidates[i]->isLocal_ ? 1 : 0].push_back(i);
        std::size_t best = 0;
        double bestTime = std::numeric_limits<double>::infinity();
        for (std::vector<std::size_t> &group : groups) {
            for (std::size_t drawn = 0; drawn < std::min(kDrawn, group.size()); ++drawn) {
                std::swap(group[drawn], group[drawn + random.below(group.size() - drawn)]);
                const double time = expectedTime(*candidates[group[drawn]], now);
                if (time >= bestTime)
                    continue;
                best = group[drawn];
                bestTime = time;
            }
        }
        return best;
    }

    // Load raises the expected time slightly even while slots are free, so that equal back ends
    // share the load.
    static constexpr double kLoadFactor = 0.25;
    // Each request beyond the slots waits for a fraction of a running request. The factor exceeds 1
    // because load reports arrive late.
    static constexpr double kQueueFactor = 1.3;
    // A failed attempt costs time and a retry from the budget.
    static constexpr double kFailurePenalty = 4;
    // Traffic between data centres has a cost: a remote back end must be faster by this factor.
    static constexpr double kRemoteFactor = 2.5;
    static constexpr double kColdFactor = 2; // cold back ends work about half as fast
    // Lower than the time of the fastest idle back ends observed, so that each host tries a new
    // back end once, within its cold start rate.
    static constexpr double kUntriedTime = 0.5;

    static double expectedTime(const Candidate &candidate, TimePoint now)
    {
        const BackendStats &stats = *candidate.stats_;
        if (stats.isUntried() && stats.inFlight() == 0 && candidate.isLocal_)
            return kUntriedTime;
        const double slots = std::max(1U, candidate.backend_.slots_);
        const double load = candidate.load(now);
        const double waiting = std::max(0.0, load + 1 - slots);
        double time = stats.pace(now) * (1 + (kLoadFactor * load + kQueueFactor * waiting) / slots);
        time *= 1 + kFailurePenalty * stats.failureShare(now);
        if (stats.coldStart().isCold(now))
            time *= kColdFactor;
        return candidate.isLocal_ ? time : time * kRemoteFactor;
    }
};

} // namespace

const BalancingStrategy &strategyFor(Balancing balancing)
{
    static const LowestCost lowestCost;
    static const PowerOfTwo powerOfTwo;
    static const LeastLoaded leastLoaded;
    static const RoundRobin roundRobin;
    static const ExpectedTime expectedTime;
    // Indexed by Balancing.
    static const std::array<const BalancingStrategy *, kEnumCount<Balancing>> strategies {
        &lowestCost, &powerOfTwo, &leastLoaded, &roundRobin, &expectedTime
    };
    return *strategies.at(static_cast<std::size_t>(balancing));
}

} // namespace pimentostage
