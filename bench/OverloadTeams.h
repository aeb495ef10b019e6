#pragma once

#include <map>
#include <string>

namespace pimentostage {

/// One team of a load that is too much for a service.
struct OverloadTeam
{
    const char *name_;
    double share_; ///< weight when capacity is short
    double demand_; ///< part of the service's capacity at a load of 1
};

/// Teams that together ask for the whole capacity at a load of 1; one of them for far more than its
/// share.
inline constexpr OverloadTeam kOverloadTeams[] = {
    { "greedy", 1, 0.5 }, { "large", 2, 0.25 }, { "small-1", 1, 0.125 }, { "small-2", 1, 0.125 }
};

/// @return requests per second that each team gets of @p capacity by weighted max-min sharing.
/// @param load factor by which all demands are multiplied.
std::map<std::string, double> fairRates(double capacity, double load);

} // namespace pimentostage
