#include "pimentostage/operator/ConfigEditor.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/FakeObjectStore.h"

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

const ObjectRef kZone { ObjectKind::Zone, "serra-a" };

std::string zoneValue(ZoneState state)
{
    return formatZone(Zone { ZoneName("serra-a"), state, {} });
}

class ConfigEditorTest : public testing::Test
{
protected:
    ChangeReport apply(ZoneState state, std::optional<Version> expected = std::nullopt)
    {
        return valueOr(
            [&]() -> leaf::result<ChangeReport> {
                return editor_.apply(kZone, zoneValue(state), expected);
            },
            [](const Error &error) {
                ADD_FAILURE() << error.describe();
                return ChangeReport {};
            });
    }

    bool storeContains(ZoneState state) const
    {
        return ConfigEditor::isSameValue(store_.find(kZone).value_, zoneValue(state));
    }

    FakeObjectStore store_;
    ConfigEditor editor_ { store_, "change-1" };
};

TEST_F(ConfigEditorTest, WritesAChangeAndSkipsAnEqualValue)
{
    EXPECT_EQ(apply(ZoneState::Out).outcome_, ChangeOutcome::Written);
    EXPECT_EQ(apply(ZoneState::Out).outcome_, ChangeOutcome::Unchanged);
    EXPECT_TRUE(storeContains(ZoneState::Out));
}

// Guards against an object that the store refuses for its size after the operator was told
// otherwise.
TEST_F(ConfigEditorTest, DoesNotWriteAValueThatIsTooLarge)
{
    Contract contract;
    contract.rate_ = 1;
    contract.burst_ = 1;
    contract.connections_ = 1;
    contract.kinds_ = { std::string(kMaxObjectBytes, 'k') };
    const ObjectRef ref { ObjectKind::Contract, "caxias" };
    const std::string value = formatContract(contract);
    const ErrorCode code = valueOr(
        [&]() -> leaf::result<ErrorCode> {
            BOOST_LEAF_CHECK(editor_.apply(ref, value));
            return ErrorCode::Unavailable;
        },
        [](const Error &error) { return error.code_; });
    EXPECT_EQ(code, ErrorCode::TooLarge);
    EXPECT_TRUE(store_.find(ref).deleted_);
}

TEST_F(ConfigEditorTest, ReportsBothVersionsOnAConflict)
{
    store_.set(kZone, zoneValue(ZoneState::In));
    int writes = 0;
    store_.beforeWrite_ = [&] {
        if (writes++ == 0)
            store_.set(kZone, R"({"state":"in","ramp_ms":7})");
    };
    const ChangeReport report = apply(ZoneState::Out);
    EXPECT_EQ(report.outcome_, ChangeOutcome::Conflict);
    EXPECT_EQ(report.expected_, Version { 1 });
    EXPECT_EQ(report.current_, Version { 2 });
    EXPECT_TRUE(
        ConfigEditor::isSameValue(store_.find(kZone).value_, R"({"state":"in","ramp_ms":7})"));
}

TEST_F(ConfigEditorTest, RecognisesItsOwnChangeAfterALostReply)
{
    store_.loseAnswers_ = 1;
    const ChangeReport report = apply(ZoneState::Out);
    EXPECT_EQ(report.outcome_, ChangeOutcome::Written);
    EXPECT_EQ(report.current_, Version { 1 });
}

TEST_F(ConfigEditorTest, RetriesAWriteThatDidNotTakeEffect)
{
    store_.loseWrites_ = 1;
    EXPECT_EQ(apply(ZoneState::Out).outcome_, ChangeOutcome::Written);
    EXPECT_TRUE(storeContains(ZoneState::Out));
}

TEST_F(ConfigEditorTest, ReportsUnknownIfTheStoreCannotBeRead)
{
    store_.loseAnswers_ = 1;
    int writes = 0;
    store_.beforeWrite_ = [&] {
        ++writes;
        store_.failReads_ = 1;
    };
    const ChangeReport report = apply(ZoneState::Out);
    EXPECT_EQ(report.outcome_, ChangeOutcome::Unknown);
    EXPECT_EQ(writes, 1) << "a change with an unknown outcome is not retried";
}

TEST_F(ConfigEditorTest, ReportsAConflictIfTheObjectChangedAfterALostReply)
{
    store_.set(kZone, zoneValue(ZoneState::In));
    store_.loseWrites_ = 1;
    int writes = 0;
    store_.beforeWrite_ = [&] {
        if (writes++ == 0)
            store_.set(kZone, R"({"state":"in","ramp_ms":9})");
    };
    EXPECT_EQ(apply(ZoneState::Out).outcome_, ChangeOutcome::Conflict);
}

TEST_F(ConfigEditorTest, ChecksTheExpectedVersion)
{
    store_.set(kZone, zoneValue(ZoneState::In));
    EXPECT_EQ(apply(ZoneState::Out, Version { 9 }).outcome_, ChangeOutcome::Conflict);
    EXPECT_EQ(apply(ZoneState::Out, Version { 1 }).outcome_, ChangeOutcome::Written);
}

} // namespace
