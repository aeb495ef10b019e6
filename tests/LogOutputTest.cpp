#include "pimentostage/base/Log.h"

#include <gtest/gtest.h>

using namespace pimentostage;

// The users collect what a process writes to standard output.
TEST(LogOutput, GoesToStandardOutput)
{
    testing::internal::CaptureStdout();
    {
        AsyncLog log(16, Severity::Info);
        log.write(LogLine(Severity::Info, "started"));
    }
    const std::string output = testing::internal::GetCapturedStdout();
    EXPECT_NE(output.find("\"event\":\"started\""), std::string::npos) << output;
}
