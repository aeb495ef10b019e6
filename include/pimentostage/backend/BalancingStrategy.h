#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <cstddef>
#include <vector>

namespace pimentostage {

struct Candidate;

/// Chooses one of several back ends for a request.
class BalancingStrategy
{
public:
    virtual ~BalancingStrategy() = default;

    /// @param candidates not empty; each may be sent the request.
    /// @return the index of the chosen candidate.
    virtual std::size_t pick(const std::vector<const Candidate *> &candidates, Random &random,
                             TimePoint now) const = 0;
};

/// @return the strategy for @p balancing, with static lifetime.
const BalancingStrategy &strategyFor(Balancing balancing);

} // namespace pimentostage
