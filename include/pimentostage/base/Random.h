#pragma once

#include <cstdint>
#include <random>

namespace pimentostage {

/// Pseudo-random numbers for jitter and sampling; the explicit seed makes a run repeatable.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    { }

    /// @param bound exclusive upper bound, at least 1.
    /// @return a uniformly distributed integer from 0 to @p bound - 1.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /// @return a uniformly distributed number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0, 1)(engine_); }

    /// @return the engine, for std::shuffle and the standard distributions.
    std::mt19937_64 &engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

} // namespace pimentostage
