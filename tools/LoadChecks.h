#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimentostage {

/// Execution of one request, as reported in the answer of a BackendStandin.
struct RunRecord
{
    std::string service_;
    std::string key_;
    std::string backend_;
    std::string zone_;
    std::int64_t beganAt_ = 0; ///< in ns on this machine's boot clock
    std::int64_t endedAt_ = 0; ///< in ns on this machine's boot clock
    std::uint64_t epoch_ = 0; ///< 0 if the request carried no fence
};

/// A period during which a data centre was out of service, in ns on this machine's boot clock.
struct ZoneOutage
{
    std::string zone_;
    std::int64_t from_ = 0;
    std::int64_t to_ = INT64_MAX;
};

/// @param file path of a file with lines "<ns> zone-out|zone-in NAME" in chronological order.
/// @return the periods during which data centres were out of service.
std::vector<ZoneOutage> readZoneOutages(const std::string &file);

/// @return the number of runs that began in a data centre while it was out of service, more than
///         @p grace ns after it was taken out.
std::uint64_t countRunsInOutage(const std::vector<RunRecord> &runs,
                                const std::vector<ZoneOutage> &outages, std::int64_t grace);

/// @return the maximum number of back ends that ran requests for one key of a keyed service at the
///         same time.
std::uint64_t maxConcurrentOwners(std::vector<RunRecord> runs);

} // namespace pimentostage
