#include "pimentostage/sibling/HolderAuthority.h"
#include "pimentostage/sibling/RoleTiming.h"
#include "pimentostage/sibling/Succession.h"
#include "pimentostage/sibling/TermRules.h"
#include "tests/fakes/RoleSimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

// The platform's bound on recovery.
constexpr Duration kRecoveryBound = 15s;

/// Host 0 claims the role while the others are down, so that it is the only voter in its record,
/// as in a rolling restart. The others are back when this returns.
void startWithASoleVoter(RoleSimulation &simulation)
{
    for (std::size_t i = 1; i < simulation.hosts(); ++i)
        simulation.kill(i);
    simulation.run(200ms);
    ASSERT_EQ(simulation.holder(), 0U);
    ASSERT_EQ(simulation.store_.record_->members_.size(), 1U);
    for (std::size_t i = 1; i < simulation.hosts(); ++i)
        simulation.restart(i);
}

/// @return whether a host acts in the role at the end of @p duration.
bool isServedAfter(RoleSimulation &simulation, Duration duration)
{
    simulation.run(duration);
    return simulation.holder().has_value();
}

// Guards against a role that is vacant for good because the only voter of its record is lost
// (review/11): no host claimed it, and all requests were refused.
TEST(LostVoters, ASoleVoterThatIsLostForGoodIsReplaced)
{
    for (std::size_t hosts = 2; hosts <= 8; ++hosts) {
        RoleSimulation simulation(hosts);
        startWithASoleVoter(simulation);
        simulation.kill(0);
        simulation.add();
        EXPECT_TRUE(isServedAfter(simulation, kRecoveryBound)) << hosts;
        EXPECT_EQ(simulation.maxHolders_, 1U) << hosts;
    }
}

// The same, and all processes are killed and started again while the successor waits.
TEST(LostVoters, ASoleVoterIsReplacedThoughAllProcessesRestart)
{
    for (Duration wait = 500ms; wait < 12s; wait += 500ms) {
        RoleSimulation simulation(3);
        startWithASoleVoter(simulation);
        simulation.kill(0);
        simulation.run(wait);
        simulation.restart(1);
        simulation.restart(2);
        EXPECT_TRUE(isServedAfter(simulation, kRecoveryBound)) << toMilliseconds(wait);
        EXPECT_EQ(simulation.maxHolders_, 1U) << toMilliseconds(wait);
    }
}

// A sole voter that is cut off looks like a lost one to the others. It must not act beside its
// successor, whenever the cut ends.
TEST(LostVoters, ASoleVoterThatIsCutOffNeverActsBesideItsSuccessor)
{
    for (Duration length = 500ms; length < 14s; length += 250ms) {
        RoleSimulation simulation(3);
        startWithASoleVoter(simulation);
        simulation.cut(0, true);
        simulation.cutFromStore(0, true);
        simulation.run(length);
        simulation.cut(0, false);
        simulation.cutFromStore(0, false);
        EXPECT_TRUE(isServedAfter(simulation, 3s)) << toMilliseconds(length);
        EXPECT_EQ(simulation.maxHolders_, 1U) << toMilliseconds(length);
    }
}

// As above, for a sole voter that is frozen.
TEST(LostVoters, AFrozenSoleVoterNeverActsBesideItsSuccessor)
{
    for (Duration length = 500ms; length < 14s; length += 250ms) {
        RoleSimulation simulation(3);
        startWithASoleVoter(simulation);
        simulation.pause(0, true);
        simulation.run(length);
        simulation.pause(0, false);
        EXPECT_TRUE(isServedAfter(simulation, 3s)) << toMilliseconds(length);
        EXPECT_EQ(simulation.maxHolders_, 1U) << toMilliseconds(length);
    }
}

// Guards against a takeover from a holder that serves: it is only partitioned from the other hosts.
TEST(LostVoters, AHolderInTouchWithTheStoreAnswersEachChallenge)
{
    RoleSimulation simulation(3);
    startWithASoleVoter(simulation);
    simulation.cut(0, true);
    const Epoch epoch = simulation.store_.record_->epoch_;
    std::size_t challenges = 0;
    for (int i = 0; i < 8000; ++i) {
        const bool wasChallenged = !simulation.store_.record_->challenger_.isEmpty();
        simulation.run(5ms);
        ASSERT_EQ(simulation.holder(), 0U) << i;
        const bool isChallenged = !simulation.store_.record_->challenger_.isEmpty();
        challenges += isChallenged && !wasChallenged ? 1 : 0;
    }
    EXPECT_EQ(simulation.store_.record_->epoch_, epoch);
    EXPECT_GE(challenges, 1U);
    EXPECT_LE(challenges, 40U) << "each of two hosts challenges at most once in 2 s";
    EXPECT_EQ(simulation.maxHolders_, 1U);
}

