// Verdicts on generated versions: detection time, exposure and false alarms of a roll-out.

#include "bench/RolloutVersions.h"
#include "pimentostage/backend/ExposureAllocator.h"
#include "pimentostage/backend/ExposureBudget.h"
#include "pimentostage/backend/RolloutDecision.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

constexpr std::size_t kHosts = 60;
constexpr std::array kRouteShares { 0.5, 0.25, 0.15, 0.1 };
constexpr std::array kRouteWorkMs { 270.0, 350.0, 210.0, 210.0 };
constexpr std::uint64_t kMaxExtra = 50;
constexpr double kMaxShare = 0.1;
constexpr Duration kDuration = 12s;
constexpr Duration kRollback = 5s;
constexpr Duration kReportPeriod = 250ms;
constexpr Duration kTick = 25ms;
constexpr std::size_t kThreads = 3;

/// A request that runs.
struct Running
{
    TimePoint endsAt_;
    Duration latency_;
    std::size_t host_;
    std::size_t route_;
    bool isTarget_;
    bool isFailed_;

    bool operator>(const Running &other) const { return endsAt_ > other.endsAt_; }
};

/// What one roll-out came to.
struct Result
{
    RolloutVerdict verdict_;
    Duration endedAt_ {}; ///< from the order
    std::uint64_t requests_ = 0; ///< until the end of the roll-out's duration
    std::uint64_t exposed_ = 0; ///< of these, to the target
    std::uint64_t badAtVerdict_ = 0; ///< bad answers until the roll-back
    std::uint64_t bad_ = 0; ///< bad answers in all
    TimePoint fiftiethBadAt_ = TimePoint::max();
    bool isSentLate_ = false; ///< a request more than kRollback after the 50th bad answer
    double maxOverShare_ = 0; ///< largest exposure beyond kMaxShare until Switching, in requests
};

/// One roll-out of a version over a fleet of hosts that report at different times.
class Trial
{
public:
    Trial(const GeneratedVersion &version, double perSecond, std::size_t backends,
          std::uint64_t seed)
        : version_(version)
        , perSecond_(perSecond)
        , random_(seed)
        , old_(makeBackends(version, backends, random_))
        , new_(makeBackends(version, backends, random_))
        , decision_({ ServiceName("certify"), "v2", kDuration }, limits(backends), kOrderedAt)
        , allocator_(limits(backends), Epoch { 1 }, true)
    {
        for (std::size_t i = 0; i < kHosts; ++i) {
            hosts_.push_back(std::make_unique<Host>(i));
            hosts_.back()->reportAt_ = kOrderedAt + fromSeconds(0.25 * random_.unit());
        }
    }

    Result run()
    {
        allocator_.onVerdict(decision_.decide(kOrderedAt), kOrderedAt);
        nextArrival_ = kOrderedAt;
        for (now_ = kOrderedAt; now_ < kOrderedAt + kDuration + 2s; now_ += kTick) {
            arrive();
            finish();
            exchange();
            decide();
        }
        return result_;
    }

private:
    struct Host
    {
        explicit Host(std::size_t index)
            : name_("host-" + std::to_string(index))
        {
            for (std::size_t i = 0; i < kRoutes; ++i)
                outcomes_.push_back({ RouteName("route-" + std::to_string(i)), {}, {} });
        }

        HostName name_;
        ExposureBudget budget_ { Incarnation { 1 } };
        std::vector<RouteOutcomes> outcomes_;
        std::size_t runningAtCurrent_ = 0;
        TimePoint reportAt_;
    };

    /// A report that is under way.
    struct Report
    {
        TimePoint arrivesAt_;
        TimePoint sentAt_;
        std::size_t host_;
        ExposureUse use_;
        std::vector<RouteOutcomes> outcomes_;
        std::size_t runningAtCurrent_;

        bool operator>(const Report &other) const { return arrivesAt_ > other.arrivesAt_; }
    };

    template <typename T>
    using Earliest = std::priority_queue<T, std::vector<T>, std::greater<>>;

    static RolloutLimits limits(std::size_t backends)
    {
        return { kMaxShare, kMaxExtra, kRollback, 0, {}, static_cast<std::uint32_t>(backends) };
    }

    [[nodiscard]] bool isFaulty(std::size_t route, TimePoint now) const
    {
        return route >= kRoutes - version_.routes_ && share_ >= version_.fromShare_
               && now >= kOrderedAt + version_.from_;
    }

    void arrive()
    {
        std::exponential_distribution<double> gap(perSecond_);
        std::discrete_distribution<std::size_t> route(kRouteShares.begin(), kRouteShares.end());
        for (; nextArrival_ <= now_; nextArrival_ += fromSeconds(gap(random_.engine())))
            send(random_.below(kHosts), route(random_.engine()), nextArrival_);
    }

