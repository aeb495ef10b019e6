// Wrongful refusals of a contract shared by all hosts: lent shares against two baselines.
//
// All ways see the same arrivals. A refusal is wrongful if one bucket for the whole fleet, without
// any delay, would have admitted the request.

#include "pimentostage/base/Random.h"
#include "tests/fakes/AllowanceFleet.h"

#include <cmath>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

constexpr std::size_t kHosts = 8;
constexpr RateLimit kTerms { 200, 100 };
constexpr double kOfferedPart = 0.7; ///< of the contract's rate
constexpr Duration kLength = 120s;
constexpr Duration kRoundTrip = 1ms;
constexpr Duration kLossAt = 60s;
constexpr Duration kFailover = 1100ms;
constexpr std::size_t kNone = kHosts;

/// One request that comes to some host.
struct Arrival
{
    Duration at_;
    std::size_t host_;
};

/// Chooses the host of a request that comes at a time.
using ChooseHost = std::function<std::size_t(Duration, Random &)>;

std::size_t even(Duration, Random &random)
{
    return random.below(kHosts);
}

std::size_t skewed(Duration, Random &random)
{
    const double kHeavyPart = 0.8;
    return random.unit() < kHeavyPart ? 0 : random.below(kHosts);
}

std::size_t moving(Duration at, Random &random)
{
    const double kHeavyPart = 0.8;
    const auto heavy = static_cast<std::size_t>(toSeconds(at) / 2) % kHosts;
    return random.unit() < kHeavyPart ? heavy : random.below(kHosts);
}

std::vector<Arrival> makeArrivals(const ChooseHost &choose, std::uint64_t seed, std::size_t dead)
{
    Random random(seed);
    std::vector<Arrival> arrivals;
    Duration at {};
    while (true) {
        at += fromSeconds(-std::log(1 - random.unit()) / (kTerms.rate_ * kOfferedPart));
        if (at >= kLength)
            return arrivals;
        std::size_t host = choose(at, random);
        // Callers of a dead host go to another one.
        if (host == dead && at >= kLossAt)
            host = (host + 1) % kHosts;
        arrivals.push_back({ at, host });
    }
}

/// A token bucket without any delay.
class Bucket
{
public:
    Bucket(double rate, double burst)
        : rate_(rate)
        , burst_(burst)
        , level_(burst)
    { }

    bool take(Duration at)
    {
        level_ = std::min(burst_, level_ + rate_ * toSeconds(at - last_));
        last_ = at;
        if (level_ < 1)
            return false;
        level_ -= 1;
        return true;
    }

private:
    double rate_;
    double burst_;
    double level_;
    Duration last_ {};
};

/// What one way of sharing did with the arrivals.
struct Outcome
{
    std::vector<bool> admitted_;
    double messagesPerSecond_ = 0;
    double meanWaitMs_ = 0;
    double worstExcess_ = 0;
};

std::vector<bool> ideal(const std::vector<Arrival> &arrivals)
{
    Bucket bucket(kTerms.rate_, kTerms.burst_);
    std::vector<bool> admitted;
    admitted.reserve(arrivals.size());
    for (const Arrival &arrival : arrivals)
        admitted.push_back(bucket.take(arrival.at_));
    return admitted;
}

Outcome fixedParts(const std::vector<Arrival> &arrivals)
{
    std::vector<Bucket> buckets(kHosts, Bucket(kTerms.rate_ / kHosts, kTerms.burst_ / kHosts));
    Outcome outcome;
    for (const Arrival &arrival : arrivals)
        outcome.admitted_.push_back(buckets[arrival.host_].take(arrival.at_));
    return outcome;
}