// Guards against the same fault with more voters: most of them are lost at once, the holder among
// them.
TEST(LostVoters, SurvivorsTakeOverAfterTheLossOfMostHosts)
{
    struct Loss
    {
        std::size_t hosts_;
        std::size_t lost_;
    };
    for (const Loss &loss : { Loss { 3, 2 }, Loss { 4, 3 }, Loss { 5, 3 }, Loss { 8, 5 } }) {
        for (std::size_t first = 0; first < loss.hosts_; ++first) {
            RoleSimulation simulation(loss.hosts_);
            simulation.run(4s);
            for (std::size_t i = 0; i < loss.lost_; ++i)
                simulation.kill((first + i) % loss.hosts_);
            for (std::size_t i = 0; i < loss.lost_; ++i)
                simulation.add();
            EXPECT_TRUE(isServedAfter(simulation, kRecoveryBound))
                << loss.hosts_ << ' ' << loss.lost_ << ' ' << first;
            EXPECT_EQ(simulation.maxHolders_, 1U);
        }
    }
}

// A partition has the holder and most voters on a side without the store. The other side, which
// has it, cannot tell that from a loss.
TEST(LostVoters, AHolderCutOffWithMostVotersStopsBeforeTheOtherSideActs)
{
    for (const std::size_t others : { 1U, 2U, 3U }) {
        RoleSimulation simulation(7);
        simulation.run(4s);
        const std::size_t holder = simulation.holder().value();
        for (std::size_t i = 0; i < 7; ++i) {
            const bool isOnOtherSide = i != holder && (i + 7 - holder) % 7 <= others;
            simulation.setSide(i, isOnOtherSide ? 1 : 0);
            simulation.cutFromStore(i, !isOnOtherSide);
        }
        simulation.run(9s);
        EXPECT_EQ(simulation.holder(), holder);
        simulation.run(6s);
        ASSERT_TRUE(simulation.holder());
        const bool isTakenOver = *simulation.holder() != holder;
        EXPECT_EQ(isTakenOver, others >= 2) << "one voter cannot support a successor";
        EXPECT_EQ(simulation.maxHolders_, 1U);
    }
}

RC_GTEST_PROP(LostVotersProperty, NeverHasTwoHoldersAndIsSucceeded, ())
{
    const std::size_t kMaxHosts = 10;
    const auto hosts = *rc::gen::inRange<std::size_t>(2, 8);
    RoleSimulation simulation(hosts);
    const bool startsAlone = *rc::gen::arbitrary<bool>();
    if (startsAlone)
        startWithASoleVoter(simulation);
    else
        simulation.run(2s);
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        14, rc::gen::tuple(rc::gen::inRange(0, 14), rc::gen::inRange(0, 100),
                           rc::gen::inRange(0, 6000)));
    for (const auto &[fault, number, wait] : steps) {
        const std::size_t host = static_cast<std::size_t>(number) % simulation.hosts();
        const std::size_t acting = simulation.holder().value_or(host);
        switch (fault) {
        case 0:
            simulation.pause(host, number % 2 == 0);
            break;
        case 1:
            simulation.pause(acting, true);
            break;
        case 2:
            simulation.pause(acting, false);
            break;
        case 3:
            simulation.cut(acting, true);
            simulation.cutFromStore(acting, true);
            break;
        case 4:
            simulation.cutFromStore(acting, number % 2 == 0);
            break;
        case 5:
            simulation.setSide(host, 1 - number % 2);
            break;
        case 6:
            simulation.setSide(host, 1);
            simulation.cutFromStore(host, true);
            break;
        case 7:
            simulation.repairAll();
            break;
        case 8:
            simulation.kill(host);
            break;
        case 9:
            simulation.kill(acting);
            break;
        case 10:
            simulation.restart(host);
            break;
        case 11:
            if (simulation.hosts() < kMaxHosts)
                simulation.add();
            break;
        case 12:
            simulation.store_.faults_.down_ = !simulation.store_.faults_.down_;
            break;
        default:
            simulation.store_.faults_.losesAnswers_ = !simulation.store_.faults_.losesAnswers_;
            break;
        }
        simulation.run(std::chrono::milliseconds(wait));
        RC_ASSERT(simulation.maxHolders_ <= 1U);
    }
    simulation.repairAll();
    bool isAnyAlive = false;
    for (std::size_t i = 0; i < simulation.hosts(); ++i)
        isAnyAlive = isAnyAlive || !simulation.isDead(i);
    const bool isExpected = isAnyAlive && simulation.canBeSucceeded();
    simulation.run(kRecoveryBound);
    RC_ASSERT(!isExpected || simulation.holder().has_value());
    RC_ASSERT(simulation.maxHolders_ <= 1U);
}

