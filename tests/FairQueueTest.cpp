#include "pimentostage/backend/FairQueue.h"
#include "src/backend/AdmissionQueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <thread>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart(1h);

WaitingRequest request(QueueTicket ticket, const std::string &team, double share = 1,
                       TimePoint now = kStart)
{
    WaitingRequest request;
    request.ticket_ = ticket;
    request.team_ = TeamName(team);
    request.share_ = share;
    request.since_ = now;
    request.deadline_ = now + 2s;
    return request;
}

TEST(FairQueue, ServesTeamsInProportionToTheirShares)
{
    FairQueue queue({});
    for (QueueTicket i = 0; i < 60; ++i)
        queue.push(request(i, i < 30 ? "one" : "two", i < 30 ? 1 : 2), kStart);
    std::map<std::string, int> served;
    for (int i = 0; i < 30; ++i)
        ++served[queue.take(kStart)->team_.str()];
    EXPECT_EQ(served["one"], 10);
    EXPECT_EQ(served["two"], 20);
}

TEST(FairQueue, ServesATeamInArrivalOrder)
{
    FairQueue queue({});
    for (QueueTicket i = 0; i < 10; ++i)
        queue.push(request(i, "one"), kStart);
    for (QueueTicket i = 0; i < 10; ++i)
        EXPECT_EQ(queue.take(kStart)->ticket_, i);
    EXPECT_FALSE(queue.take(kStart).has_value());
}

TEST(FairQueue, IdleTeamAccumulatesNoCredit)
{
    FairQueue queue({});
    for (QueueTicket i = 0; i < 100; ++i)
        queue.push(request(i, "busy"), kStart);
    for (int i = 0; i < 50; ++i)
        queue.take(kStart);
    for (QueueTicket i = 100; i < 150; ++i)
        queue.push(request(i, "new"), kStart);
    int servedNew = 0;
    for (int i = 0; i < 40; ++i)
        servedNew += queue.take(kStart)->team_ == TeamName("new") ? 1 : 0;
    EXPECT_EQ(servedNew, 20);
}

TEST(FairQueue, KeepsThePositionOfARequestPutBack)
{
    FairQueue queue({});
    for (QueueTicket i = 0; i < 4; ++i)
        queue.push(request(i, i % 2 == 0 ? "one" : "two"), kStart);
    const WaitingRequest first = *queue.take(kStart);
    queue.putBack(first, kStart);
    EXPECT_EQ(queue.size(), 4U);
    EXPECT_EQ(queue.take(kStart)->ticket_, first.ticket_);
}

TEST(FairQueue, EvictsFromTheTeamWithTheLargestBacklogWhenFull)
{
    FairQueueOptions options;
    options.maxWaiting_ = 10;
    FairQueue queue(options);
    for (QueueTicket i = 0; i < 10; ++i)
        ASSERT_TRUE(queue.push(request(i, "large"), kStart).isAccepted_);
    EXPECT_FALSE(queue.push(request(10, "large"), kStart).isAccepted_);
    const FairQueue::PushResult pushed = queue.push(request(11, "small"), kStart);
    EXPECT_TRUE(pushed.isAccepted_);
    EXPECT_EQ(pushed.evicted_, QueueTicket { 9 });
    EXPECT_EQ(queue.size(), 10U);
}

TEST(FairQueue, RefusesRequestsThatWouldMissTheirDeadline)
{
    FairQueue queue({});
    TimePoint now = kStart;
    QueueTicket ticket = 0;
    // Ten requests per second are sent while 20 wait.
    for (int i = 0; i < 20; ++i)
        queue.push(request(++ticket, "one", 1, now), now);
    for (int i = 0; i < 4; ++i) {
        now += 100ms;
        queue.take(now);
        queue.push(request(++ticket, "one", 1, now), now);
    }
    const WaitingRequest late = request(++ticket, "one", 1, now);
    ASSERT_TRUE(queue.expectedWait(late, now).has_value());
    EXPECT_GT(*queue.expectedWait(late, now), 1s);
    EXPECT_FALSE(queue.push(late, now).isAccepted_);
    EXPECT_TRUE(queue.push(request(++ticket, "two", 100, now), now).isAccepted_)
        << "another team's queue is short";
}

