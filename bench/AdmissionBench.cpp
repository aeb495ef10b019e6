// Compares the rules that decide which waiting request is served first under overload, with the
// same requests: a RequestQueue in front of a fixed number of slots, without a network. Refused
// callers retry once, after the Retry-After that they were told.

#include "bench/AdmissionRun.h"

#include <algorithm>
#include <cstdio>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

constexpr std::uint64_t kSeeds = 3;
// A caller that ignores Retry-After.
constexpr std::uint32_t kImpatientTries = 20;
constexpr Duration kImpatientDelay = 10ms;

constexpr AdmissionWaitLimit kToday { "objective / 4", [](const AdmissionRoute &route) {
                                         return route.objective_ / 4;
                                     } };
constexpr AdmissionWaitLimit kHalfObjective { "objective / 2", [](const AdmissionRoute &route) {
                                                 return route.objective_ / 2;
                                             } };
constexpr AdmissionWaitLimit kObjective { "objective", [](const AdmissionRoute &route) {
                                             return route.objective_;
                                         } };
constexpr AdmissionWaitLimit kThirdOfDeadline { "deadline / 3", [](const AdmissionRoute &route) {
                                                   return route.deadline_ / 3;
                                               } };
constexpr AdmissionWaitLimit kHalfOfDeadline { "deadline / 2", [](const AdmissionRoute &route) {
                                                  return route.deadline_ / 2;
                                              } };

constexpr AdmissionWaitLimit kLimits[]
    = { kToday, kHalfObjective, kObjective, kThirdOfDeadline, kHalfOfDeadline };

/// Results of one policy in one scenario, over all seeds.
struct Outcome
{
    AdmissionResults all_; ///< of the callers that honour Retry-After
    AdmissionResults probes_;
    double bound_ = 0;
};

Outcome measure(const AdmissionPolicy &policy, const AdmissionScenario &scenario,
                const AdmissionCaller &probe = {})
{
    Outcome outcome;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const std::vector<AdmissionArrival> arrivals = admissionArrivals(scenario, seed);
        outcome.bound_ += admissionBound(arrivals) / kSeeds;
        AdmissionRun(policy, arrivals, probe, outcome.all_, outcome.probes_).run();
    }
    return outcome;
}

double valueFraction(const AdmissionResult &result, const AdmissionRoute &route)
{
    if (result.offered_ == 0)
        return 1;
    return (result.inTime_ * route.value_ + result.late_ * route.lateValue_)
           / (result.offered_ * route.value_);
}

double valueFraction(const AdmissionResults &results)
{
    double earned = 0;
    double total = 0;
    for (std::size_t i = 0; i < kAdmissionRouteCount; ++i) {
        const double offered = results[i].offered_ * kAdmissionRoutes[i].value_;
        earned += offered * valueFraction(results[i], kAdmissionRoutes[i]);
        total += offered;
    }
    return earned / total;
}

/// The relations between routes that docs/HARD-LOAD.md limits.
struct Relations
{
    double answeredLag_
        = 0; ///< by how much a less urgent route is answered more often; at most 0.05
    double valueLag_ = 0; ///< by how much it earns more of its value; at most 0.15
    double lowest_ = 1; ///< fraction of the mean that the least answered route gets; at least 0.25
};

double answeredFraction(const AdmissionResults &results)
{
    double answered = 0;
    double offered = 0;
    for (const AdmissionResult &result : results) {
        answered += result.inTime_ + result.late_;
        offered += result.offered_;
    }
    return answered / offered;
}

Relations relationsOf(const AdmissionResults &results)
{
    Relations relations;
    const double mean = answeredFraction(results);
    for (std::size_t i = 0; i < kAdmissionRouteCount; ++i) {
        const double fraction = results[i].answeredFraction();
        relations.lowest_ = std::min(relations.lowest_, fraction / mean);
        for (std::size_t j = 0; j < kAdmissionRouteCount; ++j) {
            if (kAdmissionRoutes[j].priority_ <= kAdmissionRoutes[i].priority_)
                continue;
            relations.answeredLag_
                = std::max(relations.answeredLag_, results[j].answeredFraction() - fraction);
            relations.valueLag_ = std::max(relations.valueLag_,
                                           valueFraction(results[j], kAdmissionRoutes[j])
                                               - valueFraction(results[i], kAdmissionRoutes[i]));
        }
    }
    return relations;
}

