#include "pimentostage/backend/AdmissionOrder.h"
#include "pimentostage/backend/AdmissionRefusal.h"
#include "pimentostage/backend/OrderedQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

/// A route of the tests' service.
struct TestRoute
{
    const char *name_;
    std::uint32_t priority_;
    Duration work_;
};

constexpr TestRoute kUrgent { "urgent", 1, 100ms };
constexpr TestRoute kShort { "short", 2, 40ms };
constexpr TestRoute kLong { "long", 2, 250ms };

WaitingRequest request(QueueTicket ticket, const TestRoute &route, TimePoint now = kStart)
{
    WaitingRequest request;
    request.ticket_ = ticket;
    request.id_ = ticket;
    request.route_ = RouteName(route.name_);
    request.priority_ = route.priority_;
    request.work_ = route.work_;
    request.since_ = now;
    request.objective_ = now + 1s;
    request.deadline_ = now + 6s;
    return request;
}

FairQueueOptions patientOptions()
{
    FairQueueOptions options;
    options.maxWait_ = 10s;
    return options;
}

/// Requests that are offered at fixed rates to a queue which is drained at a fixed rate.
class SteadyLoad
{
public:
    struct Count
    {
        double offered_ = 0;
        double served_ = 0;
        double refused_ = 0; ///< at their arrival
        Duration longestHeld_ {}; ///< of requests that expired
        [[nodiscard]] double fraction() const { return served_ / offered_; }
    };

    explicit SteadyLoad(AdmissionRule rule)
        : queue_(orderFor(rule), patientOptions())
    { }

    void add(const TestRoute &route, Duration period)
    {
        sources_.push_back({ &route, period, {} });
    }

    /// Runs the load; each request that is taken uses the capacity for a tenth of its work.
    void run(Duration duration)
    {
        const TimePoint end = now_ + duration;
        TimePoint freeAt = now_;
        for (; now_ < end; now_ += 1ms) {
            for (Source &source : sources_)
                offerDue(source);
            expire();
            while (freeAt <= now_ && queue_.size() > 0) {
                const WaitingRequest taken = *queue_.take(now_);
                freeAt = now_ + taken.work_ / 10;
                ++counts_[taken.route_.str()].served_;
                since_.erase(taken.ticket_);
            }
        }
    }

    std::map<std::string, Count> counts_;
    OrderedQueue queue_;
    TimePoint now_ = kStart;
    QueueTicket lastTicket_ = 0;

private:
    struct Source
    {
        const TestRoute *route_;
        Duration period_;
        Duration passed_;
    };

    void offerDue(Source &source)
    {
        source.passed_ += 1ms;
        for (; source.passed_ >= source.period_; source.passed_ -= source.period_) {
            WaitingRequest offered = request(++lastTicket_, *source.route_, now_);
            offered.admitBy_ = now_ + 500ms;
            Count &count = counts_[source.route_->name_];
            ++count.offered_;
            if (queue_.push(offered, now_).isAccepted_)
                since_[offered.ticket_] = offered;
            else
                ++count.refused_;
        }
    }

    void expire()
    {
        for (const QueueTicket ticket : queue_.takeExpired(now_)) {
            const WaitingRequest &expired = since_.at(ticket);
            Count &count = counts_[expired.route_.str()];
            count.longestHeld_ = std::max(count.longestHeld_, now_ - expired.since_);
            since_.erase(ticket);
        }
    }

    std::vector<Source> sources_;
    std::map<QueueTicket, WaitingRequest> since_;
};

std::vector<QueueTicket> takeAll(OrderedQueue &queue, TimePoint now)
{
    std::vector<QueueTicket> tickets;
    while (const auto taken = queue.take(now))
        tickets.push_back(taken->ticket_);
    return tickets;
}

using Tickets = std::vector<QueueTicket>;