// Every request asks one host; while that is lost nothing is admitted.
Outcome centralCounter(const std::vector<Arrival> &arrivals, std::size_t dead)
{
    Bucket bucket(kTerms.rate_, kTerms.burst_);
    Outcome outcome;
    for (const Arrival &arrival : arrivals) {
        const bool isGap
            = dead != kNone && arrival.at_ >= kLossAt && arrival.at_ < kLossAt + kFailover;
        outcome.admitted_.push_back(!isGap && bucket.take(arrival.at_));
    }
    outcome.messagesPerSecond_ = 2 * static_cast<double>(arrivals.size()) / toSeconds(kLength);
    const double kMillisecondsPerSecond = 1000;
    outcome.meanWaitMs_ = toSeconds(kRoundTrip) * kMillisecondsPerSecond;
    return outcome;
}

Outcome lentShares(const std::vector<Arrival> &arrivals, std::size_t dead)
{
    AllowanceFleet fleet(kHosts, kTerms, 1);
    fleet.network_.delay_ = kRoundTrip / 2;
    bool isLost = dead == kNone;
    for (const Arrival &arrival : arrivals) {
        if (!isLost && arrival.at_ >= kLossAt) {
            isLost = true;
            fleet.run(kLossAt - fleet.now());
            fleet.setDead(dead, true);
            fleet.changeHolder((dead + 1) % kHosts, kFailover);
        }
        fleet.run(arrival.at_ - fleet.now());
        fleet.offer(arrival.host_);
    }
    fleet.run(1s);
    Outcome outcome;
    double waited = 0;
    for (const AllowanceFleet::OfferedRequest &offered : fleet.offered()) {
        outcome.admitted_.push_back(offered.result_ == SpendResult::Spent);
        if (offered.result_ == SpendResult::Spent)
            waited += toSeconds(offered.decidedAt_ - offered.at_);
    }
    const double kMillisecondsPerSecond = 1000;
    outcome.meanWaitMs_
        = waited * kMillisecondsPerSecond / static_cast<double>(fleet.offered().size());
    outcome.messagesPerSecond_ = static_cast<double>(fleet.messages()) / toSeconds(kLength);
    outcome.worstExcess_ = fleet.maxExcess();
    return outcome;
}

void print(const std::string &scenario, const char *way, const Outcome &outcome,
           const std::vector<bool> &reference)
{
    std::size_t wrongful = 0;
    for (std::size_t i = 0; i < reference.size(); ++i)
        wrongful += reference[i] && !outcome.admitted_[i] ? 1 : 0;
    const double kPerTenThousand = 10'000;
    std::printf("%-14s %-16s %8zu %9zu %12.2f %12.1f %11.3f %10.2f\n", scenario.c_str(), way,
                reference.size(), wrongful,
                kPerTenThousand * static_cast<double>(wrongful)
                    / static_cast<double>(reference.size()),
                outcome.messagesPerSecond_, outcome.meanWaitMs_, outcome.worstExcess_);
}

void compare(const std::string &scenario, const ChooseHost &choose, std::size_t dead)
{
    const std::vector<Arrival> arrivals = makeArrivals(choose, 7, dead);
    const std::vector<bool> reference = ideal(arrivals);
    print(scenario, "fixed-1/N", fixedParts(arrivals), reference);
    print(scenario, "central-counter", centralCounter(arrivals, dead), reference);
    print(scenario, "lent-shares", lentShares(arrivals, dead), reference);
}

} // namespace

int main()
{
    std::printf("%zu hosts, contract %g/s with burst %g, offered %g of it, %g s\n", kHosts,
                kTerms.rate_, kTerms.burst_, kOfferedPart, toSeconds(kLength));
    std::printf("%-14s %-16s %8s %9s %12s %12s %11s %10s\n", "traffic", "way", "requests",
                "wrongful", "per 10,000", "messages/s", "mean wait", "excess");
    compare("even", even, kNone);
    compare("skewed", skewed, kNone);
    compare("moving", moving, kNone);
    compare("holder-lost", even, 0);
    compare("holder-skewed", skewed, 0);
    return 0;
}
