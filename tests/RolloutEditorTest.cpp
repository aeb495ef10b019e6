#include "pimentostage/operator/RolloutEditor.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/FakeObjectStore.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const ServiceName kService { "huts" };
const ObjectRef kOrderRef { ObjectKind::Rollout, "huts" };
const ObjectRef kStateRef { ObjectKind::RolloutState, "huts" };

class RolloutEditorTest : public testing::Test
{
protected:
    ChangeOutcome start(const std::string &target, const std::string &id)
    {
        return valueOr(
            [&]() -> leaf::result<ChangeOutcome> {
                BOOST_LEAF_AUTO(change, startRollout(editor_, { kService, target, 12s }, id));
                return change.outcome_;
            },
            [](const Error &) { return ChangeOutcome::NotWritten; });
    }

    std::string status()
    {
        return valueOr([&] { return describeRollout(editor_, kService); },
                       [](const Error &error) { return error.describe(); });
    }

    Rollout stored() const
    {
        return valueOr(
            [&]() -> leaf::result<Rollout> {
                return parseRollout("huts", store_.find(kOrderRef).value_);
            },
            [](const Error &) { return Rollout {}; });
    }

    FakeObjectStore store_;
    ConfigEditor editor_ { store_, "change-1" };
};

// Guards against an order that counts as the former one, which was rolled back.
TEST_F(RolloutEditorTest, ARepeatedOrderIsANewOne)
{
    EXPECT_EQ(start("v2", "a"), ChangeOutcome::Written);
    const Rollout first = stored();
    EXPECT_EQ(start("v2", "b"), ChangeOutcome::Written);
    EXPECT_FALSE(stored().isSameOrder(first));
    EXPECT_EQ(stored().order_.target_, "v2");
    EXPECT_EQ(stored().order_.duration_, 12s);
}

TEST_F(RolloutEditorTest, RejectsAnOrderWithoutAVersion)
{
    EXPECT_EQ(start("", "a"), ChangeOutcome::NotWritten);
    EXPECT_TRUE(store_.find(kOrderRef).deleted_);
}

TEST_F(RolloutEditorTest, DescribesARollout)
{
    EXPECT_EQ(status(), "huts: no roll-out");
    start("v2", "a");
    EXPECT_EQ(status(), "huts: ordered, target v2, not begun");
    RolloutState state;
    state.rollout_ = stored();
    state.current_ = "v1";
    store_.set(kStateRef, formatRolloutState(state));
    EXPECT_EQ(status(), "huts: running, phase observing, target v2, in force v1");
    state.phase_ = RolloutPhase::RolledBack;
    store_.set(kStateRef, formatRolloutState(state));
    EXPECT_EQ(status(), "huts: running, phase rolled-back, target v2, in force v1");
    state.phase_ = RolloutPhase::Complete;
    state.isReported_ = true;
    store_.set(kStateRef, formatRolloutState(state));
    EXPECT_EQ(status(), "huts: complete, phase complete, target v2, in force v2");
    start("v2", "b");
    EXPECT_EQ(status(), "huts: ordered, target v2, not begun");
    EXPECT_TRUE(valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(editor_.remove(kOrderRef));
            return true;
        },
        [](const Error &) { return false; }));
    EXPECT_EQ(status(), "huts: no order; last: complete, phase complete, target v2, in force v2");
}

} // namespace
