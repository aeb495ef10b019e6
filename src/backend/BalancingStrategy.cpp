#include "pimentostage/backend/BalancingStrategy.h"

#include "pimentostage/backend/RoutingTable.h"

#include <algorithm>
#include <array>
#include <atomic>

namespace pimentostage {

namespace {

using Candidates = std::vector<const Candidate *>;

/// @return the index of the candidate of least @p costOf; among equals a random one.
template <typename CostOf>
std::size_t cheapest(const Candidates &candidates, Random &random, CostOf costOf)
{
    // Starts at a random place so that ties do not all fall on the first back end.
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
        return cheapest(candidates, random,
                        [now](const Candidate &candidate) { return candidate.stats_->cost(now); });
    }
};

class LeastLoaded : public BalancingStrategy
{
public:
    std::size_t pick(const Candidates &candidates, Random &random, TimePoint) const override
    {
        return cheapest(candidates, random,
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

/// Chooses by the expected time of one more request, from reported pace and load.
class ExpectedTime : public BalancingStrategy
{
public:
    std::size_t pick(const Candidates &candidates, Random &random, TimePoint now) const override
    {
        return cheapest(candidates, random,
                        [now](const Candidate &candidate) { return expectedTime(candidate, now); });
    }

private:
    // Load raises the time a little before all slots are taken, so that equal back ends share it.
    static constexpr double kCrowding = 0.25;
    // Each request beyond the slots waits for its part of a running one, and reports are late.
    static constexpr double kWaiting = 1.3;
    // A failure costs a retry, in retries' budget and in time.
    static constexpr double kFailureCost = 4;
    // Bytes between data centres cost: a far back end has to be this much faster.
    static constexpr double kFarFactor = 2.5;
    static constexpr double kColdFactor = 2; // cold back ends work about half as fast
    // Below the time of the fastest idle ones seen: what is new is tried once by each host, within
    // what it bears while it is cold.
    static constexpr double kUntriedTime = 0.5;

    static double expectedTime(const Candidate &candidate, TimePoint now)
    {
        const BackendStats &stats = *candidate.stats_;
        if (stats.isUntried() && stats.inFlight() == 0 && candidate.isNear_)
            return kUntriedTime;
        const double slots = std::max(1U, candidate.backend_.slots_);
        const double load = stats.load(now);
        const double waiting = std::max(0.0, load + 1 - slots);
        double time = stats.pace(now) * (1 + (kCrowding * load + kWaiting * waiting) / slots);
        time *= 1 + kFailureCost * stats.failureShare(now);
        if (stats.coldStart().isCold(now))
            time *= kColdFactor;
        return candidate.isNear_ ? time : time * kFarFactor;
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
    // One row for each Balancing, in its order.
    static const std::array<const BalancingStrategy *, kEnumCount<Balancing>> strategies {
        &lowestCost, &powerOfTwo, &leastLoaded, &roundRobin, &expectedTime
    };
    return *strategies.at(static_cast<std::size_t>(balancing));
}

} // namespace pimentostage
