// Uses a lease and an allowance without the daemon: all messages are plain values, all times are
// arguments, and how they travel is the embedding program's affair.

#include <pimentostage/backend/ServerLease.h>
#include <pimentostage/sibling/AllowanceAllocator.h>
#include <pimentostage/sibling/LocalTokenBucket.h>

#include <iostream>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

/// A server that may serve shard 7 only while its lease lasts.
bool showLease(TimePoint now)
{
    ServerLease lease(Incarnation { 1 });
    Grant grant;
    grant.service_ = ServiceName("permits");
    grant.roleEpoch_ = Epoch { 1 };
    grant.sequence_ = 1;
    grant.lease_ = kServerLeaseDuration;
    grant.units_ = GrantedUnits { { UnitName("s7"), Epoch { 4 } } };
    grant.unitsDigest_ = digestOf(*grant.units_);

    // The first reply only tells the server's stamp; the second grant counts from it.
    const GrantReply first = lease.apply(grant, now);
    std::cout << "first grant: " << toString(first.result_) << '\n';
    grant.stamp_ = first.stamp_;
    grant.sequence_ = 2;
    const GrantReply second = lease.apply(grant, now + 1ms);
    std::cout << "second grant: " << toString(second.result_) << '\n';

    const bool servesNow = lease.covers(UnitName("s7"), Epoch { 4 }, now + 1s);
    const bool servesLater = lease.covers(UnitName("s7"), Epoch { 4 }, now + 2s);
    std::cout << "serves after 1 s: " << servesNow << ", after 2 s: " << servesLater << '\n';
    return servesNow && !servesLater;
}

/// Two hosts that spend from one contract of 10 a second with a burst of 20.
bool showAllowance(TimePoint now)
{
    const AccountName account("team/caxias");
    AllowanceAllocator lender({ 10, 20 }, { Epoch { 1 }, now, now }, now);
    LocalTokenBucket north(account);
    LocalTokenBucket south(account);
    int spent = 0;
    for (int i = 0; i < 100; ++i) {
        for (LocalTokenBucket *purse : { &north, &south }) {
            const auto count
                = [&spent](SpendResult result) { spent += result == SpendResult::Spent ? 1 : 0; };
            const SpendResult result = purse->spend(1, now, count);
            if (result == SpendResult::Waiting) {
                const HostName host(purse == &north ? "north" : "south");
                purse->applyLease(lender.allocate(host, purse->request(now), now).allowanceLease_,
                                  now, now);
            } else {
                count(result);
            }
        }
        now += 10ms;
    }
    std::cout << "spent of 200 asked in 1 s: " << spent << '\n';
    return spent <= 30;
}

} // namespace

int main()
{
    const TimePoint now = BootClock::now();
    return showLease(now) && showAllowance(now) ? 0 : 1;
}