TEST(FairQueue, ExpiresRequestsAfterTheirMaximumWait)
{
    FairQueueOptions options;
    options.maxWait_ = 300ms;
    FairQueue queue(options);
    queue.push(request(1, "one"), kStart);
    WaitingRequest urgent = request(2, "one");
    urgent.deadline_ = kStart + 50ms;
    queue.push(urgent, kStart);
    EXPECT_TRUE(queue.takeExpired(kStart + 40ms).empty());
    EXPECT_EQ(queue.takeExpired(kStart + 50ms), std::vector<QueueTicket> { 2 });
    EXPECT_EQ(queue.takeExpired(kStart + 300ms), std::vector<QueueTicket> { 1 });
    EXPECT_EQ(queue.size(), 0U);
}

TEST(SharingPolicy, ThresholdServesTheLowestProgressFirst)
{
    const SharingPolicy &policy = policyFor(Sharing::Threshold);
    EXPECT_EQ(policy.pick({ { 0, 0.4, kStart }, { 0, 0.2, kStart }, { 0, 0.9, kStart } }), 1U);
    EXPECT_EQ(policy.pick({ { 0, 0.6, kStart }, { 0, 0.7, kStart }, { 0, 0.9, kStart } }), 2U);
}

// For teams with requests waiting at all times, the cost served relative to the share differs by at
// most the cost of one request of each team. No request is lost or returned twice.
RC_GTEST_PROP(FairQueueProperty, SharesByWeightAndLosesNoRequest, ())
{
    const auto teams = *rc::gen::inRange<std::size_t>(1, 6);
    std::vector<double> shares;
    std::vector<double> costs;
    for (std::size_t i = 0; i < teams; ++i) {
        shares.push_back(*rc::gen::inRange(1, 9));
        costs.push_back(*rc::gen::inRange(1, 5));
    }
    FairQueueOptions options;
    options.maxWaiting_ = 100'000;
    options.maxWait_ = 1h;
    FairQueue queue(options);
    QueueTicket last = 0;
    std::set<QueueTicket> waiting;
    const auto push = [&](std::size_t team) {
        WaitingRequest pushed = request(++last, std::to_string(team), shares[team]);
        pushed.cost_ = costs[team];
        pushed.deadline_ = kStart + 10h;
        if (queue.push(pushed, kStart).isAccepted_)
            waiting.insert(last);
    };
    for (std::size_t team = 0; team < teams; ++team) {
        for (int i = 0; i < 3; ++i)
            push(team);
    }
    std::vector<double> served(teams, 0);
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 10));
    for (const int step : steps) {
        const WaitingRequest taken = *queue.take(kStart);
        RC_ASSERT(waiting.contains(taken.ticket_));
        if (step == 0) {
            queue.putBack(taken, kStart);
            continue;
        }
        waiting.erase(taken.ticket_);
        const auto team = static_cast<std::size_t>(std::stoi(taken.team_.str()));
        served[team] += taken.cost_;
        push(team);
        for (std::size_t a = 0; a < teams; ++a) {
            for (std::size_t b = 0; b < teams; ++b) {
                const double lead = served[a] / shares[a] - served[b] / shares[b];
                RC_ASSERT(lead <= costs[a] / shares[a] + costs[b] / shares[b] + 1e-9);
            }
        }
    }
    RC_ASSERT(queue.size() == waiting.size());
}

TEST(AdmissionQueue, EndsEveryWaitExactlyOnceWithManyThreads)
{
    FairQueueOptions options;
    options.maxWaiting_ = 50;
    AdmissionQueue queue(options);
    std::atomic<int> ended { 0 };
    std::atomic<int> refused { 0 };
    const auto pushAndAdmit = [&](const std::string &team) {
        for (int i = 0; i < 500; ++i) {
            const TimePoint now = kStart;
            const bool waits = queue.push(
                request(0, team), [&](Admission, const WaitingRequest &) { ++ended; }, now);
            refused += waits ? 0 : 1;
            if (i % 3 == 0)
                queue.admitNext(now);
        }
    };
    std::vector<std::thread> threads;
    for (const char *team : { "a", "b", "c", "d" })
        threads.emplace_back(pushAndAdmit, team);
    for (std::thread &thread : threads)
        thread.join();
    queue.expire(kStart + 1h);
    EXPECT_EQ(queue.waiting(), 0U);
    EXPECT_EQ(ended + refused, 2000);
}

} // namespace
