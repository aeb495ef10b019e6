#include "src/daemon/Program.h"

#include <array>
#include <string>

#include <gtest/gtest.h>
#include <sys/wait.h>

using namespace pimentostage;

namespace {

/// Ends a child process by @p signal.
/// @return what it wrote to standard output.
std::string outputOfProcessEndedBy(int signal)
{
    std::array<int, 2> ends {};
    EXPECT_EQ(pipe(ends.data()), 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDOUT_FILENO);
        close(ends[0]);
        reportFatalSignals("");
        raise(signal);
        _exit(0);
    }
    close(ends[1]);
    std::string output;
    std::array<char, 4096> buffer {};
    ssize_t size = read(ends[0], buffer.data(), buffer.size());
    while (size > 0) {
        output.append(buffer.data(), static_cast<std::size_t>(size));
        size = read(ends[0], buffer.data(), buffer.size());
    }
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_TRUE(WIFSIGNALED(status));
    EXPECT_EQ(WTERMSIG(status), signal);
    return output;
}

} // namespace

// Guards against an end without a trace: one of 69 hosts ended with code 139, and its log did not
// tell where (natalina-serra-grown scale-1, seed 95701433).
TEST(FatalSignal, IsReportedWithAStackOnStandardOutput)
{
    for (const int signal : { SIGSEGV, SIGABRT }) {
        const std::string output = outputOfProcessEndedBy(signal);
        EXPECT_NE(output.find(signal == SIGSEGV ? "SIGSEGV" : "SIGABRT"), std::string::npos);
        EXPECT_NE(output.find("PC: @"), std::string::npos) << output;
    }
}
