#pragma once

#include <atomic>

namespace pimentostage {

/// Limits extra attempts (retries, hedges) to a share of the regular requests.
///
/// Each regular request adds a fraction of a token, each extra attempt costs one token.
/// Thread-safe.
class AttemptBudget
{
public:
    /// @param share extra attempts allowed per regular request.
    /// @param reserve maximum number of tokens, and their initial number.
    AttemptBudget(double share, double reserve)
        : share_(share)
        , reserve_(reserve)
        , tokens_(reserve)
    { }

    /// Adds the tokens of one regular request.
    void recordRequest();
    /// Takes the token of one extra attempt if there is one.
    /// @return whether the attempt may be sent.
    bool tryAcquire();

private:
    const double share_;
    const double reserve_;
    std::atomic<double> tokens_;
};

} // namespace pimentostage
