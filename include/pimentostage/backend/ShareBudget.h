#pragma once

#include <atomic>

namespace pimentostage {

/// Bounds extra requests (retries, hedges) to a share of the regular ones.
///
/// Regular requests earn a fraction of a token each, extra ones cost a whole token.
class ShareBudget
{
public:
    /// @param share extra requests allowed for each regular one.
    /// @param reserve extra requests allowed at once.
    ShareBudget(double share, double reserve)
        : share_(share)
        , reserve_(reserve)
        , tokens_(reserve)
    { }

    /// Counts one regular request.
    void earn();
    /// @return whether an extra request may be sent; if so it is counted.
    bool take();

private:
    const double share_;
    const double reserve_;
    std::atomic<double> tokens_;
};

} // namespace pimentostage
