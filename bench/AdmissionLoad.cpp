#include "bench/AdmissionLoad.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

// Standard deviation of the logarithm of the work: one request in 40 takes 4.9 times the median.
constexpr double kSpread = 0.8;
constexpr int kMeanSamples = 20'000;

Duration drawWork(const AdmissionRoute &route, Random &random)
{
    const double mu = std::log(toSeconds(route.meanWork_)) - kSpread * kSpread / 2;
    std::lognormal_distribution<double> work(mu, kSpread);
    return std::clamp(fromSeconds(work(random.engine())), kMinWork, kMaxWork);
}

/// @return the mean of the work as drawn, which the limits make smaller than meanWork_.
double meanWorkSeconds(const AdmissionRoute &route)
{
    Random random(1);
    double sum = 0;
    for (int i = 0; i < kMeanSamples; ++i)
        sum += toSeconds(drawWork(route, random));
    return sum / kMeanSamples;
}

/// @return the work requested of @p route, relative to the capacity.
double loadOf(std::size_t route, const AdmissionScenario &scenario, bool isOverload)
{
    if (scenario.isAlone_)
        return route == *scenario.surging_ ? (isOverload ? scenario.load_ : kCalmLoad) : 0;
    const double share = kAdmissionRoutes[route].share_;
    if (!isOverload)
        return kCalmLoad * share;
    if (!scenario.surging_)
        return scenario.load_ * share;
    const double surge = route == *scenario.surging_ ? scenario.load_ - kCalmLoad : 0;
    return kCalmLoad * share + surge;
}

void addArrivals(std::size_t route, const AdmissionScenario &scenario, Random &random,
                 std::vector<AdmissionArrival> &arrivals)
{
    const double meanWork = meanWorkSeconds(kAdmissionRoutes[route]);
    const Duration overloadEnd = kCalmTime + scenario.overload_;
    const Duration end = overloadEnd + kCalmTime;
    Duration at {};
    if (loadOf(route, scenario, true) <= 0)
        return;
    while (true) {
        const bool isOverload = at >= kCalmTime && at < overloadEnd;
        const double rate = loadOf(route, scenario, isOverload) * kAdmissionSlots / meanWork;
        at += fromSeconds(-std::log(1 - random.unit()) / rate);
        if (at >= end)
            return;
        arrivals.push_back({ at, route, drawWork(kAdmissionRoutes[route], random) });
    }
}

struct Worth
{
    double work_; ///< in seconds
    double value_;
    double lateValue_;
};

/// Adds up the values by value per work until @p capacity seconds of work are used, and removes the
/// requests that were counted.
double fill(std::vector<Worth> &requests, double capacity, double Worth::*value)
{
    std::sort(requests.begin(), requests.end(), [value](const Worth &a, const Worth &b) {
        return a.*value / a.work_ < b.*value / b.work_;
    });
    double sum = 0;
    while (!requests.empty() && capacity > 0) {
        const Worth &best = requests.back();
        sum += best.*value * std::min(1.0, capacity / best.work_);
        capacity -= best.work_;
        requests.pop_back();
    }
    return sum;
}

} // namespace

std::vector<AdmissionArrival> admissionArrivals(const AdmissionScenario &scenario,
                                                std::uint64_t seed)
{
    Random random(seed);
    std::vector<AdmissionArrival> arrivals;
    for (std::size_t route = 0; route < kAdmissionRouteCount; ++route)
        addArrivals(route, scenario, random, arrivals);
    std::sort(arrivals.begin(), arrivals.end(),
              [](const AdmissionArrival &a, const AdmissionArrival &b) { return a.at_ < b.at_; });
    return arrivals;
}

double admissionBound(const std::vector<AdmissionArrival> &arrivals)
{
    Duration objective {};
    Duration deadline {};
    for (const AdmissionRoute &route : kAdmissionRoutes) {
        objective = std::max(objective, route.objective_);
        deadline = std::max(deadline, route.deadline_);
    }
    std::vector<Worth> requests;
    double total = 0;
    for (const AdmissionArrival &arrival : arrivals) {
        const AdmissionRoute &route = kAdmissionRoutes[arrival.route_];
        requests.push_back({ toSeconds(arrival.work_), route.value_, route.lateValue_ });
        total += route.value_;
    }
    const double inTime = kAdmissionSlots * toSeconds(arrivals.back().at_ + objective);
    const double late = kAdmissionSlots * toSeconds(deadline - objective);
    double sum = fill(requests, inTime, &Worth::value_);
    sum += fill(requests, late, &Worth::lateValue_);
    return sum / total;
}

} // namespace pimentostage
