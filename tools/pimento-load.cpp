#include "tools/LoadRunner.h"
#include "tools/ProgramMain.h"

#include <cstdio>
#include <fstream>

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, entries, "",
          "caller addresses of the entry hosts, ip:port, comma-separated");
ABSL_FLAG(std::string, profile, "", "JSON file with the load profile");
ABSL_FLAG(std::string, keys, "", "folder with one file per team that contains its key");
ABSL_FLAG(double, seconds, 5, "duration of the load");
ABSL_FLAG(double, rate, 1, "factor by which to multiply the rates of the profile");
ABSL_FLAG(uint64_t, seed, 1, "seed of the random request generator");
ABSL_FLAG(std::string, events, "", "file with lines '<boot ns> zone-out|zone-in NAME'");
ABSL_FLAG(double, zone_grace_ms, 3000,
          "time after which a data centre that was taken out must receive no requests");
ABSL_FLAG(std::string, backends, "",
          "addresses of the backend-standin processes to fetch reports from");
ABSL_FLAG(std::string, json, "", "file to write the results to");
ABSL_FLAG(bool, check, false, "exit with 1 if an invariant was violated");

namespace {

using namespace pimentostage;

/// Outcome of the invariant checks that a load run can make.
struct CheckResult
{
    std::uint64_t crossed_ = 0;
    std::uint64_t runsInOutage_ = 0;
    std::uint64_t maxOwners_ = 0;
    std::uint64_t duplicates_ = 0;
    std::uint64_t teamKeysSeen_ = 0;
    std::uint64_t shedCold_ = 0;

    [[nodiscard]] bool passed() const
    {
        return crossed_ == 0 && runsInOutage_ == 0 && maxOwners_ <= 1 && duplicates_ == 0
               && teamKeysSeen_ == 0;
    }
};

void printHeading(const char *what)
{
    std::printf("%-16s %8s %8s %8s %8s %9s %9s  %s\n", what, "sent", "answered", "not-run",
                "unknown", "p50 ms", "p99 ms", "reasons");
}

void printRow(const std::string &name, const LoadTally &tally)
{
    std::string reasons;
    for (const auto &[reason, count] : tally.reasons_)
        reasons += reason + '=' + std::to_string(count) + ' ';
    std::printf("%-16s %8lu %8lu %8lu %8lu %9.2f %9.2f  %s\n", name.c_str(), tally.sent_,
                tally.answered_, tally.refusedNotRun_, tally.unknown_, tally.quantile(0.5),
                tally.quantile(0.99), reasons.c_str());
}

void print(const LoadResult &result, const CheckResult &check)
{
    printHeading("kind");
    for (const auto &[kind, tally] : result.byKind_)
        printRow(kind, tally);
    printHeading("team");
    for (const auto &[team, tally] : result.byTeam_)
        printRow(team, tally);
    printRow("all", result.total());
    std::printf("answers of another request: %lu\n", check.crossed_);
    std::printf("requests to a data centre after it was out: %lu\n", check.runsInOutage_);
    std::printf("owners per key at once, at most: %lu\n", check.maxOwners_);
    std::printf("non-idempotent requests that ran twice: %lu\n", check.duplicates_);
    std::printf("team keys seen by back ends: %lu\n", check.teamKeysSeen_);
    std::printf("requests shed by cold back ends: %lu\n", check.shedCold_);
}

void addReports(CheckResult &check)
{
    HttpClientOptions options;
    options.threadName_ = "reports";
    HttpClient client(options);
    const std::vector<std::string> addresses
        = absl::StrSplit(absl::GetFlag(FLAGS_backends), ',', absl::SkipEmpty());
    for (const std::string &address : addresses) {
        HttpRequest request;
        request.url_ = "http://" + address + "/.pimento/report";
        const HttpResult result = client.fetch(request);
        if (!result.answer_)
            continue;
        const auto report = nlohmann::json::parse(result.answer_->body_, nullptr, false);
        if (!report.is_object())
            continue;
        check.duplicates_ += report.value("duplicates", 0U);
        check.teamKeysSeen_ += report.value("team_keys_seen", 0U);
        check.shedCold_ += report.value("shed_cold", 0U);
    }
}

nlohmann::json toJson(const LoadTally &tally)
{
    return { { "sent", tally.sent_ },
             { "answered", tally.answered_ },
             { "not_run", tally.refusedNotRun_ },
             { "unknown", tally.unknown_ },
             { "reasons", tally.reasons_ },
             { "p50_ms", tally.quantile(0.5) },
             { "p99_ms", tally.quantile(0.99) },
             { "p999_ms", tally.quantile(0.999) },
             { "max_ms", tally.quantile(1) } };
}

void writeJson(const std::string &file, const LoadResult &result, const CheckResult &check)
{
    nlohmann::json json {
        { "total", toJson(result.total()) },       { "most_owners", check.maxOwners_ },
        { "duplicates", check.duplicates_ },       { "crossed", check.crossed_ },
        { "runs_in_outage", check.runsInOutage_ }, { "shed_cold", check.shedCold_ }
    };
    for (const auto &[kind, tally] : result.byKind_)
        json["kinds"][kind] = toJson(tally);
    for (const auto &[team, tally] : result.byTeam_)
        json["teams"][team] = toJson(tally);
    std::ofstream(file) << json.dump(2) << '\n';
}

int run(const LoadProfile &profile)
{
    LoadOptions options;
    options.entries_ = absl::StrSplit(absl::GetFlag(FLAGS_entries), ',', absl::SkipEmpty());
    options.duration_ = fromSeconds(absl::GetFlag(FLAGS_seconds));
    options.rateFactor_ = absl::GetFlag(FLAGS_rate);
    options.seed_ = absl::GetFlag(FLAGS_seed);
    LoadRunner runner(options, profile);
    const LoadResult result = runner.run();
    CheckResult check;
    check.crossed_ = result.crossed_;
    const double kNanosecondsPerMillisecond = 1e6;
    check.runsInOutage_ = countRunsInOutage(
        result.runs_, readZoneOutages(absl::GetFlag(FLAGS_events)),
        static_cast<std::int64_t>(absl::GetFlag(FLAGS_zone_grace_ms) * kNanosecondsPerMillisecond));
    check.maxOwners_ = maxConcurrentOwners(result.runs_);
    addReports(check);
    print(result, check);
    if (!absl::GetFlag(FLAGS_json).empty())
        writeJson(absl::GetFlag(FLAGS_json), result, check);
    return absl::GetFlag(FLAGS_check) && !check.passed() ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    configureProgram(
        "pimento-load",
        "Sends a mixed load to entry hosts, checks the answers and prints statistics.\n"
        "Usage: pimento-load --entries=ip:port,... --profile=FILE --keys=FOLDER");
    parseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_entries).empty() || absl::GetFlag(FLAGS_profile).empty()) {
        std::cerr << "pimento-load: --entries and --profile are required; see --help\n";
        return 2;
    }
    return valueOr(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(
                profile, readLoadProfile(absl::GetFlag(FLAGS_profile), absl::GetFlag(FLAGS_keys)));
            return run(profile);
        },
        [](const Error &error) {
            std::cerr << error.describe() << '\n';
            return 1;
        });
}
