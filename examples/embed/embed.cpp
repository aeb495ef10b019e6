// Uses a lease and an allowance without the daemon. Messages are plain values and times are
// arguments; the embedding program transports the messages.

#include <pimentostage/backend/ServerLease.h>
#include <pimentostage/sibling/AllowanceAllocator.h>
#include <pimentostage/sibling/LocalTokenBucket.h>

#include <iostream>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

/// A server that may serve shard 7 only until its lease expires.
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

    // The first reply only provides the server's stamp; the lease of the second grant is counted
    // from it.
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

/// Two hosts that spend from one allowance of 10 per second with a burst of 20.
bool showAllowance(TimePoint now)
{
    const AccountName account("team/caxias");
    AllowanceAllocator allocator({ 10, 20 }, { Epoch { 1 }, now, now }, now);
    LocalTokenBucket north(account);
    LocalTokenBucket south(account);
    int spent = 0;
    for (int i = 0; i < 100; ++i) {
        for (LocalTokenBucket *bucket : { &north, &south }) {
            const auto count
                = [&spent](SpendResult result) { spent += result == SpendResult::Spent ? 1 : 0; };
            const SpendResult result = bucket->spend(1, now, count);
            if (result == SpendResult::Waiting) {
                const HostName host(bucket == &north ? "north" : "south");
                bucket->applyLease(
                    allocator.allocate(host, bucket->request(now), now).allowanceLease_, now, now);
            } else {
                count(result);
            }
        }
        now += 10ms;
    }
    std::cout << "spent of 200 requested in 1 s: " << spent << '\n';
    return spent <= 30;
}

} // namespace

int main()
{
    const TimePoint now = BootClock::now();
    return showLease(now) && showAllowance(now) ? 0 : 1;
}
