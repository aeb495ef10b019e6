#pragma once

#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace pimentostage {

/// Period of reports of the load per key.
inline constexpr Duration kKeyLoadPeriod = std::chrono::milliseconds(250);

/// Request rate of one key.
struct KeyRate
{
    std::string key_;
    double rate_ = 0; ///< requests per second
};

/// Load of one keyed service, as measured by one entry host.
struct KeyLoad
{
    ServiceName service_;
    double total_ = 0; ///< requests per second for all keys
    std::vector<KeyRate> keys_; ///< the most frequent keys
};

/// Decides which keys of one service are placed separately from their shards.
///
/// A key is hot if its load is a large fraction of a back end's mean load. It stays hot until its
/// load has been much lower for some time; the hysteresis keeps keys from moving back and forth.
class HotKeyTracker
{
public:
    /// Records the load that @p host measured, replacing its previous report.
    void report(const HostName &host, const KeyLoad &load, TimePoint now);

    /// @param backends number of back ends that share the service's load.
    /// @return the hot keys, most frequent first.
    std::vector<std::string> hotKeys(std::size_t backends, TimePoint now);

    /// Minimum load of a hot key, as a fraction of a back end's mean load.
    static constexpr double kHotFraction = 0.25;
    /// Minimum load of a hot key, in requests per second.
    static constexpr double kMinHotRate = 50;
    /// A hot key becomes cold once its load has stayed below this fraction of the minimum load of a
    /// hot key for kCoolingPeriod.
    static constexpr double kCoolFraction = 0.4;
    static constexpr Duration kCoolingPeriod = std::chrono::seconds(10);
    static constexpr std::size_t kMaxHotKeys = 250;

private:
    struct Report
    {
        KeyLoad load_;
        TimePoint at_;
    };

    std::map<HostName, Report> reports_;
    std::map<std::string, TimePoint> lastHotAt_; ///< when each hot key was last hot
};

} // namespace pimentostage
