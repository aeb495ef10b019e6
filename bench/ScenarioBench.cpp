// End-to-end scenarios with a complete fleet in one process, connected by loopback sockets.

#include "bench/BenchFleet.h"
#include "bench/OverloadTeams.h"
#include "tools/ProgramMain.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <thread>

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, scenario, "all",
          "overhead, stragglers, zone, cold, noisy, faults, hot, overload, connections or all");
ABSL_FLAG(double, seconds, 8, "length of each load");
ABSL_FLAG(std::string, json, "", "file to write the figures to");

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

nlohmann::json rows = nlohmann::json::array();

Contract contract(const std::string &team, double rate)
{
    Contract contract;
    contract.team_ = TeamName(team);
    contract.rate_ = rate;
    contract.burst_ = rate;
    contract.connections_ = 1000;
    return contract;
}

LoadRequest reads(const std::string &service, std::uint64_t keys = 100)
{
    return LoadRequest { "read", "GET", '/' + service + "/items/{key}", 1, keys };
}

LoadRequest writes(const std::string &service, double weight, std::uint64_t keys = 100)
{
    return LoadRequest { "write", "POST", '/' + service + "/items/{key}", weight, keys };
}

void printHeading()
{
    std::printf("%-12s %-34s %8s %8s %8s %8s %8s %8s %8s  %s\n", "scenario", "case", "sent",
                "answered", "not-run", "unknown", "p50 ms", "p99 ms", "p99.9", "notes");
}

void print(const char *scenario, const std::string &name, const LoadTally &tally,
           const std::string &notes = "")
{
    std::string reasons;
    for (const auto &[reason, count] : tally.reasons_)
        reasons += reason + '=' + std::to_string(count) + ' ';
    std::printf("%-12s %-34s %8lu %8lu %8lu %8lu %8.2f %8.2f %8.2f  %s%s\n", scenario, name.c_str(),
                tally.sent_, tally.answered_, tally.refusedNotRun_, tally.unknown_,
                tally.quantile(0.5), tally.quantile(0.99), tally.quantile(0.999), notes.c_str(),
                reasons.c_str());
    std::fflush(stdout);
    rows.push_back({ { "scenario", scenario },
                     { "case", name },
                     { "sent", tally.sent_ },
                     { "answered", tally.answered_ },
                     { "not_run", tally.refusedNotRun_ },
                     { "unknown", tally.unknown_ },
                     { "p50_ms", tally.quantile(0.5) },
                     { "p99_ms", tally.quantile(0.99) },
                     { "p999_ms", tally.quantile(0.999) },
                     { "notes", notes } });
}

LoadResult load(const LoadProfile &profile, const std::vector<std::string> &entries,
                Duration duration, std::uint64_t seed = 1)
{
    LoadOptions options;
    options.entries_ = entries;
    options.duration_ = duration;
    options.seed_ = seed;
    LoadRunner runner(options, profile);
    return runner.run();
}

Duration loadDuration()
{
    return fromSeconds(absl::GetFlag(FLAGS_seconds));
}

// The same load sent alternately to the back ends directly and through one entry host.
void runOverhead()
{
    BenchFleetOptions options;
    options.hosts_ = 1;
    BenchService service { "plain" };
    service.serverCount_ = 4;
    service.slots_ = 64;
    service.serviceTime_ = 200us;
    options.services_ = { service };
    options.teams_ = { contract("a", 1e6) };
    BenchFleet fleet(options);
    fleet.waitUntilServed("/plain/items/k1", "a");
    for (const double rate : { 1000.0, 5000.0 }) {
        LoadTally direct;
        LoadTally proxied;
        const int kRounds = 4;
        for (int i = 0; i < kRounds; ++i) {
            LoadProfile directProfile
                = fleet.profile({ { "read", "GET", "/items/{key}", 1, 100 } }, { { "a", rate } });
            directProfile.teams_.front().key_.clear();
            direct.add(
                load(directProfile, fleet.backends("plain"), loadDuration() / kRounds, 10U + i)
                    .total());
            proxied.add(load(fleet.profile({ reads("plain") }, { { "a", rate } }), fleet.entries(),
                             loadDuration() / kRounds, 20U + i)
                            .total());
        }
        const std::string at = " at " + std::to_string(static_cast<int>(rate)) + "/s";
        print("overhead", "straight" + at, direct);
        char notes[96];
        std::snprintf(notes, sizeof notes, "added p50 %.2f p99 %.2f ",
                      proxied.quantile(0.5) - direct.quantile(0.5),
                      proxied.quantile(0.99) - direct.quantile(0.99));
        print("overhead", "through one host" + at, proxied, notes);
    }
}

