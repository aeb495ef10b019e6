#include "pimentostage/operator/Settings.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

const char *const kComplete = R"(
[host]
name = entry-1
zone = serra-a
[caller]
address = 127.0.0.1:7311
[operator]
address = 127.0.0.1:7331
[sibling]
address = 127.0.0.1:7351
[platform]
url = http://127.0.0.1:7300
)";

TEST(Settings, ReadsValuesAndUsesDefaultsForOthers)
{
    const auto result = parseSettings(
        std::string(kComplete) + "timeout_ms = 250\n[log]\nlevel = warning\n", "x.ini");
    ASSERT_TRUE(result.errors_.empty()) << result.errors_.front().describe();
    EXPECT_EQ(result.settings_.hostName_, "entry-1");
    EXPECT_EQ(result.settings_.platformTimeout_, 250ms);
    EXPECT_EQ(result.settings_.logLevel_, Severity::Warning);
    EXPECT_EQ(result.settings_.backendThreads_, Settings().backendThreads_);
}

TEST(Settings, ReportsAllErrorsAtOnce)
{
    const auto result
        = parseSettings("[host]\nname = a\n[caller]\naddress = nowhere\nthreads = 1.5\n"
                        "[backend]\nretry_share = 2\nhedging = yes\n[colour]\nred = 1\n",
                        "x.ini");
    std::vector<std::string> keys;
    for (const SettingsError &error : result.errors_) {
        keys.push_back(error.section_ + '.' + error.key_);
        EXPECT_EQ(error.file_, "x.ini");
        EXPECT_FALSE(error.allowed_.empty());
    }
    for (const char *expected :
         { "host.zone", "caller.address", "caller.threads", "operator.address", "sibling.address",
           "platform.url", "backend.retry_share", "backend.hedging", "colour.red" }) {
        EXPECT_NE(std::find(keys.begin(), keys.end(), expected), keys.end()) << expected;
    }
    EXPECT_EQ(keys.size(), 9U);
}

// Guards against a misspelt rule that silently leaves the default in force.
TEST(Settings, AdmissionRuleIsANameOfTheTableOrAuto)
{
    const auto parse = [](const std::string &value) {
        return parseSettings(std::string(kComplete) + "[backend]\nadmission_rule = " + value + '\n',
                             "x.ini");
    };
    EXPECT_EQ(parse("least-slack").settings_.backendAdmissionRule_, AdmissionRule::LeastSlack);
    EXPECT_TRUE(parse("least-slack").errors_.empty());
    EXPECT_EQ(parse("auto").settings_.backendAdmissionRule_, std::nullopt);
    EXPECT_TRUE(parse("auto").errors_.empty());
    ASSERT_EQ(parse("leastslack").errors_.size(), 1U);
    EXPECT_NE(parse("leastslack").errors_[0].allowed_.find("least-slack"), std::string::npos);
}

// Guards against running requests that are cut although time is left: where the platform kills a
// process 10 s after the signal, a stop that was made for 6 s gave up its requests after 5.3 s.
TEST(Settings, AStopLastsAsLongAsThePlatformAllows)
{
    const auto result
        = parseSettings("[caller]\ndrain_notice_ms = 2300\nstop_grace_s = 10\n", "x.ini");
    EXPECT_EQ(drainTimeoutOf(result.settings_), 7200ms);
    Settings settings;
    settings.callerDrainTimeout_ = 3s;
    EXPECT_EQ(drainTimeoutOf(settings), 3s) << "without a grace period";
    settings.callerStopGrace_ = 0.1;
    EXPECT_EQ(drainTimeoutOf(settings), 0s);
}

TEST(Settings, DerivesAgesFromDeadlines)
{
    const auto result = parseSettings(
        "[control]\nchange_deadline_ms = 3000\nwithdrawal_deadline_ms = 5000\n", "x.ini");
    EXPECT_EQ(readerSilenceOf(result.settings_), 2550ms);
    EXPECT_EQ(maxConfigAgeOf(result.settings_), 4500ms);
    EXPECT_EQ(maxBackendsAgeOf(Settings()), 1700ms);
    EXPECT_EQ(maxZonesAgeOf(Settings()), 4250ms);
    EXPECT_EQ(readerSilenceOf(Settings()), Settings().controlReaderSilence_);
    EXPECT_EQ(maxConfigAgeOf(Settings()), Settings().controlMaxConfigAge_);
}

// Guards against roll-outs, and the withholding of back ends, where no setting asks for them.
TEST(Settings, RolloutsAreOffByDefault)
{
    EXPECT_EQ(Settings().rolloutMaxShare_, 0);
    const std::string text(kComplete);
    const auto result = parseSettings(
        text + "[rollout]\nmax_share = 0.1\nmax_extra = 40\nrollback_ms = 4000\n", "x.ini");
    ASSERT_TRUE(result.errors_.empty()) << result.errors_.front().describe();
    EXPECT_EQ(result.settings_.rolloutMaxShare_, 0.1);
    EXPECT_EQ(result.settings_.rolloutMaxExtra_, 40);
    EXPECT_EQ(result.settings_.rolloutRollback_, 4s);
    EXPECT_EQ(parseSettings(text + "[rollout]\nmax_share = 1.5\n", "x").errors_.size(), 1U);
}

// Guards against routes that are opened by a truncated catalogue in a deployment with teams.
TEST(Settings, WithoutTeamsRoutesAreClosedWhereWithdrawnKeysHaveADeadline)
{
    const auto result = parseSettings("[control]\nwithdrawal_deadline_ms = 5000\n", "x.ini");
    EXPECT_EQ(missingTeamsOf(result.settings_), MissingTeams::Closed);
    const auto none = parseSettings("[control]\nwithdrawal_deadline_ms = 0\n", "x.ini");
    EXPECT_EQ(missingTeamsOf(none.settings_), MissingTeams::Open);
    EXPECT_EQ(missingTeamsOf(Settings()), MissingTeams::Open);
}

TEST(Settings, ReadsAListOfAddresses)
{
    const std::string text(kComplete);
    const auto result = parseSettings(text + "[sibling]\nseeds = 10.0.0.1:71,10.0.0.2:72\n", "x");
    ASSERT_TRUE(result.errors_.empty()) << result.errors_.front().describe();
    const std::vector<Address> expected { { "10.0.0.1", 71 }, { "10.0.0.2", 72 } };
    EXPECT_EQ(result.settings_.siblingSeeds_, expected);
    EXPECT_TRUE(parseSettings(text + "[sibling]\nseeds =\n", "x").errors_.empty());
    EXPECT_EQ(parseSettings(text + "[sibling]\nseeds = host\n", "x").errors_.size(), 1U);
}

TEST(Settings, ReportsTheFileThatCannotBeRead)
{
    const auto result = readSettings("/nonexistent/pimento.ini");
    ASSERT_EQ(result.errors_.size(), 1U);
    EXPECT_NE(result.errors_.front().describe().find("/nonexistent/pimento.ini"),
              std::string::npos);
}

TEST(Settings, ListsEverySettingInTheReference)
{
    const std::string reference = settingsReference();
    EXPECT_NE(reference.find("| platform | timeout_ms | 1000 |"), std::string::npos);
    EXPECT_NE(reference.find("| host | name | required |"), std::string::npos);
}

} // namespace
