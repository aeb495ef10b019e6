#pragma once

#include "pimentostage/base/Time.h"

#include <mutex>

namespace pimentostage {

/// A back end's cold start of known duration, during which it can handle a known request rate.
///
/// Each host limits itself to its own part of the rate, so that the total over all hosts stays
/// within the back end's rate without coordination between them.
class ColdStart
{
public:
    /// Begins a cold start, or changes the end and the rate of the current one.
    /// @param rate requests per second that this host may send.
    /// @param phase tokens available at the start, from 0 to 1. Spread evenly over the hosts, so
    ///        that they do not all send their first request at the same time.
    void begin(TimePoint until, double rate, double phase, TimePoint now);

    /// Counts the back end as cold until endPresumption(), because nothing tells yet whether it is.
    /// @param rate,phase as in begin().
    void presume(double rate, double phase, TimePoint now);
    /// Ends presume(); a cold start that has begun meanwhile continues.
    void endPresumption();

    /// @return whether it is cold, or presumed to be.
    [[nodiscard]] bool isCold(TimePoint now) const;
    /// @return whether a request may be sent at @p now: the back end is warm or the rate allows it.
    [[nodiscard]] bool hasCapacity(TimePoint now) const;
    /// Counts a request against the rate if it may be sent.
    /// @return whether it may be sent.
    bool tryAcquire(TimePoint now);

private:
    [[nodiscard]] bool isLimited(TimePoint now) const { return isPresumed_ || now < until_; }
    /// Sets the rate, and the tokens too if no limit applies yet.
    void limit(double rate, double phase, TimePoint now);
    [[nodiscard]] double tokens(TimePoint now) const;

    mutable std::mutex mutex_;
    TimePoint until_ {};
    bool isPresumed_ = false;
    double rate_ = 0;
    double tokens_ = 0;
    TimePoint updatedAt_ {};
};

} // namespace pimentostage