// Load: three requests of different urgency, work and slack wait. Guards against a rule that sorts
// by another property than its name says.
TEST(AdmissionOrder, EachRuleServesInItsOrder)
{
    const std::map<AdmissionRule, Tickets> expected {
        { AdmissionRule::FirstCome, { 1, 2, 3, 4 } },
        { AdmissionRule::StrictPriority, { 3, 1, 2, 4 } },
        { AdmissionRule::LeastSlack, { 4, 1, 3, 2 } },
        { AdmissionRule::ValuePerWork, { 2, 4, 3, 1 } },
        { AdmissionRule::UrgencyThenSlack, { 3, 4, 1, 2 } },
    };
    for (const auto &[rule, tickets] : expected) {
        OrderedQueue queue(orderFor(rule), patientOptions());
        queue.push(request(1, kLong, kStart), kStart);
        queue.push(request(2, kShort, kStart), kStart);
        WaitingRequest urgent = request(3, kUrgent, kStart + 1ms);
        queue.push(urgent, kStart + 1ms);
        WaitingRequest pressed = request(4, kShort, kStart + 2ms);
        pressed.objective_ = kStart + 200ms;
        queue.push(pressed, kStart + 2ms);
        EXPECT_EQ(takeAll(queue, kStart + 2ms), tickets) << toString(rule);
    }
}

// Load: two requests of equal priority, of which the later one has less time. Guards against an
// order of arrival that lets the later one miss its objective.
TEST(AdmissionOrder, EqualPriorityIsServedBySlack)
{
    OrderedQueue queue(orderFor(AdmissionRule::UrgencyThenSlack), patientOptions());
    queue.push(request(1, kShort), kStart);
    WaitingRequest pressed = request(2, kShort);
    pressed.objective_ = kStart + 300ms;
    queue.push(pressed, kStart);
    EXPECT_EQ(takeAll(queue, kStart), (Tickets { 2, 1 }));
}

// Load: a request that can no longer meet its objective waits with one that can. Guards against an
// answer in time that is given up for one that is late anyway.
TEST(AdmissionOrder, WhatMissesItsObjectiveWaitsBehindWhatCanMeetIt)
{
    for (const AdmissionRule rule : { AdmissionRule::LeastSlack, AdmissionRule::ValuePerWork,
                                      AdmissionRule::UrgencyThenSlack }) {
        OrderedQueue queue(orderFor(rule), patientOptions());
        WaitingRequest late = request(1, kShort);
        late.objective_ = kStart + 30ms;
        queue.push(late, kStart);
        queue.push(request(2, kLong), kStart);
        EXPECT_EQ(takeAll(queue, kStart), (Tickets { 2, 1 })) << toString(rule);
    }
}

// Load: a host that has just started, without answers. Guards against an order by estimates that do
// not exist.
TEST(AdmissionOrder, UnknownWorkIsServedFirstComeWithinAPriority)
{
    for (const AdmissionRule rule : { AdmissionRule::LeastSlack, AdmissionRule::ValuePerWork,
                                      AdmissionRule::UrgencyThenSlack }) {
        OrderedQueue queue(orderFor(rule), patientOptions());
        for (const QueueTicket ticket : { 1, 2, 3, 4 }) {
            WaitingRequest unknown = request(ticket, ticket == 3 ? kUrgent : kShort, kStart);
            unknown.since_ = kStart + ticket * 1ms;
            unknown.objective_ = kStart + 1s - ticket * 1ms;
            unknown.work_ = Duration::zero();
            queue.push(unknown, kStart + 5ms);
        }
        EXPECT_EQ(takeAll(queue, kStart + 5ms), (Tickets { 3, 1, 2, 4 })) << toString(rule);
    }
}

// Load: a route without answers beside one whose work is known. Guards against an unknown route
// that always goes first, or never.
TEST(AdmissionOrder, ARouteWithUnknownWorkCountsAsATypicalOne)
{
    OrderedQueue queue(orderFor(AdmissionRule::ValuePerWork), patientOptions());
    queue.push(request(1, kShort), kStart);
    WaitingRequest unknown = request(2, { "new", 2, 0ms });
    queue.push(unknown, kStart);
    queue.push(request(3, kLong), kStart);
    EXPECT_EQ(takeAll(queue, kStart), (Tickets { 1, 2, 3 }));
}

// Load: estimates of one route that change between its requests. Guards against requests that are
// overtaken by later ones of their own route until they expire.
TEST(AdmissionOrder, RequestsOfOneRouteStayInOrderOfArrival)
{
    OrderedQueue queue(orderFor(AdmissionRule::ValuePerWork), patientOptions());
    for (const QueueTicket ticket : { 1, 2, 3 }) {
        WaitingRequest next = request(ticket, kLong, kStart + ticket * 1ms);
        next.work_ = 260ms - ticket * 10ms;
        queue.push(next, kStart + ticket * 1ms);
    }
    EXPECT_EQ(takeAll(queue, kStart + 4ms), (Tickets { 1, 2, 3 }));
}

