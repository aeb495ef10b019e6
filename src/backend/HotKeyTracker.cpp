#include "pimentostage/backend/HotKeyTracker.h"

#include <algorithm>

namespace pimentostage {

namespace {

constexpr Duration kReportLifetime = std::chrono::seconds(2);

} // namespace

void HotKeyTracker::report(const HostName &host, const KeyLoad &load, TimePoint now)
{
    reports_[host] = Report { load, now };
}

std::vector<std::string> HotKeyTracker::hotKeys(std::size_t backends, TimePoint now)
{
    std::erase_if(reports_,
                  [&](const auto &entry) { return now >= entry.second.at_ + kReportLifetime; });
    double total = 0;
    std::map<std::string, double> rates;
    for (const auto &[host, report] : reports_) {
        total += report.load_.total_;
        for (const KeyRate &key : report.load_.keys_)
            rates[key.key_] += key.rate_;
    }
    const double mean = total / static_cast<double>(std::max<std::size_t>(1, backends));
    const double threshold = std::max(kMinHotRate, kHotFraction * mean);
    for (const auto &[key, rate] : rates) {
        const bool isHot = rate >= threshold;
        const bool staysHot = lastHotAt_.contains(key) && rate >= kCoolFraction * threshold;
        if (isHot || staysHot)
            lastHotAt_[key] = now;
    }
    std::erase_if(lastHotAt_,
                  [&](const auto &entry) { return now >= entry.second + kCoolingPeriod; });
    std::vector<std::string> keys;
    for (const auto &[key, lastHot] : lastHotAt_)
        keys.push_back(key);
    std::stable_sort(keys.begin(), keys.end(), [&](const std::string &a, const std::string &b) {
        return rates[a] > rates[b];
    });
    keys.resize(std::min(keys.size(), kMaxHotKeys));
    return keys;
}

} // namespace pimentostage
