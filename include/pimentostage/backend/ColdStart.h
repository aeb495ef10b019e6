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
    void begin(TimePoint until, double rate);

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
