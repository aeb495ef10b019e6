#pragma once

#include "pimentostage/base/Time.h"

#include <mutex>

namespace pimentostage {

/// A back end's cold start of known length, during which it bears a known rate of requests.
///
/// Every host that may send to it keeps to its own part of the rate, so that the sum over all hosts
/// stays within what the back end bears without coordination between them.
class ColdStart
{
public:
    /// Begins a cold start, or changes the end of the present one.
    /// @param rate requests a second that this host may send.
    /// @param phase part of the first request that this host may send at once, from 0 to 1; spread
    ///        evenly over the hosts, so that they do not all send their first request together.
    void begin(TimePoint until, double rate, double phase, TimePoint now);

    [[nodiscard]] bool isCold(TimePoint now) const;
    /// @return whether a request may be sent at @p now: warm, or within the rate.
    [[nodiscard]] bool hasRoom(TimePoint now) const;
    /// Counts a request. @return as hasRoom() before it.
    bool take(TimePoint now);

private:
    [[nodiscard]] double tokens(TimePoint now) const;

    mutable std::mutex mutex_;
    TimePoint until_ {};
    double rate_ = 0;
    double tokens_ = 0;
    TimePoint countedAt_ {};
};

} // namespace pimentostage
