#pragma once

#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"
#include "src/base/HttpLoop.h"
#include "tools/LoadChecks.h"
#include "tools/LoadProfile.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace pimentostage {

/// Figures of the requests of one kind, or of one team.
struct LoadTally
{
    std::uint64_t sent_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refusedNotRun_ = 0;
    std::uint64_t unknown_ = 0;
    std::map<std::string, std::uint64_t> reasons_; ///< of refusals and failures
    std::vector<double> latencies_; ///< of answered requests, in milliseconds

    void add(const LoadTally &other);
    /// @param quantile from 0 to 1.
    /// @return the latency in milliseconds; 0 if nothing was answered.
    [[nodiscard]] double quantile(double quantile) const;
};

/// What a load run gave.
struct LoadResult
{
    std::map<std::string, LoadTally> byKind_;
    std::map<std::string, LoadTally> byTeam_;
    std::vector<RunRecord> runs_;
    std::uint64_t crossed_ = 0; ///< answers that belong to another request

    [[nodiscard]] LoadTally total() const;
};

/// How to send a load.
struct LoadOptions
{
    std::vector<std::string> entries_; ///< "ip:port" of the entry hosts
    Duration length_ = std::chrono::seconds(5);
    Duration timeout_ = std::chrono::seconds(3);
    double rateFactor_ = 1;
    std::uint64_t seed_ = 1;
    bool keepRuns_ = true;
};

/// Sends requests at random times at the profile's rates, whether answers come or not.
class LoadRunner
{
public:
    LoadRunner(const LoadOptions &options, const LoadProfile &profile);

    /// Runs the load and waits for its last answer.
    LoadResult run();

private:
    struct Sent;

    void schedule(std::size_t team, TimePoint at);
    void send(std::size_t team);
    void onResult(const Sent &sent, const HttpResult &result);
    void readRun(const Sent &sent, const std::string &body);
    [[nodiscard]] const LoadRequest &drawRequest();

    const LoadOptions options_;
    const LoadProfile profile_;
    double totalWeight_ = 0;
    TimePoint end_;
    Random random_;
    std::uint64_t lastId_ = 0;
    std::uint64_t pending_ = 0;
    LoadResult result_;
    HttpLoop loop_;
};

} // namespace pimentostage
