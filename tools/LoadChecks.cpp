#include "tools/LoadChecks.h"

#include <algorithm>
#include <fstream>
#include <set>

namespace pimentostage {

std::vector<ZoneOutage> readZoneOutages(const std::string &file)
{
    std::vector<ZoneOutage> outages;
    std::ifstream in(file);
    std::int64_t at = 0;
    std::string event;
    std::string zone;
    while (in >> at >> event >> zone) {
        if (event == "zone-out")
            outages.push_back(ZoneOutage { zone, at });
        if (event != "zone-in")
            continue;
        for (ZoneOutage &outage : outages) {
            if (outage.zone_ == zone && outage.to_ == INT64_MAX)
                outage.to_ = at;
        }
    }
    return outages;
}

std::uint64_t countRunsInOutage(const std::vector<RunRecord> &runs,
                                const std::vector<ZoneOutage> &outages, std::int64_t grace)
{
    return static_cast<std::uint64_t>(
        std::count_if(runs.begin(), runs.end(), [&](const RunRecord &run) {
            return std::any_of(outages.begin(), outages.end(), [&](const ZoneOutage &outage) {
                return outage.zone_ == run.zone_ && run.beganAt_ > outage.from_ + grace
                       && run.beganAt_ < outage.to_;
            });
        }));
}

std::uint64_t maxConcurrentOwners(std::vector<RunRecord> runs)
{
    struct Event
    {
        std::int64_t at_;
        int change_;
        std::string backend_;
    };
    std::map<std::string, std::vector<Event>> eventsByKey;
    for (const RunRecord &run : runs) {
        if (run.epoch_ == 0)
            continue;
        std::vector<Event> &events = eventsByKey[run.service_ + '/' + run.key_];
        events.push_back({ run.beganAt_, +1, run.backend_ });
        events.push_back({ run.endedAt_, -1, run.backend_ });
    }
    std::size_t maxOwners = 0;
    for (auto &[key, events] : eventsByKey) {
        std::sort(events.begin(), events.end(), [](const Event &a, const Event &b) {
            return a.at_ != b.at_ ? a.at_ < b.at_ : a.change_ < b.change_;
        });
        std::map<std::string, int> running;
        for (const Event &event : events) {
            running[event.backend_] += event.change_;
            if (running[event.backend_] == 0)
                running.erase(event.backend_);
            maxOwners = std::max(maxOwners, running.size());
        }
    }
    return maxOwners;
}

} // namespace pimentostage
