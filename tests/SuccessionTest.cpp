#include "pimentostage/sibling/Succession.h"
#include "pimentostage/sibling/HolderAuthority.h"
#include "pimentostage/sibling/PromiseLedger.h"
#include "pimentostage/sibling/RoleTiming.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

Member member(const std::string &name)
{
    return Member { HostName(name), Incarnation { 1 } };
}

std::vector<Member> members(std::initializer_list<const char *> names)
{
    std::vector<Member> members;
    for (const char *name : names)
        members.push_back(member(name));
    return members;
}

RoleRecord record(std::uint64_t epoch, const char *holder, std::vector<Member> members)
{
    RoleRecord record;
    record.epoch_ = Epoch { epoch };
    record.holder_ = member(holder);
    record.members_ = std::move(members);
    return record;
}

TimePoint at(Duration offset)
{
    return TimePoint(1h) + offset;
}

TEST(Succession, WaitsForTheStoreAuthorityToExpireAndForAMajorityToRelease)
{
    Succession succession(record(1, "a", members({ "a", "b", "c" })), false, at(0ms));
    succession.onReleased(member("b"), 100ms, at(10ms));
    succession.onReleased(member("c"), 0ms, at(10ms));
    EXPECT_FALSE(succession.mayAct(at(500ms)));
    EXPECT_TRUE(succession.mayAct(at(610ms)));
}

TEST(Succession, HalfOfAnEvenNumberOfMembersIsEnoughToRelease)
{
    Succession succession(record(1, "a", members({ "a", "b", "c", "d" })), false, at(0ms));
    succession.onReleased(member("b"), 0ms, at(10ms));
    EXPECT_FALSE(succession.mayAct(at(2s)));
    succession.onReleased(member("c"), 0ms, at(2s));
    EXPECT_TRUE(succession.mayAct(at(2001ms)));
}

TEST(Succession, DoesNotWaitForAReleasedRecord)
{
    RoleRecord released = record(1, "a", members({ "a", "b", "c" }));
    released.released_ = true;
    EXPECT_TRUE(Succession(released, false, at(0ms)).mayAct(at(0ms)));
}

// Host "a" acts under epoch 1 with promises of a, b and c. Host "d", partitioned from them,
// replaces its record, and "e" replaces the record of "d". The release of "d" alone does not end
// the term of "a".
TEST(Succession, IncludesTheTermsThatTheReplacedRecordInherited)
{
    const RoleRecord first = record(1, "a", members({ "a", "b", "c" }));
    RoleRecord second = record(2, "d", members({ "d" }));
    second.predecessors_ = Succession::openTerms(first);
    Succession succession(second, false, at(0ms));
    succession.onReleased(member("d"), 0ms, at(10ms));
    EXPECT_FALSE(succession.mayAct(at(5s)));
    succession.onReleased(member("b"), 0ms, at(5s));
    succession.onReleased(member("c"), 0ms, at(5s));
    EXPECT_TRUE(succession.mayAct(at(5001ms)));
}

TEST(Succession, AStepDownEndsOnlyTheTermsOfThatHolder)
{
    RoleRecord second = record(2, "d", members({ "d" }));
    second.predecessors_ = Succession::openTerms(record(1, "a", members({ "a", "b", "c" })));
    Succession succession(second, false, at(0ms));
    succession.onStepDown(member("d"), Epoch { 2 });
    EXPECT_FALSE(succession.mayAct(at(5s)));
    succession.onStepDown(member("a"), Epoch { 1 });
    EXPECT_TRUE(succession.mayAct(at(5s)));
}

TEST(HolderAuthority, OnlyTheStoreRestoresALapsedAuthority)
{
    HolderAuthority authority(members({ "a", "b", "c" }));
    authority.onStoreConfirmed(at(0ms));
    EXPECT_TRUE(authority.holds(at(599ms)));
    EXPECT_FALSE(authority.holds(at(600ms)));
    authority.onPromise(member("a"), at(590ms), at(610ms));
    authority.onPromise(member("b"), at(590ms), at(610ms));
    EXPECT_FALSE(authority.holds(at(611ms)));
    authority.onStoreConfirmed(at(620ms));
    EXPECT_TRUE(authority.holds(at(630ms)));
}

TEST(HolderAuthority, IsRenewedByPromisesOfAMajority)
{
    HolderAuthority authority(members({ "a", "b", "c" }));
    authority.onStoreConfirmed(at(0ms));
    authority.onPromise(member("a"), at(400ms), at(401ms));
    EXPECT_EQ(authority.validUntil(), at(600ms));
    authority.onPromise(member("c"), at(500ms), at(501ms));
    EXPECT_EQ(authority.validUntil(), at(1000ms));
}

TEST(HolderAuthority, NeedsMajoritiesOfBothSetsWhileTheRecordChanges)
{
    HolderAuthority authority(members({ "a", "b", "c" }));
    authority.onStoreConfirmed(at(0ms));
    authority.startReconfiguration(members({ "c", "d", "e" }));
    authority.onPromise(member("a"), at(500ms), at(501ms));
    authority.onPromise(member("b"), at(500ms), at(501ms));
    EXPECT_EQ(authority.validUntil(), at(600ms));
    authority.finishReconfiguration();
    authority.onPromise(member("c"), at(550ms), at(551ms));
    authority.onPromise(member("d"), at(550ms), at(551ms));
    EXPECT_EQ(authority.validUntil(), at(1150ms));
}

TEST(PromiseLedger, RefusesPromisesForAReleasedEpoch)
{
    PromiseLedger ledger;
    const RoleName role("coordinator/permits");
    EXPECT_TRUE(ledger.promise(role, Epoch { 1 }, at(0ms)));
    const Duration remaining = ledger.release(role, Epoch { 1 }, at(100ms));
    EXPECT_GE(remaining, kPromiseDuration - 100ms);
    EXPECT_FALSE(ledger.promise(role, Epoch { 1 }, at(200ms)));
    EXPECT_TRUE(ledger.promise(role, Epoch { 2 }, at(200ms)));
    EXPECT_FALSE(ledger.promise(role, Epoch { 1 }, at(300ms)));
}

TEST(Succession, DoesNotWaitForAHolderWhoseProcessHasEnded)
{
    Succession succession(record(1, "a", members({ "a", "b", "c" })), false, at(0ms));
    EXPECT_FALSE(succession.mayAct(at(1ms)));
    succession.onHolderStopped(member("b"));
    EXPECT_FALSE(succession.mayAct(at(1ms))) << "host b did not hold the role";
    succession.onHolderStopped(member("a"));
    EXPECT_TRUE(succession.mayAct(at(1ms)));
}

} // namespace
