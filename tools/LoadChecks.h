#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimentostage {

/// What an answer of a stand-in back end says about its run.
struct RunRecord
{
    std::string service_;
    std::string key_;
    std::string backend_;
    std::string zone_;
    std::int64_t beganAt_ = 0; ///< ns on this machine's boot clock
    std::int64_t endedAt_ = 0;
    std::uint64_t epoch_ = 0;
};

/// A period in which a data centre was out, in ns on this machine's boot clock.
struct ZoneOutage
{
    std::string zone_;
    std::int64_t from_ = 0;
    std::int64_t to_ = INT64_MAX;
};

/// @param file lines "<ns> zone-out|zone-in NAME", in order of time.
/// @return the periods in which data centres were out.
std::vector<ZoneOutage> readZoneOutages(const std::string &file);

/// @return runs that began in a data centre more than @p grace ns after it was out.
std::uint64_t countRunsInOutage(const std::vector<RunRecord> &runs,
                                const std::vector<ZoneOutage> &outages, std::int64_t grace);

/// @return the most back ends that ran requests for one key of a keyed service at once.
std::uint64_t mostOwnersAtOnce(std::vector<RunRecord> runs);

} // namespace pimentostage