// Two of eight back ends become ten times slower; for each balancing strategy, with and without
// hedging.
void runStragglers()
{
    for (const bool hedging : { false, true }) {
        BenchFleetOptions options;
        options.hedging_ = hedging;
        for (const auto &row : EnumTable<Balancing>::kRows) {
            BenchService service { std::string(row.name_) };
            service.balancing_ = row.value_;
            options.services_.push_back(service);
        }
        options.teams_ = { contract("a", 1e6) };
        BenchFleet fleet(options);
        const double kRate = 1500;
        for (const auto &row : EnumTable<Balancing>::kRows) {
            const std::string name(row.name_);
            fleet.waitUntilServed('/' + name + "/items/k1", "a");
            const LoadProfile profile = fleet.profile({ reads(name) }, { { "a", kRate } });
            const std::string label = name + (hedging ? " hedged" : "");
            load(profile, fleet.entries(), 2s, 1);
            print("stragglers", label + ", none slow",
                  load(profile, fleet.entries(), loadDuration(), 2).total());
            fleet.setFaults(name, 0, R"({"slow_factor":10})");
            fleet.setFaults(name, 1, R"({"slow_factor":10})");
            const double attemptsBefore = fleet.counterSum("pimento_backend_attempts_total");
            const LoadTally slowed = load(profile, fleet.entries(), loadDuration(), 3).total();
            const double attempts
                = fleet.counterSum("pimento_backend_attempts_total") - attemptsBefore;
            char notes[64];
            std::snprintf(notes, sizeof notes, "extra attempts %.2f%% ",
                          100 * (attempts / static_cast<double>(slowed.sent_) - 1));
            print("stragglers", label + ", 2 of 8 slow", slowed, notes);
        }
    }
}

// A data centre is taken out of service and returned during traffic; results by team.
void runZone()
{
    BenchFleetOptions options;
    options.hosts_ = 4;
    BenchService plain { "plain" };
    BenchService keyed { "keyed" };
    keyed.keyed_ = true;
    options.services_ = { plain, keyed };
    std::map<std::string, double> rates;
    for (int i = 0; i < 8; ++i) {
        const std::string team = "team-" + std::to_string(i);
        rates[team] = i < 2 ? 300 : 60;
        options.teams_.push_back(contract(team, 2 * rates[team]));
    }
    BenchFleet fleet(options);
    fleet.waitUntilServed("/plain/items/k1", "team-0");
    fleet.waitUntilServed("/keyed/items/k1", "team-0");
    std::vector<ZoneOutage> outages(1);
    outages[0].zone_ = "zone-1";
    std::thread operatorThread([&] {
        std::this_thread::sleep_for(loadDuration() / 4);
        fleet.applyZone("zone-1", ZoneState::Out, 2s);
        outages[0].from_ = BootClock::now().time_since_epoch().count();
        std::this_thread::sleep_for(loadDuration() / 2);
        outages[0].to_ = BootClock::now().time_since_epoch().count();
        fleet.applyZone("zone-1", ZoneState::In, 2s);
    });
    const LoadResult result
        = load(fleet.profile({ reads("plain"), reads("keyed"), writes("keyed", 0.3) }, rates),
               fleet.entries(), loadDuration());
    operatorThread.join();
    for (const auto &[team, tally] : result.byTeam_)
        print("zone", team, tally);
    const double kGraceNs = 1e9;
    char notes[128];
    std::snprintf(notes, sizeof notes, "runs in the zone 1 s after it was out %lu, owners %lu ",
                  countRunsInOutage(result.runs_, outages, static_cast<std::int64_t>(kGraceNs)),
                  maxConcurrentOwners(result.runs_));
    print("zone", "all", result.total(), notes);
}