Member member(const std::string &name)
{
    return Member { HostName(name), Incarnation { 1 } };
}

std::vector<Member> members(std::size_t count)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < count; ++i)
        members.push_back(member(std::string(1, static_cast<char>('a' + i))));
    return members;
}

TimePoint at(Duration offset)
{
    return TimePoint(1h) + offset;
}

/// @return until when the holder of a term acts whose store answers last at 0 and of whose
///         @p count members @p promising renew their promises for a minute.
Duration actsFor(TermRule rule, std::size_t count, std::size_t promising)
{
    HolderAuthority authority(members(count), rule);
    authority.onStoreConfirmed(at(0ms));
    for (Duration now = 100ms; now < 60s; now += 200ms) {
        for (std::size_t i = 0; i < promising; ++i)
            authority.onPromise(members(count)[i], at(now), at(now + 1ms));
    }
    return authority.validUntil() - at(0ms);
}

// Guards against a holder and a successor that read a rule differently: the holder acts as long as
// the successor has to wait, and not longer.
TEST(TermRules, TheHolderStopsWhenItsSuccessorMayAct)
{
    for (const TermRule rule : { TermRule::Majority, TermRule::Bounded, TermRule::Extended }) {
        for (std::size_t count = 1; count <= kMaxVoters; ++count) {
            for (std::size_t promising = 0; promising <= count; ++promising) {
                RoleRecord record;
                record.epoch_ = Epoch { 1 };
                record.holder_ = member("a");
                record.members_ = members(count);
                record.rule_ = rule;
                Succession succession(record, false, at(0ms));
                for (std::size_t i = promising; i < count; ++i)
                    succession.onReleased(members(count)[i], 0ms, at(0ms));
                Duration waited = 0ms;
                while (waited < 70s && !succession.mayAct(at(waited)))
                    waited += 100ms;
                const Duration acts = actsFor(rule, count, promising);
                EXPECT_LE(acts, waited) << toString(rule) << ' ' << count << ' ' << promising;
                if (acts < 60s) {
                    EXPECT_LT(waited, acts + 1s)
                        << toString(rule) << ' ' << count << ' ' << promising;
                }
            }
        }
    }
}

TEST(TermRules, ATermIsExtendedOnlyIfItsMembersNearlyCoverTheFleet)
{
    EXPECT_EQ(ruleFor(1, 1), TermRule::Bounded);
    EXPECT_EQ(ruleFor(2, 2), TermRule::Bounded);
    EXPECT_EQ(ruleFor(3, 3), TermRule::Extended);
    EXPECT_EQ(ruleFor(3, 8), TermRule::Bounded);
    EXPECT_EQ(ruleFor(2, 3), TermRule::Bounded);
    EXPECT_EQ(ruleFor(4, 5), TermRule::Extended);
    EXPECT_EQ(ruleFor(5, 8), TermRule::Bounded);
    EXPECT_EQ(ruleFor(6, 8), TermRule::Extended);
    EXPECT_EQ(ruleFor(7, 8), TermRule::Extended);
    EXPECT_EQ(ruleFor(7, 195), TermRule::Extended);
}

// The successor's wait is counted from the challenge, not from its claim.
TEST(TermRules, ASuccessorCountsItsWaitFromTheChallenge)
{
    RoleRecord record;
    record.epoch_ = Epoch { 1 };
    record.holder_ = member("a");
    record.members_ = members(1);
    record.rule_ = TermRule::Bounded;
    EXPECT_FALSE(Succession(record, false, at(10s)).mayAct(at(11s)));
    EXPECT_TRUE(Succession(record, false, at(10s), at(0s)).mayAct(at(11s)));
}

} // namespace
