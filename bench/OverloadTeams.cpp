#include "bench/OverloadTeams.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace pimentostage {

std::map<std::string, double> fairRates(double capacity, double load)
{
    std::map<std::string, double> rates;
    std::vector<OverloadTeam> open(std::begin(kOverloadTeams), std::end(kOverloadTeams));
    double left = capacity;
    while (!open.empty()) {
        double shares = 0;
        for (const OverloadTeam &team : open)
            shares += team.share_;
        const auto demandOf
            = [&](const OverloadTeam &team) { return team.demand_ * load * capacity; };
        const auto met = std::find_if(open.begin(), open.end(), [&](const OverloadTeam &team) {
            return demandOf(team) <= left * team.share_ / shares;
        });
        if (met == open.end()) {
            for (const OverloadTeam &team : open)
                rates[team.name_] = left * team.share_ / shares;
            break;
        }
        rates[met->name_] = demandOf(*met);
        left -= demandOf(*met);
        open.erase(met);
    }
    return rates;
}

} // namespace pimentostage
