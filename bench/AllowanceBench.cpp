// Wrongful refusals under a contract that all hosts share: allowance leases against two baselines.
//
// All policies get the same arrivals. A refusal is wrongful if a single token bucket for the whole
// fleet, without any network delay, would have admitted the request.

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
constexpr RateLimit kContractLimit { 200, 100 };
constexpr double kOfferedFraction = 0.7; ///< offered load as a fraction of the contract's rate
constexpr Duration kTestDuration = 120s;
constexpr Duration kRoundTrip = 1ms;
constexpr Duration kHostFailureTime = 60s;
constexpr Duration kFailoverTime = 1100ms;
constexpr std::size_t kNoHost = kHosts;

/// Arrival of one request at a host.
struct Arrival
{
    Duration at_;
    std::size_t host_;
};

/// Chooses the host at which a request arrives at the given time.
using ChooseHost = std::function<std::size_t(Duration, Random &)>;

std::size_t chooseEvenly(Duration, Random &random)
{
    return random.below(kHosts);
}

std::size_t chooseSkewed(Duration, Random &random)
{
    const double kHotHostFraction = 0.8;
    return random.unit() < kHotHostFraction ? 0 : random.below(kHosts);
}

std::size_t chooseMovingHotHost(Duration at, Random &random)
{
    const double kHotHostFraction = 0.8;
    const auto hotHost = static_cast<std::size_t>(toSeconds(at) / 2) % kHosts;
    return random.unit() < kHotHostFraction ? hotHost : random.below(kHosts);
}

std::vector<Arrival> makeArrivals(const ChooseHost &chooseHost, std::uint64_t seed,
                                  std::size_t failedHost)
{
    Random random(seed);
    std::vector<Arrival> arrivals;
    Duration at {};
    while (true) {
        at += fromSeconds(-std::log(1 - random.unit()) / (kContractLimit.rate_ * kOfferedFraction));
        if (at >= kTestDuration)
            return arrivals;
        std::size_t host = chooseHost(at, random);
        // Callers of a failed host use another host.
        if (host == failedHost && at >= kHostFailureTime)
            host = (host + 1) % kHosts;
        arrivals.push_back({ at, host });
    }
}

/// A token bucket that answers without delay.
class Bucket
{
public:
    Bucket(double rate, double burst)
        : rate_(rate)
        , burst_(burst)
        , level_(burst)
    { }

    bool tryTake(Duration at)
    {
        level_ = std::min(burst_, level_ + rate_ * toSeconds(at - updatedAt_));
        updatedAt_ = at;
        if (level_ < 1)
            return false;
        level_ -= 1;
        return true;
    }

private:
    double rate_;
    double burst_;
    double level_;
    Duration updatedAt_ {};
};

/// Result of one sharing policy for all arrivals.
struct SharingResult
{
    std::vector<bool> admitted_;
    double messagesPerSecond_ = 0;
    double meanWaitMs_ = 0;
    double maxExcess_ = 0;
};

std::vector<bool> admitByReferenceBucket(const std::vector<Arrival> &arrivals)
{
    Bucket bucket(kContractLimit.rate_, kContractLimit.burst_);
    std::vector<bool> admitted;
    admitted.reserve(arrivals.size());
    for (const Arrival &arrival : arrivals)
        admitted.push_back(bucket.tryTake(arrival.at_));
    return admitted;
}

SharingResult admitByFixedShares(const std::vector<Arrival> &arrivals)
{
    std::vector<Bucket> buckets(
        kHosts, Bucket(kContractLimit.rate_ / kHosts, kContractLimit.burst_ / kHosts));
    SharingResult result;
    for (const Arrival &arrival : arrivals)
        result.admitted_.push_back(buckets[arrival.host_].tryTake(arrival.at_));
    return result;
}

