#pragma once

#include <cstdint>
#include <random>

namespace pimentostage {

/// Random numbers for jitter and sampling; seeded so that a run can be repeated.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    { }

    /// @param bound exclusive upper bound, at least 1.
    /// @return an integer from 0 to @p bound - 1.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /// @return a number from 0 inclusive to 1 exclusive.
    double unit() { return std::uniform_real_distribution<double>(0, 1)(engine_); }

    /// @return the engine, for std::shuffle and the distributions of the standard library.
    std::mt19937_64 &engine() { return engine_; }

private:
    std::mt19937_64 engine_;
};

} // namespace pimentostage