    void send(std::size_t index, std::size_t route, TimePoint now)
    {
        Host &host = *hosts_[index];
        host.budget_.recordRequest();
        const bool isTarget
            = result_.verdict_.phase_ == RolloutPhase::Complete || host.budget_.trySend(now);
        if (now < kOrderedAt + kDuration) {
            ++result_.requests_;
            result_.exposed_ += isTarget ? 1 : 0;
        }
        host.runningAtCurrent_ += isTarget ? 0 : 1;
        if (isTarget && now - kRollback > result_.fiftiethBadAt_)
            result_.isSentLate_ = true;
        const bool isFaulty = isTarget && this->isFaulty(route, now);
        // Gamma distribution with shape 2: a coefficient of variation of 0.7.
        std::gamma_distribution<double> work(2, kRouteWorkMs[route] / 2 / 1000);
        std::vector<Backend> &backends = isTarget ? new_ : old_;
        Backend &backend = backends[random_.below(backends.size())];
        const double factor = backend.factor(now) * (isFaulty ? version_.slowdown_ : 1);
        const Duration latency = fromSeconds(work(random_.engine()) * factor);
        const bool isFailed
            = backend.fails(now) || (isFaulty && random_.unit() < version_.failures_);
        running_.push({ now + latency, latency, index, route, isTarget, isFailed });
    }

    void finish()
    {
        while (!running_.empty() && running_.top().endsAt_ <= now_) {
            const Running &request = running_.top();
            Host &host = *hosts_[request.host_];
            host.runningAtCurrent_ -= request.isTarget_ ? 0 : 1;
            RouteOutcomes &outcomes = host.outcomes_[request.route_];
            (request.isTarget_ ? outcomes.target_ : outcomes.current_)
                .record(request.isFailed_, request.latency_);
            if (request.isTarget_ && isBad(request))
                countBad(request.endsAt_);
            running_.pop();
        }
    }

    void countBad(TimePoint now)
    {
        ++result_.bad_;
        if (!isEnded())
            ++result_.badAtVerdict_;
        if (result_.bad_ == RolloutDecision::kBadAnswers)
            result_.fiftiethBadAt_ = now;
    }

    [[nodiscard]] bool isBad(const Running &request) const
    {
        return request.isFailed_
               || (version_.slowdown_ > 1
                   && isFaulty(request.route_, request.endsAt_ - request.latency_));
    }

    /// A link delays messages by 10 to 60 ms.
    Duration delay() { return fromSeconds(0.01 + 0.05 * random_.unit()); }

    void exchange()
    {
        for (std::size_t i = 0; i < kHosts; ++i) {
            Host &host = *hosts_[i];
            if (host.reportAt_ > now_)
                continue;
            host.reportAt_ += kReportPeriod;
            const ExposureUse use = host.budget_.report(Epoch { 1 });
            reports_.push({ now_ + delay(), now_, i, use, host.outcomes_, host.runningAtCurrent_ });
        }
        for (; !reports_.empty() && reports_.top().arrivesAt_ <= now_; reports_.pop())
            onReport(reports_.top());
        for (; !leases_.empty() && leases_.front().arrivesAt_ <= now_; leases_.pop_front()) {
            const Answer &answer = leases_.front();
            hosts_[answer.host_]->budget_.apply(answer.lease_, answer.sentAt_);
        }
    }

    void onReport(const Report &report)
    {
        const HostName &name = hosts_[report.host_]->name_;
        decision_.onOutcomes(name, report.outcomes_, now_);
        if (report.use_.hasLeftCurrent_)
            decision_.onCurrentLeft(name, report.runningAtCurrent_);
        if (const auto lease = allocator_.allocate(name, report.use_, now_))
            leases_.push_back({ now_ + 35ms, report.sentAt_, report.host_, *lease });
    }

    void decide()
    {
        if (isEnded())
            return;
        RolloutVerdict verdict = decision_.decide(now_);
        if (verdict.phase_ == RolloutPhase::Switching) { // the store records it at once
            decision_.onRecorded(now_);
            verdict = decision_.decide(now_);
        }
        if (verdict.phase_ == RolloutPhase::Observing) {
            const double over = static_cast<double>(result_.exposed_)
                                - kMaxShare * static_cast<double>(result_.requests_);
            result_.maxOverShare_ = std::max(result_.maxOverShare_, over);
        }
        allocator_.onVerdict(verdict, now_);
        if (verdict.phase_ == RolloutPhase::RolledBack)
            revokeLeases();
        result_.verdict_ = verdict;
        share_ = verdict.share_;
        result_.endedAt_ = now_ - kOrderedAt;
    }

    void revokeLeases()
    {
        for (std::size_t i = 0; i < kHosts; ++i) {
            if (const auto lease = allocator_.revoke(hosts_[i]->name_))
                leases_.push_back({ now_ + 35ms, now_, i, *lease });
        }
    }

    [[nodiscard]] bool isEnded() const
    {
        return result_.verdict_.phase_ == RolloutPhase::Complete
               || result_.verdict_.phase_ == RolloutPhase::RolledBack;
    }

    /// A lease that is under way.
    struct Answer
    {
        TimePoint arrivesAt_;
        TimePoint sentAt_; ///< of the report
        std::size_t host_;
        ExposureLease lease_;
    };

