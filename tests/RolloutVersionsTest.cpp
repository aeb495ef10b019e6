#include "pimentostage/backend/ServiceVersions.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

class RolloutVersionsTest : public testing::Test
{
protected:
    RolloutVersionsTest()
    {
        Service service;
        service.name_ = service_;
        configuration_.services_[service_] = service;
    }

    void addBackends(const std::string &version, int count)
    {
        for (int i = 0; i < count; ++i) {
            Backend backend;
            backend.name_ = BackendName(version + '-' + std::to_string(i));
            backend.service_ = service_;
            backend.version_ = version;
            configuration_.backends_[backend.name_] = backend;
        }
    }

    void removeBackends(const std::string &version)
    {
        std::erase_if(configuration_.backends_,
                      [&](const auto &entry) { return entry.second.version_ == version; });
    }

    void order(const std::string &target)
    {
        rollout_.order_ = { service_, target, 12s };
        configuration_.rollouts_[service_] = rollout_;
    }

    void setState(RolloutPhase phase, double share = 0)
    {
        RolloutState state;
        state.rollout_ = rollout_;
        state.current_ = "v1";
        state.phase_ = phase;
        state.share_ = share;
        configuration_.rolloutStates_[service_] = state;
    }

    std::size_t withheld(const std::string &version)
    {
        versions_.update(configuration_);
        return count(versions_.withheld(configuration_), version);
    }

    std::size_t withheldFromKeys(const std::string &version)
    {
        versions_.update(configuration_);
        return count(versions_.withheldFromKeys(configuration_), version);
    }

    static std::size_t count(const std::set<std::string> &names, const std::string &version)
    {
        return static_cast<std::size_t>(
            std::count_if(names.begin(), names.end(),
                          [&](const auto &name) { return name.starts_with(version); }));
    }

    const ServiceName service_ { "huts" };
    Configuration configuration_;
    Rollout rollout_;
    ServiceVersions versions_;
};

// Guards against requests to back ends that were started for a roll-out that is not ordered yet.
TEST_F(RolloutVersionsTest, TheVersionOfMostBackEndsIsInForceAtFirst)
{
    addBackends("v1", 3);
    EXPECT_EQ(withheld("v1"), 0U);
    addBackends("v2", 5);
    EXPECT_EQ(withheld("v1"), 0U);
    EXPECT_EQ(withheld("v2"), 5U);
}

// Guards against a host that starts in the middle of a roll-out and takes the new version, which
// has as many back ends, for the one in force.
TEST_F(RolloutVersionsTest, AnOrderedVersionIsNotInForceAtFirst)
{
    addBackends("v1", 3);
    addBackends("v2", 5);
    order("v2");
    EXPECT_EQ(withheld("v1"), 0U);
    EXPECT_EQ(withheld("v2"), 5U);
}

TEST_F(RolloutVersionsTest, BothVersionsAreAllowedWhileARollOutRuns)
{
    addBackends("v1", 3);
    addBackends("v2", 3);
    addBackends("v3", 1);
    order("v2");
    for (const RolloutPhase phase : { RolloutPhase::Observing, RolloutPhase::Switching }) {
        setState(phase);
        EXPECT_EQ(withheld("v1"), 0U);
        EXPECT_EQ(withheld("v2"), 0U);
        EXPECT_EQ(withheld("v3"), 1U);
    }
}

// Guards against a host that learns of an order before its holder has begun it.
TEST_F(RolloutVersionsTest, TheTargetOfAnotherOrderIsNotAllowed)
{
    addBackends("v1", 3);
    addBackends("v2", 3);
    addBackends("v3", 3);
    order("v2");
    setState(RolloutPhase::Observing);
    order("v3");
    EXPECT_EQ(withheld("v2"), 3U);
    EXPECT_EQ(withheld("v3"), 3U);
}

TEST_F(RolloutVersionsTest, OnlyOneVersionIsAllowedAfterARollOut)
{
    addBackends("v1", 3);
    addBackends("v2", 3);
    order("v2");
    setState(RolloutPhase::Complete);
    EXPECT_EQ(withheld("v1"), 3U);
    EXPECT_EQ(withheld("v2"), 0U);
    setState(RolloutPhase::RolledBack);
    EXPECT_EQ(withheld("v1"), 0U);
    EXPECT_EQ(withheld("v2"), 3U);
}

// Guards against a service without requests after its operators replaced all back ends outside a
// roll-out.
TEST_F(RolloutVersionsTest, AVersionWithoutBackEndsIsNotInForceIfNoRollOutSetIt)
{
    addBackends("v1", 3);
    EXPECT_EQ(withheld("v1"), 0U);
    removeBackends("v1");
    addBackends("v2", 3);
    EXPECT_EQ(withheld("v2"), 0U);
}

// Guards against a service without requests after a store was restored from a copy that was made
// before a roll-out, or after the back ends of the version in force were all removed.
TEST_F(RolloutVersionsTest, SomeVersionIsInForceIfTheOneOfTheLastRollOutHasNoBackEnds)
{
    addBackends("v2", 3);
    addBackends("v3", 1);
    order("v2");
    setState(RolloutPhase::RolledBack);
    EXPECT_EQ(withheld("v2"), 3U) << "the ordered version comes last";
    EXPECT_EQ(withheld("v3"), 0U);
    removeBackends("v3");
    EXPECT_EQ(withheld("v2"), 0U);
    addBackends("v1", 1);
    EXPECT_EQ(withheld("v1"), 0U);
    EXPECT_EQ(withheld("v2"), 3U);
}

TEST_F(RolloutVersionsTest, KeysMoveToTheTargetInStepsWhileSwitching)
{
    configuration_.services_[service_].keyed_ = true;
    addBackends("v1", 8);
    addBackends("v2", 8);
    order("v2");
    setState(RolloutPhase::Observing);
    EXPECT_EQ(withheldFromKeys("v1"), 0U);
    EXPECT_EQ(withheldFromKeys("v2"), 8U);
    setState(RolloutPhase::Switching, 0.25);
    EXPECT_EQ(withheldFromKeys("v1"), 2U);
    EXPECT_EQ(withheldFromKeys("v2"), 0U);
    setState(RolloutPhase::Switching, 1);
    EXPECT_EQ(withheldFromKeys("v1"), 8U);
    setState(RolloutPhase::RolledBack);
    EXPECT_EQ(withheldFromKeys("v1"), 0U);
    EXPECT_EQ(withheldFromKeys("v2"), 8U);
}

} // namespace
