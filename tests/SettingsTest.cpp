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
