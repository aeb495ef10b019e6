#pragma once

#include <map>
#include <string>

namespace pimentostage {

/// One team of a load that exceeds the capacity of a service.
struct OverloadTeam
{
    const char *name_;
    double share_; ///< weight of the team under overload
    double demand_; ///< demand at load 1, as a fraction of the capacity
};

/// Teams whose demands add up to the whole capacity at load 1; "greedy" demands far more than its
/// share.
inline constexpr OverloadTeam kOverloadTeams[] = {
    { "greedy", 1, 0.5 }, { "large", 2, 0.25 }, { "small-1", 1, 0.125 }, { "small-2", 1, 0.125 }
};

/// @return the requests per second of each team under weighted max-min fairness.
/// @param capacity requests per second that the service can answer.
/// @param load factor by which all demands are multiplied.
std::map<std::string, double> fairRates(double capacity, double load);

} // namespace pimentostage