// Each request costs a round trip to one host; during the failover of that host nothing is
// admitted.
SharingResult admitByCentralCounter(const std::vector<Arrival> &arrivals, std::size_t failedHost)
{
    Bucket bucket(kContractLimit.rate_, kContractLimit.burst_);
    SharingResult result;
    for (const Arrival &arrival : arrivals) {
        const bool isFailingOver = failedHost != kNoHost && arrival.at_ >= kHostFailureTime
                                   && arrival.at_ < kHostFailureTime + kFailoverTime;
        result.admitted_.push_back(!isFailingOver && bucket.tryTake(arrival.at_));
    }
    result.messagesPerSecond_ = 2 * static_cast<double>(arrivals.size()) / toSeconds(kTestDuration);
    const double kMillisecondsPerSecond = 1000;
    result.meanWaitMs_ = toSeconds(kRoundTrip) * kMillisecondsPerSecond;
    return result;
}

SharingResult admitByLeasedShares(const std::vector<Arrival> &arrivals, std::size_t failedHost)
{
    AllowanceFleet fleet(kHosts, kContractLimit, 1);
    fleet.network_.delay_ = kRoundTrip / 2;
    bool isFailureDone = failedHost == kNoHost;
    for (const Arrival &arrival : arrivals) {
        if (!isFailureDone && arrival.at_ >= kHostFailureTime) {
            isFailureDone = true;
            fleet.run(kHostFailureTime - fleet.now());
            fleet.setDead(failedHost, true);
            fleet.changeHolder((failedHost + 1) % kHosts, kFailoverTime);
        }
        fleet.run(arrival.at_ - fleet.now());
        fleet.offer(arrival.host_);
    }
    fleet.run(1s);
    SharingResult result;
    double totalWait = 0;
    for (const AllowanceFleet::OfferedRequest &offered : fleet.offered()) {
        result.admitted_.push_back(offered.result_ == SpendResult::Spent);
        if (offered.result_ == SpendResult::Spent)
            totalWait += toSeconds(offered.decidedAt_ - offered.at_);
    }
    const double kMillisecondsPerSecond = 1000;
    result.meanWaitMs_
        = totalWait * kMillisecondsPerSecond / static_cast<double>(fleet.offered().size());
    result.messagesPerSecond_ = static_cast<double>(fleet.messages()) / toSeconds(kTestDuration);
    result.maxExcess_ = fleet.maxExcess();
    return result;
}

void print(const std::string &scenario, const char *policy, const SharingResult &result,
           const std::vector<bool> &reference)
{
    std::size_t wrongful = 0;
    for (std::size_t i = 0; i < reference.size(); ++i)
        wrongful += reference[i] && !result.admitted_[i] ? 1 : 0;
    const double kPerTenThousand = 10'000;
    std::printf("%-14s %-16s %8zu %9zu %12.2f %12.1f %11.3f %10.2f\n", scenario.c_str(), policy,
                reference.size(), wrongful,
                kPerTenThousand * static_cast<double>(wrongful)
                    / static_cast<double>(reference.size()),
                result.messagesPerSecond_, result.meanWaitMs_, result.maxExcess_);
}

void compare(const std::string &scenario, const ChooseHost &chooseHost, std::size_t failedHost)
{
    const std::vector<Arrival> arrivals = makeArrivals(chooseHost, 7, failedHost);
    const std::vector<bool> reference = admitByReferenceBucket(arrivals);
    print(scenario, "fixed-1/N", admitByFixedShares(arrivals), reference);
    print(scenario, "central-counter", admitByCentralCounter(arrivals, failedHost), reference);
    print(scenario, "lent-shares", admitByLeasedShares(arrivals, failedHost), reference);
}

} // namespace

int main()
{
    std::printf("%zu hosts, contract %g/s with burst %g, offered %g of it, %g s\n", kHosts,
                kContractLimit.rate_, kContractLimit.burst_, kOfferedFraction,
                toSeconds(kTestDuration));
    std::printf("%-14s %-16s %8s %9s %12s %12s %11s %10s\n", "traffic", "way", "requests",
                "wrongful", "per 10,000", "messages/s", "mean wait", "excess");
    compare("even", chooseEvenly, kNoHost);
    compare("skewed", chooseSkewed, kNoHost);
    compare("moving", chooseMovingHotHost, kNoHost);
    compare("holder-lost", chooseEvenly, 0);
    compare("holder-skewed", chooseSkewed, 0);
    return 0;
}