// Load: teams of which one has ten times as many requests waiting. Guards against a rule that gives
// up the teams' shares, where a catalogue with teams uses another rule than the default.
TEST(AdmissionOrder, TeamsOfOneLevelKeepTheirShares)
{
    OrderedQueue queue(orderFor(AdmissionRule::UrgencyThenSlack), patientOptions());
    for (QueueTicket ticket = 1; ticket <= 44; ++ticket) {
        WaitingRequest waiting = request(ticket, kShort);
        waiting.team_ = TeamName(ticket <= 40 ? "large" : "small");
        queue.push(waiting, kStart);
    }
    int small = 0;
    for (int i = 0; i < 8; ++i)
        small += queue.take(kStart)->team_ == TeamName("small") ? 1 : 0;
    EXPECT_EQ(small, 4);
}

// Load: urgent requests surge to three times the capacity for 10 s, beside a steady less urgent
// route. Guards against urgent requests that are answered less often than the others.
TEST(AdmissionQueueOrder, AnUrgentSurgeIsAnsweredAtLeastAsOften)
{
    for (const AdmissionRule rule :
         { AdmissionRule::StrictPriority, AdmissionRule::LeastSlack, AdmissionRule::ValuePerWork,
           AdmissionRule::UrgencyThenSlack, AdmissionRule::FirstCome }) {
        SteadyLoad load(rule);
        load.add(kUrgent, 3ms);
        load.add(kShort, 10ms);
        load.run(10s);
        const double urgent = load.counts_["urgent"].fraction();
        EXPECT_GT(urgent + 0.05, load.counts_["short"].fraction()) << toString(rule);
    }
}

// Load: four times the capacity for 30 s, half of it urgent. Guards against a less urgent route
// that is starved, and one with much work that is starved by short requests.
TEST(AdmissionQueueOrder, NoRouteFallsBelowAQuarterOfTheMeanInALongOverload)
{
    for (const auto &row : EnumTable<AdmissionRule>::kRows) {
        if (row.value_ == AdmissionRule::TeamShares)
            continue;
        SteadyLoad load(row.value_);
        load.add(kUrgent, 5ms);
        load.add(kShort, 4ms);
        load.add(kLong, 25ms);
        load.run(30s);
        double offered = 0;
        double served = 0;
        for (const auto &[name, count] : load.counts_) {
            offered += count.offered_;
            served += count.served_;
        }
        for (const auto &[name, count] : load.counts_)
            EXPECT_GT(count.fraction(), 0.25 * served / offered) << row.name_ << ' ' << name;
    }
}

// Load: 2.5 times the capacity of one route for 10 s. Guards against requests that are held until
// they have waited too long, although it was known at their arrival.
TEST(AdmissionQueueOrder, TheUnservableIsRefusedAtOnce)
{
    SteadyLoad load(AdmissionRule::UrgencyThenSlack);
    load.add(kUrgent, 4ms);
    load.run(10s);
    const SteadyLoad::Count &count = load.counts_["urgent"];
    const double unanswered = count.offered_ - count.served_;
    EXPECT_GT(count.refused_, 0.8 * unanswered);
    EXPECT_LE(count.longestHeld_, 501ms);
}

// Load: a request whose work alone does not fit into its time. Guards against one that uses
// capacity for an answer that nobody gets.
TEST(AdmissionQueueOrder, RefusesWhatCannotBeDoneBeforeItsDeadline)
{
    OrderedQueue queue(orderFor(AdmissionRule::ValuePerWork), patientOptions());
    WaitingRequest hopeless = request(1, kLong);
    hopeless.deadline_ = kStart + 200ms;
    EXPECT_FALSE(queue.push(hopeless, kStart).isAccepted_);
    hopeless.ticket_ = hopeless.id_ = 2;
    hopeless.deadline_ = kStart + 300ms;
    EXPECT_TRUE(queue.push(hopeless, kStart).isAccepted_);
    EXPECT_EQ(queue.takeExpired(kStart + 50ms), Tickets { 2 });
}

