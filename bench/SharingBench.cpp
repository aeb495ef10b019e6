// Compares the policies that divide insufficient capacity among teams, with the same requests: a
// FairQueue in front of a fixed number of slots, without a network.

#include "bench/OverloadTeams.h"
#include "pimentostage/backend/FairQueue.h"
#include "pimentostage/base/Random.h"
#include "tests/fakes/EventQueue.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <vector>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

constexpr std::uint32_t kSlots = 12;
constexpr Duration kServiceTime = 20ms;
constexpr Duration kTestDuration = 60s;
constexpr Duration kRequestTimeout = 2s;

/// Simulation of one policy at one load.
class SharingRun
{
public:
    SharingRun(Sharing sharing, double load)
        : queue_(options(sharing))
        , load_(load)
        , random_(1)
    { }

    void run()
    {
        for (const OverloadTeam &team : kOverloadTeams)
            scheduleNext(team);
        events_.runUntil(kTestDuration, [] {});
        report();
    }

private:
    static FairQueueOptions options(Sharing sharing)
    {
        FairQueueOptions options;
        options.sharing_ = sharing;
        return options;
    }

    static double capacity() { return kSlots / toSeconds(kServiceTime); }

    TimePoint now() const { return TimePoint(1h) + events_.now(); }

    double exponential(double mean) { return -mean * std::log(1 - random_.unit()); }

    void scheduleNext(const OverloadTeam &team)
    {
        const double rate = load_ * team.demand_ * capacity();
        events_.after(fromSeconds(exponential(1 / rate)), [this, &team] {
            arrive(team);
            scheduleNext(team);
        });
    }

    void arrive(const OverloadTeam &team)
    {
        WaitingRequest request;
        request.ticket_ = ++lastTicket_;
        request.team_ = TeamName(team.name_);
        request.share_ = team.share_;
        request.deadline_ = now() + kRequestTimeout;
        request.since_ = now();
        if (running_ < kSlots && queue_.size() == 0) {
            begin(request);
            return;
        }
        queue_.takeExpired(now());
        queue_.push(request, now());
    }

    void begin(const WaitingRequest &request)
    {
        ++running_;
        waits_.push_back(toMilliseconds(now() - request.since_));
        events_.after(fromSeconds(exponential(toSeconds(kServiceTime))), [this, request] {
            --running_;
            answered_[request.team_.str()] += 1;
            queue_.takeExpired(now());
            if (const auto next = queue_.take(now()))
                begin(*next);
        });
    }

    void report()
    {
        double total = 0;
        double minFairRatio = 1;
        for (const auto &[team, fairRate] : fairRates(capacity(), load_)) {
            const double rate = answered_[team] / toSeconds(kTestDuration);
            total += rate;
            minFairRatio = std::min(minFairRatio, rate / fairRate);
        }
        std::sort(waits_.begin(), waits_.end());
        const auto p99 = static_cast<std::size_t>(0.99 * static_cast<double>(waits_.size()));
        std::printf(" %8.2f %8.2f %10.0f", total / capacity(), minFairRatio, waits_[p99]);
        for (const OverloadTeam &team : kOverloadTeams) {
            const double demand = load_ * team.demand_ * capacity();
            std::printf(" %8.2f", answered_[team.name_] / toSeconds(kTestDuration) / demand);
        }
        std::printf("\n");
    }

    FairQueue queue_;
    const double load_;
    Random random_;
    EventQueue events_;
    std::uint32_t running_ = 0;
    QueueTicket lastTicket_ = 0;
    std::map<std::string, double> answered_;
    std::vector<double> waits_;
};

} // namespace

int main()
{
    std::printf("%6s %-14s %8s %8s %10s  part of its demand answered, by team\n", "load", "policy",
                "capacity", "worst", "p99 ms");
    for (const double load : { 0.9, 1.2, 2.0, 3.0 }) {
        for (const auto &row : EnumTable<Sharing>::kRows) {
            std::printf("%6.1f %-14s", load, std::string(row.name_).c_str());
            SharingRun(row.value_, load).run();
        }
    }
    return 0;
}