// One back end, then all of them, become cold again without notice.
void runCold()
{
    BenchFleetOptions options;
    BenchService service { "plain" };
    service.coldTime_ = 2s;
    options.services_ = { service };
    options.teams_ = { contract("a", 1e6) };
    BenchFleet fleet(options);
    fleet.waitUntilServed("/plain/items/k1", "a");
    const LoadProfile profile = fleet.profile({ reads("plain") }, { { "a", 1200 } });
    load(profile, fleet.entries(), 4s);
    for (const std::size_t coldCount : { std::size_t { 1 }, service.serverCount_ }) {
        const double before = fleet.reportSum("plain", "shed_cold");
        std::thread faultThread([&] {
            std::this_thread::sleep_for(1s);
            for (std::size_t i = 0; i < coldCount; ++i)
                fleet.setFaults("plain", i, R"({"cold":true})");
        });
        const LoadTally tally = load(profile, fleet.entries(), loadDuration()).total();
        faultThread.join();
        char notes[64];
        std::snprintf(notes, sizeof notes, "over what a cold worker bears %.0f ",
                      fleet.reportSum("plain", "shed_cold") - before);
        print("cold", std::to_string(coldCount) + " of 8 cold", tally, notes);
    }
}

// One team sends five times its contract rate; measures the effect on the other teams.
void runNoisy()
{
    BenchFleetOptions options;
    options.hosts_ = 4;
    options.services_ = { BenchService { "plain" } };
    for (const char *team : { "noisy", "b", "c", "d" })
        options.teams_.push_back(contract(team, 300));
    BenchFleet fleet(options);
    fleet.waitUntilServed("/plain/items/k1", "b");
    for (const double factor : { 0.8, 5.0 }) {
        const LoadResult result = load(
            fleet.profile({ reads("plain") },
                          { { "noisy", 300 * factor }, { "b", 200 }, { "c", 200 }, { "d", 200 } }),
            fleet.entries(), loadDuration());
        const std::string label = factor < 1 ? "quiet: " : "noisy at 5x: ";
        for (const auto &[team, tally] : result.byTeam_)
            print("noisy", label + team, tally);
    }
}

// Back ends lose answers, delay them and send them with a wrong request id, under a load of reads
// and of writes that must run at most once. At the end one back end is restarted.
void runFaults()
{
    BenchFleetOptions options;
    BenchService plain { "plain" };
    BenchService keyed { "keyed" };
    keyed.keyed_ = true;
    options.services_ = { plain, keyed };
    options.teams_ = { contract("a", 1e6) };
    BenchFleet fleet(options);
    fleet.waitUntilServed("/plain/items/k1", "a");
    fleet.waitUntilServed("/keyed/items/k1", "a");
    std::thread faultThread([&] {
        const int kRounds = 8;
        for (int i = 0; i < kRounds; ++i) {
            std::this_thread::sleep_for(loadDuration() / (kRounds + 1));
            for (const char *service : { "plain", "keyed" }) {
                const auto server = static_cast<std::size_t>(i) % 8;
                fleet.setFaults(service, server,
                                R"({"cross_answers":3,"lose_answers":3,"late_answers":3})");
            }
        }
        fleet.restartServer("plain", 7);
    });
    const LoadResult result = load(
        fleet.profile({ writes("plain", 1), writes("keyed", 1), reads("plain"), reads("keyed") },
                      { { "a", 800 } }),
        fleet.entries(), loadDuration());
    faultThread.join();
    for (const auto &[kind, tally] : result.byKind_)
        print("faults", kind, tally);
    char notes[128];
    std::snprintf(notes, sizeof notes, "ran twice %.0f, crossed to callers %lu, owners %lu ",
                  fleet.reportSum("plain", "duplicates") + fleet.reportSum("keyed", "duplicates"),
                  result.crossed_, maxConcurrentOwners(result.runs_));
    print("faults", "all", result.total(), notes);
}

// One key gets a third of the load of a keyed service, then another key does.
void runHot()
{
    BenchFleetOptions options;
    BenchService keyed { "keyed" };
    keyed.keyed_ = true;
    options.services_ = { keyed };
    options.teams_ = { contract("a", 1e6) };
    BenchFleet fleet(options);
    fleet.waitUntilServed("/keyed/items/k1", "a");
    for (const char *hot : { "first", "second" }) {
        LoadRequest hotReads = reads("keyed");
        hotReads.path_ = std::string("/keyed/items/") + hot;
        const LoadResult result = load(
            fleet.profile({ reads("keyed", 200), reads("keyed", 200), hotReads }, { { "a", 900 } }),
            fleet.entries(), loadDuration());
        std::string notes = "hot keys:";
        for (const HotKey &hotKey : fleet.hotKeys("keyed"))
            notes += ' ' + hotKey.key_ + '@' + hotKey.owner_.backend_.str();
        notes += ", owners " + std::to_string(maxConcurrentOwners(result.runs_)) + ' ';
        print("hot", std::string("hot key ") + hot, result.total(), notes);
    }
}