// Load: a host that was stopped for longer than its requests may wait. Guards against requests that
// it refuses one by one, or sends too late.
TEST(AdmissionQueueOrder, AfterAPauseTheExpiredAreRefusedInOnePass)
{
    OrderedQueue queue(orderFor(AdmissionRule::ValuePerWork), patientOptions());
    for (QueueTicket ticket = 1; ticket <= 500; ++ticket)
        queue.push(request(ticket, kShort), kStart);
    WaitingRequest patient = request(501, kShort);
    patient.deadline_ = kStart + 1h;
    patient.since_ = kStart + 6s;
    queue.push(patient, kStart);
    EXPECT_EQ(queue.takeExpired(kStart + 7s).size(), 500U);
    EXPECT_EQ(takeAll(queue, kStart + 7s), Tickets { 501 });
}

// Load: a full queue. Guards against an eviction that costs callers more than another one.
TEST(AdmissionQueueOrder, EvictsWhatCostsLeast)
{
    FairQueueOptions options = patientOptions();
    options.maxWaiting_ = 4;
    OrderedQueue queue(orderFor(AdmissionRule::ValuePerWork), options);
    queue.push(request(1, kShort), kStart);
    queue.push(request(2, kUrgent), kStart);
    WaitingRequest sent = request(3, { "sent", 3, 400ms });
    sent.hasRun_ = true;
    queue.push(sent, kStart);
    queue.push(request(4, kLong), kStart);
    EXPECT_EQ(queue.push(request(5, kUrgent), kStart).evicted_, QueueTicket { 4 })
        << "most work for its value; the one that was sent stays";
    EXPECT_EQ(queue.push(request(6, kUrgent), kStart).evicted_, QueueTicket { 1 })
        << "lower priority first";
    EXPECT_FALSE(queue.push(request(7, kLong), kStart).isAccepted_)
        << "cheaper to refuse than all that wait";
    EXPECT_EQ(queue.size(), 4U);
}

// Load: an admitted request for which there was no room after all. Guards against a request that
// loses its place to a later one.
TEST(AdmissionQueueOrder, KeepsThePlaceOfARequestPutBack)
{
    for (const auto &row : EnumTable<AdmissionRule>::kRows) {
        OrderedQueue queue(orderFor(row.value_), patientOptions());
        for (QueueTicket ticket = 1; ticket <= 3; ++ticket)
            queue.push(request(ticket, kShort, kStart + ticket * 1ms), kStart + ticket * 1ms);
        const WaitingRequest first = *queue.take(kStart + 5ms);
        queue.putBack(first, kStart + 5ms);
        EXPECT_EQ(takeAll(queue, kStart + 5ms), (Tickets { 1, 2, 3 })) << row.name_;
    }
}

// Load: one request that is polled for room every 10 ms, then four times the capacity. Guards
// against a drain rate to which each poll adds a negative amount, so that waits are overestimated.
TEST(AdmissionQueueOrder, PollsForRoomDoNotChangeTheEstimate)
{
    const auto estimateAfter = [](int polls) {
        OrderedQueue queue(orderFor(AdmissionRule::UrgencyThenSlack), patientOptions());
        queue.push(request(1, kUrgent), kStart);
        for (int i = 0; i < polls; ++i)
            queue.putBack(*queue.take(kStart + i * 1ms), kStart + i * 1ms);
        for (QueueTicket ticket = 2; ticket <= 40; ++ticket)
            queue.push(request(ticket, kUrgent, kStart + 20ms), kStart + 20ms);
        for (int i = 1; i <= 20; ++i)
            queue.take(kStart + 20ms + i * 10ms);
        return queue.expectedWait(request(100, kUrgent, kStart + 220ms), kStart + 220ms);
    };
    ASSERT_TRUE(estimateAfter(0));
    ASSERT_TRUE(estimateAfter(20));
    EXPECT_NEAR(toSeconds(*estimateAfter(20)), toSeconds(*estimateAfter(0)), 0.002);
}

