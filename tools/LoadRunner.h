#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"
#include "src/base/HttpClient.h"
#include "tools/LoadChecks.h"
#include "tools/LoadProfile.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pimentostage {

/// Statistics of the requests of one kind or one team.
struct LoadTally
{
    std::uint64_t sent_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refusedNotRun_ = 0; ///< known not to have run
    std::uint64_t unknown_ = 0; ///< may have run; no successful answer
    std::map<std::string, std::uint64_t> reasons_; ///< number of refusals and failures by reason
    std::vector<double> latencies_; ///< of answered requests, in milliseconds

    void add(const LoadTally &other);
    /// @param quantile between 0 and 1.
    /// @return the latency in milliseconds; 0 if no request was answered.
    [[nodiscard]] double quantile(double quantile) const;
};

/// Result of a load run.
struct LoadResult
{
    std::map<std::string, LoadTally> byKind_;
    std::map<std::string, LoadTally> byTeam_;
    std::vector<RunRecord> runs_;
    std::uint64_t crossed_ = 0; ///< answers whose body lacks the id of their request

    [[nodiscard]] LoadTally total() const;
};

/// Options of a load run.
struct LoadOptions
{
    std::vector<std::string> entries_; ///< "ip:port" of the entry hosts
    Duration duration_ = std::chrono::seconds(5);
    Duration timeout_ = std::chrono::seconds(3);
    double rateFactor_ = 1; ///< multiplies the rates of the profile
    std::uint64_t seed_ = 1;
    bool keepRuns_ = true; ///< whether to fill LoadResult::runs_
};

/// Sends an open-loop load: requests arrive as a Poisson process at the profile's rates, whether or
/// not earlier requests have been answered.
class LoadRunner
{
public:
    LoadRunner(const LoadOptions &options, const LoadProfile &profile);

    /// Runs the load and waits until every request has completed.
    LoadResult run();

private:
    struct SentRequest;

    void schedule(std::size_t team, TimePoint at);
    void send(std::size_t team);
    void onResult(const SentRequest &sent, const HttpResult &result);
    void recordRun(const SentRequest &sent, const std::string &body);
    [[nodiscard]] const LoadRequest &drawRequest();

    const LoadOptions options_;
    const LoadProfile profile_;
    double totalWeight_ = 0;
    TimePoint end_;
    Random random_;
    std::uint64_t lastId_ = 0;
    std::uint64_t pending_ = 0;
    LoadResult result_;
    HttpClient http_;
};

} // namespace pimentostage
