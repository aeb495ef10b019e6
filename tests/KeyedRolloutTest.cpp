#include "pimentostage/backend/KeyedRollout.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

class KeyedRolloutTest : public testing::Test
{
protected:
    RolloutVerdict run(Duration duration)
    {
        RolloutVerdict verdict;
        for (const TimePoint end = now_ + duration; now_ < end; now_ += 50ms)
            verdict = rollout_.decide(progress_, now_);
        return verdict;
    }

    TimePoint now_ { 1h };
    const RolloutOrder order_ { ServiceName("huts"), "v2", 14s };
    KeyedRollout rollout_ { order_, now_ };
    KeyedProgress progress_ { 8, 8, 0, 100, 100 };
};

TEST_F(KeyedRolloutTest, MovesKeysInStepsAndCompletesWhenNoneIsLeft)
{
    EXPECT_EQ(run(KeyedRollout::kReadyTime).phase_, RolloutPhase::Observing);
    double share = 0;
    while (share < 1) {
        const RolloutVerdict verdict = run(50ms);
        ASSERT_EQ(verdict.phase_, RolloutPhase::Switching);
        EXPECT_LE(verdict.share_, share + KeyedRollout::kMaxStepShare);
        share = verdict.share_;
        progress_.unitsAtCurrent_ = static_cast<std::size_t>(100 * (1 - share));
    }
    EXPECT_EQ(run(KeyedRollout::kDrainTime / 2).phase_, RolloutPhase::Switching);
    EXPECT_EQ(run(KeyedRollout::kDrainTime).phase_, RolloutPhase::Complete);
}

// Guards against `complete` while a back end of the former version still owns a key.
TEST_F(KeyedRolloutTest, IsRolledBackAtItsTimeIfAKeyHasNotMoved)
{
    run(5s);
    progress_.unitsAtCurrent_ = 1;
    EXPECT_EQ(run(8s).phase_, RolloutPhase::Switching);
    const RolloutVerdict verdict = run(2s);
    EXPECT_EQ(verdict.phase_, RolloutPhase::RolledBack);
    EXPECT_EQ(verdict.reason_, RolloutReason::NotSwitched);
}

// Guards against keys that move to a version whose back ends are not there, or not ready.
TEST_F(KeyedRolloutTest, IsRolledBackIfTheTargetIsNotReady)
{
    progress_.ready_ = 3;
    EXPECT_EQ(run(9s).phase_, RolloutPhase::Observing);
    EXPECT_EQ(run(3s).phase_, RolloutPhase::RolledBack);
}

TEST_F(KeyedRolloutTest, ABackEndThatIsNotReadyDelaysTheSwitch)
{
    progress_.unready_ = 1;
    EXPECT_EQ(run(5s).phase_, RolloutPhase::Observing);
    progress_.unready_ = 0;
    EXPECT_EQ(run(KeyedRollout::kReadyTime).phase_, RolloutPhase::Observing);
    EXPECT_EQ(run(200ms).phase_, RolloutPhase::Switching);
}

TEST_F(KeyedRolloutTest, IsRolledBackIfTheTargetFailsWhileSwitching)
{
    EXPECT_EQ(run(3s).phase_, RolloutPhase::Switching);
    progress_.ready_ = 2;
    const RolloutVerdict verdict = run(50ms);
    EXPECT_EQ(verdict.phase_, RolloutPhase::RolledBack);
    EXPECT_EQ(verdict.share_, 0);
}

TEST_F(KeyedRolloutTest, SwitchesOnlyWhileItMay)
{
    rollout_.allowSwitching(false);
    EXPECT_EQ(run(8s).phase_, RolloutPhase::Observing);
    rollout_.allowSwitching(true);
    EXPECT_EQ(run(50ms).phase_, RolloutPhase::Switching);
    rollout_.abort();
    EXPECT_EQ(run(50ms).reason_, RolloutReason::Aborted);
}

// Guards against a new holder that moves the keys back and forth.
TEST_F(KeyedRolloutTest, ContinuesWithTheRecordedShare)
{
    rollout_.resume(RolloutPhase::Switching, 0.75, now_);
    progress_.unitsAtCurrent_ = 25;
    const RolloutVerdict verdict = run(50ms);
    EXPECT_EQ(verdict.phase_, RolloutPhase::Switching);
    EXPECT_EQ(verdict.share_, 0.75);
}

// Guards against `complete` while a key is on its way from a back end of the former version, which
// stops at once.
TEST(KeyedRolloutProgress, CountsKeysThatMayStillBeHeldByTheFormerVersion)
{
    Configuration configuration;
    const ServiceName service("huts");
    for (const char *version : { "v1", "v2" }) {
        for (const char *number : { "-0", "-1" }) {
            Backend backend;
            backend.name_ = BackendName(std::string(version) + number);
            backend.service_ = service;
            backend.version_ = version;
            configuration.backends_[backend.name_] = backend;
        }
    }
    configuration.backends_[BackendName("v2-1")].state_ = BackendState::Draining;
    RangePlacement placement;
    const BackendProcess former { BackendName("v1-0"), Incarnation { 1 } };
    const BackendProcess target { BackendName("v2-0"), Incarnation { 2 } };
    placement.ranges_ = { { { 0, 99 }, former, Epoch { 1 }, {} },
                          { { 100, 299 }, target, Epoch { 1 }, former },
                          { { 300, kLastOrderedKey }, target, Epoch { 1 }, {} } };
    configuration.ranges_[service] = std::make_shared<const RangePlacement>(placement);
    const KeyedProgress progress = keyedProgress(configuration, { service, "v2", 12s });
    EXPECT_EQ(progress.current_, 2U);
    EXPECT_EQ(progress.ready_, 1U);
    EXPECT_EQ(progress.unready_, 1U);
    EXPECT_EQ(progress.units_, kLastOrderedKey + 1U);
    EXPECT_EQ(progress.unitsAtCurrent_, 300U);
}

} // namespace
