#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Objects.h"

#include <cstddef>
#include <vector>

namespace pimentostage {

struct Candidate;

/// A way to choose one of several back ends.
class BalancingStrategy
{
public:
    virtual ~BalancingStrategy() = default;

    /// @param candidates not empty; all may take a request.
    /// @return the index of the chosen one.
    virtual std::size_t pick(const std::vector<const Candidate *> &candidates, Random &random,
                             TimePoint now) const = 0;
};

/// @return the strategy for @p balancing; lives as long as the program.
const BalancingStrategy &strategyFor(Balancing balancing);

} // namespace pimentostage
