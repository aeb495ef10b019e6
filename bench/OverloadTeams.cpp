#include "bench/OverloadTeams.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace pimentostage {

std::map<std::string, double> fairRates(double capacity, double load)
{
    std::map<std::string, double> rates;
    std::vector<OverloadTeam> unsatisfied(std::begin(kOverloadTeams), std::end(kOverloadTeams));
    double remaining = capacity;
    while (!unsatisfied.empty()) {
        double shareSum = 0;
        for (const OverloadTeam &team : unsatisfied)
            shareSum += team.share_;
        const auto demandOf
            = [&](const OverloadTeam &team) { return team.demand_ * load * capacity; };
        const auto satisfied
            = std::find_if(unsatisfied.begin(), unsatisfied.end(), [&](const OverloadTeam &team) {
                  return demandOf(team) <= remaining * team.share_ / shareSum;
              });
        if (satisfied == unsatisfied.end()) {
            for (const OverloadTeam &team : unsatisfied)
                rates[team.name_] = remaining * team.share_ / shareSum;
            break;
        }
        rates[satisfied->name_] = demandOf(*satisfied);
        remaining -= demandOf(*satisfied);
        unsatisfied.erase(satisfied);
    }
    return rates;
}

} // namespace pimentostage
