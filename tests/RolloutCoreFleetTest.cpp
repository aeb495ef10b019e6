#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/CoreFleet.h"

#include <memory>
#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 3;
constexpr std::uint64_t kSeed = 517'274;
const ServiceName kService { "plain" };
const ObjectRef kStateRef { ObjectKind::RolloutState, kService.str() };

/// Orders a roll-out to a version without back ends in a fleet of whole control cores.
class RolloutCoreFleetTest : public testing::Test
{
protected:
    void start(double maxShare)
    {
        ControlOptions options;
        options.rollout_ = RolloutLimits { maxShare, 50, 5s, 0, {} };
        fleet_ = std::make_unique<CoreFleet>(kHosts, kSeed, none_, options);
        const auto observe = fleet_->store().onWrite_;
        fleet_->store().onWrite_ = [this, observe](const StoredObject &object) {
            observe(object);
            onWrite(object);
        };
        fleet_->run(10s);
        fleet_->store().set({ ObjectKind::Rollout, kService.str() },
                            formatRollout({ { kService, "v2", 10s }, "" }));
    }

    void onWrite(const StoredObject &object)
    {
        hasRole_ = hasRole_ || object.ref_ == ObjectRef { ObjectKind::Role, "rollouts" };
        if (object.ref_ != kStateRef)
            return;
        states_.push_back(valueOr(
            [&]() -> leaf::result<RolloutState> {
                return parseRolloutState(kService.str(), object.value_);
            },
            [](const Error &) { return RolloutState {}; }));
    }

    const InjectedFault none_ {};
    std::unique_ptr<CoreFleet> fleet_;
    std::vector<RolloutState> states_;
    bool hasRole_ = false;
};

// Guards against a control core that does not pass on roles, configuration or ticks.
TEST_F(RolloutCoreFleetTest, AHolderIsElectedAndRecordsTheRollout)
{
    start(0.1);
    fleet_->run(3s);
    EXPECT_TRUE(hasRole_);
    ASSERT_EQ(states_.size(), 1U);
    EXPECT_EQ(states_.back().phase_, RolloutPhase::Observing);
    fleet_->run(6s);
    ASSERT_EQ(states_.size(), 3U);
    EXPECT_EQ(states_.back().phase_, RolloutPhase::RolledBack);
    EXPECT_TRUE(states_.back().isReported_);
}

// Guards against a role that no host can take any more once it was given up after a roll-out.
TEST_F(RolloutCoreFleetTest, TheRoleIsTakenAgainForTheNextRollout)
{
    start(0.1);
    fleet_->run(12s);
    for (int i = 0; i < 3; ++i) {
        const std::size_t before = states_.size();
        ASSERT_TRUE(states_.back().isReported_) << i;
        fleet_->store().set({ ObjectKind::Rollout, kService.str() },
                            formatRollout({ { kService, "v2", 10s }, std::to_string(i) }));
        fleet_->run(2s);
        ASSERT_EQ(states_.size(), before + 1) << i;
        EXPECT_EQ(states_.back().phase_, RolloutPhase::Observing) << i;
        fleet_->run(10s);
    }
}

// Guards against a holder whose loss ends a roll-out.
TEST_F(RolloutCoreFleetTest, AnotherHostContinuesAfterAFailure)
{
    start(0.1);
    fleet_->run(2s);
    ASSERT_EQ(states_.size(), 1U);
    for (std::size_t host = 0; host + 1 < kHosts; ++host) {
        fleet_->pauseHost(host, true);
        fleet_->run(200ms);
        fleet_->pauseHost(host, false);
        fleet_->restartHost(host);
        fleet_->run(2s);
    }
    fleet_->run(12s);
    ASSERT_FALSE(states_.empty());
    EXPECT_EQ(states_.back().phase_, RolloutPhase::RolledBack);
    EXPECT_TRUE(states_.back().isReported_);
}

// Guards against roles and calls to the store where roll-outs are off.
TEST_F(RolloutCoreFleetTest, NothingHappensByDefault)
{
    start(0);
    fleet_->run(9s);
    EXPECT_FALSE(hasRole_);
    EXPECT_TRUE(states_.empty());
}

} // namespace