/// @return the mean time in the queue before a refusal, in milliseconds.
double meanHeldMs(const AdmissionResults &results)
{
    double held = 0;
    double refusals = 0;
    for (const AdmissionResult &result : results) {
        held += result.heldSeconds_;
        refusals += result.refusals_;
    }
    return refusals > 0 ? 1000 * held / refusals : 0;
}

void printHeader()
{
    std::printf("| load | rule | wait at most | value |");
    for (const AdmissionRoute &route : kAdmissionRoutes)
        std::printf(" %s |", route.name_);
    std::printf(" answered lag | value lag | lowest / mean | held ms |\n|---|---|---|---|");
    for (std::size_t i = 0; i < kAdmissionRouteCount + 4; ++i)
        std::printf("---|");
    std::printf("\n");
}

void printRow(const AdmissionScenario &scenario, const AdmissionPolicy &policy,
              const AdmissionResults &results)
{
    std::printf("| %s | %s | %s | %.3f |", scenario.name_, policy.name_, policy.limit_.name_,
                valueFraction(results));
    for (const AdmissionResult &result : results) {
        const double offered = std::max(1.0, result.offered_);
        std::printf(" %.2f %.2f %.2f |", result.inTime_ / offered, result.late_ / offered,
                    1 - result.answeredFraction());
    }
    const Relations relations = relationsOf(results);
    std::printf(" %.2f | %.2f | %.2f | %.0f |\n", relations.answeredLag_, relations.valueLag_,
                relations.lowest_, meanHeldMs(results));
}

AdmissionPolicy policyOf(AdmissionRule rule, const AdmissionWaitLimit &limit)
{
    return { toString(rule).data(), rule, limit };
}

void compareRules(const AdmissionScenario &scenario)
{
    double bound = 0;
    for (const auto &row : EnumTable<AdmissionRule>::kRows) {
        const AdmissionPolicy policy = policyOf(row.value_, kToday);
        const Outcome outcome = measure(policy, scenario);
        printRow(scenario, policy, outcome.all_);
        bound = outcome.bound_;
    }
    const AdmissionPolicy perfect { "perfect knowledge", AdmissionRule::FirstCome, kHalfOfDeadline,
                                    true };
    printRow(scenario, perfect, measure(perfect, scenario).all_);
    std::printf("| %s | bound | | %.3f | | | | | | | |\n", scenario.name_, bound);
}

void compareWaits(AdmissionRule rule)
{
    printHeader();
    for (const AdmissionScenario &scenario : kAdmissionScenarios) {
        for (const AdmissionWaitLimit &limit : kLimits) {
            const AdmissionPolicy policy = policyOf(rule, limit);
            printRow(scenario, policy, measure(policy, scenario).all_);
        }
    }
}

/// Compares callers that repeat at once with those that honour Retry-After.
void compareRepeats(AdmissionRule rule)
{
    const AdmissionCaller patient;
    const AdmissionCaller impatient { kImpatientTries, kImpatientDelay };
    std::printf("| load | one caller in %d | answered | value |\n|---|---|---|---|\n",
                static_cast<int>(AdmissionRun::kProbeEvery));
    for (const AdmissionScenario &scenario : kAdmissionScenarios) {
        for (const AdmissionCaller &caller : { patient, impatient }) {
            const Outcome outcome = measure(policyOf(rule, kToday), scenario, caller);
            std::printf("| %s | %s | %.3f | %.3f |\n", scenario.name_,
                        caller.ownDelay_ ? "repeats at once" : "honours Retry-After",
                        answeredFraction(outcome.probes_), valueFraction(outcome.probes_));
        }
    }
}

} // namespace

int main()
{
    std::printf("Rules. Fractions of the requests of each route: in time, late, refused.\n\n");
    printHeader();
    for (const AdmissionScenario &scenario : kAdmissionScenarios)
        compareRules(scenario);
    std::printf("\nWaits of the default rule without teams.\n\n");
    compareWaits(kRuleWithoutTeams);
    std::printf("\nRepeats under the default rule without teams.\n\n");
    compareRepeats(kRuleWithoutTeams);
    return 0;
}