    const GeneratedVersion &version_;
    const double perSecond_;
    Random random_;
    std::vector<Backend> old_;
    std::vector<Backend> new_;
    RolloutDecision decision_;
    ExposureAllocator allocator_;
    std::vector<std::unique_ptr<Host>> hosts_;
    Earliest<Running> running_;
    Earliest<Report> reports_;
    std::deque<Answer> leases_;
    TimePoint now_ {};
    TimePoint nextArrival_ {};
    double share_ = kMaxShare;
    Result result_;
};

/// @return the value below which @p part of @p values are; 0 without values.
template <typename T>
T quantile(std::vector<T> values, double part)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

std::vector<Result> runTrials(const GeneratedVersion &version, double perSecond,
                              std::size_t backends, std::size_t seeds)
{
    std::vector<Result> results(seeds);
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kThreads; ++i) {
        threads.emplace_back([&] {
            for (std::size_t seed = next++; seed < seeds; seed = next++)
                results[seed] = Trial(version, perSecond, backends, seed + 1).run();
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return results;
}

/// Numbers of @p results by how the roll-outs ended.
struct Ends
{
    int observing_ = 0; ///< rolled back before the latest moment
    int latest_ = 0; ///< at the latest moment
    int switching_ = 0; ///< afterwards
    int complete_ = 0; ///< within the duration
    int other_ = 0; ///< neither within the duration
    int exceeded_ = 0; ///< more requests to the target than a bad version may get
    int sentLate_ = 0; ///< a request later than kRollback after the 50th bad answer
};

Ends countEnds(const std::vector<Result> &results, bool isBad)
{
    const Duration latest = kDuration - RolloutDecision::kSwitchDuration;
    Ends ends;
    for (const Result &result : results) {
        if (result.verdict_.phase_ == RolloutPhase::Complete && result.endedAt_ <= kDuration)
            ++ends.complete_;
        else if (result.verdict_.phase_ != RolloutPhase::RolledBack || result.endedAt_ > kDuration)
            ++ends.other_;
        else if (result.endedAt_ < latest)
            ++ends.observing_;
        else if (result.endedAt_ < latest + 2 * kTick)
            ++ends.latest_;
        else
            ++ends.switching_;
        const double bound = kMaxShare * static_cast<double>(result.requests_) + kMaxExtra;
        if (isBad && static_cast<double>(result.exposed_) > bound)
            ++ends.exceeded_;
        ends.sentLate_ += result.isSentLate_ ? 1 : 0;
    }
    return ends;
}

void printRow(const GeneratedVersion &version, double perSecond, std::size_t backends,
              std::size_t seeds)
{
    const std::vector<Result> results = runTrials(version, perSecond, backends, seeds);
    const bool isBad = version.failures_ > 0 || version.slowdown_ > 1;
    const Ends ends = countEnds(results, isBad);
    std::vector<double> seconds;
    std::vector<std::uint64_t> bad;
    std::vector<std::uint64_t> exposed;
    double over = 0;
    for (const Result &result : results) {
        seconds.push_back(toSeconds(result.endedAt_));
        exposed.push_back(result.exposed_);
        over = std::max(over, result.maxOverShare_);
        if (result.verdict_.phase_ == RolloutPhase::RolledBack)
            bad.push_back(result.badAtVerdict_);
    }
    std::printf("| %s | %.0f | %zu | %d | %d | %d | %d | %d | %.1f | %.1f | %zu | %zu | %zu | %d | "
                "%d | %.0f |\n",
                version.name_, perSecond, backends, ends.observing_, ends.latest_, ends.switching_,
                ends.complete_, ends.other_, quantile(seconds, 0.5), quantile(seconds, 0.99),
                quantile(bad, 0.5), quantile(bad, 0.99), quantile(exposed, 0.5), ends.exceeded_,
                ends.sentLate_, over);
    std::fflush(stdout);
}

} // namespace

/// Usage: rollout_bench [SEEDS]
int main(int argc, char **argv)
{
    const std::size_t seeds = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 1000;
    std::printf("%zu seeds each; %zu hosts; order for %.0f s\n\n", seeds, kHosts,
                toSeconds(kDuration));
    std::printf(
        "| version | requests/s | back ends | rolled back: observing | at the latest moment "
        "| switching | complete | neither | end s (median) | end s (99 %%) "
        "| bad answers (median) | bad answers (99 %%) | exposed (median) | bound exceeded "
        "| late after 50th | over share |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const GeneratedVersion &version : kVersions) {
        for (const double perSecond : { 100.0, 450.0 })
            printRow(version, perSecond, 26, seeds);
    }
    // Few back ends make latencies less comparable.
    for (const GeneratedVersion &version : kVersions) {
        for (const double perSecond : { 100.0, 450.0 }) {
            if (version.failures_ == 0 && version.routes_ == kRoutes && version.from_ == 0s)
                printRow(version, perSecond, 8, seeds);
        }
    }
    return 0;
}