// Callers send up to three times the capacity of the back ends; results by team.
void runOverload()
{
    BenchFleetOptions options;
    BenchService plain { "plain" };
    plain.serverCount_ = 2;
    plain.serviceTime_ = 20ms;
    BenchService keyed = plain;
    keyed.name_ = "keyed";
    keyed.keyed_ = true;
    options.services_ = { plain, keyed };
    for (const OverloadTeam &team : kOverloadTeams) {
        Contract object = contract(team.name_, 1e6);
        object.share_ = team.share_;
        options.teams_.push_back(object);
    }
    BenchFleet fleet(options);
    const double capacity
        = static_cast<double>(plain.serverCount_) * plain.slots_ / toSeconds(plain.serviceTime_);
    for (const char *service : { "plain", "keyed" }) {
        fleet.waitUntilServed(std::string("/") + service + "/items/k1", "large");
        for (const double factor : { 0.7, 1.0, 2.0, 3.0 }) {
            std::map<std::string, double> rates;
            for (const OverloadTeam &team : kOverloadTeams)
                rates[team.name_] = factor * capacity * team.demand_;
            const double before = fleet.counterSum("pimento_backend_attempts_total");
            const LoadResult result
                = load(fleet.profile({ reads(service) }, rates), fleet.entries(), loadDuration());
            const double attempts = fleet.counterSum("pimento_backend_attempts_total") - before;
            char label[64];
            std::snprintf(label, sizeof label, "%s at %.1f x capacity", service, factor);
            double minFairRatio = 1;
            for (const auto &[team, fairRate] : fairRates(capacity, factor)) {
                const double answeredRate = static_cast<double>(result.byTeam_.at(team).answered_)
                                            / toSeconds(loadDuration());
                minFairRatio = std::min(minFairRatio, answeredRate / fairRate);
                print("overload", std::string(label) + ": " + team, result.byTeam_.at(team));
            }
            const LoadTally total = result.total();
            char notes[128];
            std::snprintf(notes, sizeof notes,
                          "of capacity %.2f, worst team's part of its share %.2f, attempts for "
                          "each answer %.2f ",
                          static_cast<double>(total.answered_) / toSeconds(loadDuration())
                              / capacity,
                          minFairRatio, attempts / static_cast<double>(total.answered_));
            print("overload", label, total, notes);
        }
    }
}

// One team opens many more connections than its contract allows; measures the effect on another
// team.
void runConnections()
{
    BenchFleetOptions options;
    options.hosts_ = 2;
    BenchService service { "plain" };
    service.serviceTime_ = 20ms;
    options.services_ = { service };
    for (const char *team : { "flood", "calm" })
        options.teams_.push_back(contract(team, 2000));
    options.teams_.front().connections_ = 8;
    BenchFleet fleet(options);
    fleet.waitUntilServed("/plain/items/k1", "calm");
    LoadTally floodTally;
    std::thread floodThread([&] {
        floodTally = load(fleet.profile({ reads("plain") }, { { "flood", 1200 } }), fleet.entries(),
                          loadDuration(), 2)
                         .total();
    });
    const LoadTally calmTally = load(fleet.profile({ reads("plain") }, { { "calm", 200 } }),
                                     fleet.entries(), loadDuration())
                                    .total();
    floodThread.join();
    print("connections", "8 a host allowed, up to 32 used", floodTally);
    print("connections", "another team meanwhile", calmTally);
}

struct Scenario
{
    const char *name_;
    void (*run_)();
};

constexpr Scenario kScenarios[] = {
    { "overhead", &runOverhead },
    { "stragglers", &runStragglers },
    { "zone", &runZone },
    { "cold", &runCold },
    { "noisy", &runNoisy },
    { "faults", &runFaults },
    { "hot", &runHot },
    { "overload", &runOverload },
    { "connections", &runConnections },
};

} // namespace

int main(int argc, char **argv)
{
    configureProgram("ScenarioBench",
                     "Runs end-to-end scenarios on a fleet in one process.\n"
                     "Usage: scenario_bench [--scenario=NAME] [--seconds=N] [--json=FILE]");
    parseCommandLine(argc, argv);
    const std::string wanted = absl::GetFlag(FLAGS_scenario);
    printHeading();
    for (const Scenario &scenario : kScenarios) {
        if (wanted == "all" || wanted == scenario.name_)
            scenario.run_();
    }
    if (!absl::GetFlag(FLAGS_json).empty())
        std::ofstream(absl::GetFlag(FLAGS_json)) << rows.dump(2) << '\n';
    return 0;
}
