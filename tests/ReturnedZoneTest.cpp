#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/FeedFleet.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 8;
constexpr Duration kChangeDeadline = 2s;
constexpr double kColdRate = 6.6;
/// Requests that a cold back end may get in one second, from all hosts.
constexpr double kMaxColdRequests = 1.5 * kColdRate + 5;
constexpr Duration kColdTime = 4s;
constexpr const char *kCatalogue = R"({"services":[{"name":"map","cold_rate":6.6}],
    "routes":[{"name":"r1","host":"a.example","services":[{"name":"map"}]}]})";
constexpr const char *kReturning = "returning";

/// A span of time, from the start of a play.
struct Span
{
    Duration from_ {};
    Duration to_ {};
};

/// A data centre that is taken out and returns, with back ends that became cold meanwhile.
struct Return
{
    const char *name_;
    Duration at_;
    std::optional<Duration> reportedAt_; ///< when the store gets the cold back end's report
    std::optional<Span> outage_; ///< of the store
};

/// All entry hosts, which send requests to a service with a back end in each of two data centres.
class ZonePlay
{
public:
    ZonePlay()
    {
        fleet_.store().set({ ObjectKind::Catalogue, "main" }, kCatalogue);
        setBackend("staying", "south", Duration::zero());
        setBackend(kReturning, "north", Duration::zero());
    }

    /// Plays @p event until @p end.
    void play(const Return &event, Duration end)
    {
        run(kOutAt);
        setZone(ZoneState::Out);
        for (Duration at = kOutAt; at < end; at += kStep) {
            if (event.outage_ && at == event.outage_->from_) {
                fleet_.store().isRefusing_ = true;
                fleet_.store().silenceOpenConnections();
            }
            if (event.outage_ && at == event.outage_->to_)
                fleet_.store().isRefusing_ = false;
            if (at == event.at_)
                setZone(ZoneState::In);
            if (at == event.reportedAt_)
                setBackend(kReturning, "north", kColdTime);
            run(kStep);
        }
    }

    /// @return the largest number of requests that the returning back end got in one second.
    [[nodiscard]] std::size_t most(Span within) const
    {
        std::size_t most = 0;
        for (auto first = sent_.begin(); first != sent_.end(); ++first) {
            if (*first < within.from_ || *first >= within.to_)
                continue;
            const auto last = std::lower_bound(first, sent_.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    static constexpr Duration kOutAt = 4s;
    static constexpr Duration kStep = 10ms;

private:
    void setZone(ZoneState state)
    {
        fleet_.store().set({ ObjectKind::Zone, "north" },
                           formatZone(Zone { ZoneName("north"), state, Duration::zero() }));
    }

    void setBackend(const char *name, const char *zone, Duration coldFor)
    {
        Backend backend;
        backend.name_ = BackendName(name);
        backend.service_ = ServiceName("map");
        backend.zone_ = ZoneName(zone);
        backend.address_ = Address { "10.0.1.1", 80 };
        backend.slots_ = 6;
        backend.connections_ = 110;
        backend.coldFor_ = coldFor;
        fleet_.store().set({ ObjectKind::Backend, name }, formatBackend(backend));
    }

    /// One of the hosts sends a request in each step: 100 a second together.
    void run(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += kStep) {
            fleet_.run(kStep);
            send(next_++ % kHosts);
        }
    }

    void send(std::size_t host)
    {
        const std::shared_ptr<const RoutingTable> table = fleet_.routingOf(host);
        const auto routes = table->services_.find("map");
        if (routes == table->services_.end())
            return;
        const BackendChoice choice
            = BackendSelector::select(routes->second, { "", {} }, {}, random_, fleet_.now());
        if (!choice.candidate_)
            return;
        choice.candidate_->stats_->end();
        if (choice.candidate_->backend_.name_ == BackendName(kReturning))
            sent_.push_back(fleet_.now() - TimePoint(1h));
    }

    FeedFleet fleet_ { kHosts, platformFeeds(), platformOptions(kChangeDeadline) };
    Random random_ { 1 };
    std::size_t next_ = 0;
    std::vector<Duration> sent_; ///< when the returning back end got its requests
};

} // namespace

// Guards against the load that makes a cold back end fail: its data centre returned to service, and
// the store got its report of the cold start later, most of all after an outage of the store.
TEST(ReturnedZone, ItsColdBackEndsStayWithinTheirRateBeforeTheyReportIt)
{
    const Return returns[] = {
        { "in calm", 10s, 10870ms, {} },
        { "just after an outage of the store", 10s, 10750ms, Span { 5300ms, 9800ms } },
        { "just before an outage of the store", 10s, 15700ms, Span { 10200ms, 14700ms } },
        { "before a short outage of the store", 10s, 13s, Span { 10200ms, 11200ms } },
    };
    for (const Return &event : returns) {
        SCOPED_TRACE(event.name_);
        ZonePlay play;
        const Duration coldUntil = *event.reportedAt_ + kColdTime;
        play.play(event, coldUntil);
        EXPECT_LE(play.most({ event.at_, coldUntil }), kMaxColdRequests);
        EXPECT_GE(play.most({ event.at_, coldUntil }), 2U) << "it gets what it supports";
    }
}

// Guards against warm back ends that go on to count as cold: their entries do not change.
TEST(ReturnedZone, ItsWarmBackEndsGetTheirPartAgain)
{
    constexpr Duration kSettled = 6s;
    ZonePlay play;
    play.play({ "warm", 10s, {}, {} }, 10s + kSettled + 2s);
    EXPECT_GT(play.most({ 10s + kSettled, 10s + kSettled + 2s }), 2 * kMaxColdRequests);
}