// Load: overload, and a caller that repeats a refused request every 10 ms. Guards against repeats
// that find room by chance which others wait for.
TEST(AdmissionQueueOrder, ImmediateRepeatsGainNothing)
{
    SteadyLoad load(AdmissionRule::ValuePerWork);
    load.add(kUrgent, 4ms);
    load.run(5s);
    WaitingRequest refused = request(1'000'000, kUrgent, load.now_);
    refused.admitBy_ = load.now_ + 50ms;
    ASSERT_FALSE(load.queue_.push(refused, load.now_).isAccepted_);
    const Duration untilRoom = *load.queue_.untilRoom(refused, load.now_);
    EXPECT_GE(untilRoom, 50ms);
    const TimePoint refusedAt = load.now_;
    const std::size_t waiting = load.queue_.size();
    for (TimePoint now = refusedAt; now < refusedAt + untilRoom; now += 10ms) {
        load.queue_.takeExpired(now);
        WaitingRequest repeat = request(refused.ticket_ + 1, kUrgent, now);
        repeat.id_ = refused.id_;
        EXPECT_FALSE(load.queue_.push(repeat, now).isAccepted_);
        EXPECT_LE(load.queue_.size(), waiting);
        EXPECT_EQ(*load.queue_.untilRoom(repeat, now), refusedAt + untilRoom - now)
            << "a repeat does not change the time";
    }
    WaitingRequest onTime = request(refused.ticket_ + 2, kUrgent, refusedAt + untilRoom);
    onTime.id_ = refused.id_;
    EXPECT_TRUE(load.queue_.push(onTime, refusedAt + untilRoom).isAccepted_);
}

// Load: the queue of one owner of keys, which few requests of a host reach, so that no wait can be
// predicted. Guards against a Retry-After that makes the next try late although the first was not.
TEST(AdmissionQueueOrder, WithoutAPredictionRetryAfterIsTheTimeThatWasWaited)
{
    OrderedQueue queue(orderFor(AdmissionRule::ValuePerWork), patientOptions());
    WaitingRequest waiting = request(1, kUrgent);
    waiting.admitBy_ = kStart + 250ms;
    queue.push(waiting, kStart);
    EXPECT_EQ(queue.takeExpired(kStart + 250ms), Tickets { 1 });
    EXPECT_EQ(queue.untilRoom(waiting, kStart + 250ms), Duration(250ms));
    EXPECT_EQ(queue.untilRoom(request(2, kUrgent, kStart + 1s), kStart + 1s), Duration(1s))
        << "it has not waited, and nothing is known";
}

// Load: 1,000 callers refused at the same moment. Guards against callers that all return together,
// and against ones that return before there is room.
TEST(AdmissionQueueOrder, RetryAfterIsSpread)
{
    std::set<std::int64_t> delays;
    for (int i = 0; i < 1000; ++i) {
        const Duration told = spreadRetryAfter(400ms, i / 1000.0);
        EXPECT_GE(told, 400ms);
        EXPECT_LE(told, 600ms);
        delays.insert(toMilliseconds(told));
    }
    EXPECT_EQ(delays.size(), 200U);
}

// No request is lost, returned twice or put behind a later one of the same rank, whatever is
// pushed, taken, put back and expired.
RC_GTEST_PROP(AdmissionQueueOrderProperty, LosesNoRequest, ())
{
    const auto rule = *rc::gen::element(AdmissionRule::FirstCome, AdmissionRule::StrictPriority,
                                        AdmissionRule::LeastSlack, AdmissionRule::ValuePerWork,
                                        AdmissionRule::UrgencyThenSlack);
    FairQueueOptions options = patientOptions();
    options.maxWaiting_ = 20;
    OrderedQueue queue(orderFor(rule), options);
    const TestRoute routes[] = { kUrgent, kShort, kLong };
    std::set<QueueTicket> waiting;
    TimePoint now = kStart;
    QueueTicket last = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 12));
    for (const int step : steps) {
        now += 3ms;
        if (step < 6) {
            WaitingRequest pushed = request(++last, routes[step % 3], now);
            pushed.admitBy_ = now + 200ms;
            const RequestQueue::PushResult result = queue.push(pushed, now);
            if (result.isAccepted_)
                waiting.insert(last);
            if (result.evicted_)
                RC_ASSERT(waiting.erase(*result.evicted_) == 1);
        } else if (step < 11) {
            const auto taken = queue.take(now);
            RC_ASSERT(taken.has_value() == !waiting.empty());
            if (taken && step == 10)
                queue.putBack(*taken, now);
            else if (taken)
                RC_ASSERT(waiting.erase(taken->ticket_) == 1);
        } else {
            for (const QueueTicket ticket : queue.takeExpired(now))
                RC_ASSERT(waiting.erase(ticket) == 1);
        }
        RC_ASSERT(queue.size() == waiting.size());
    }
}

} // namespace
