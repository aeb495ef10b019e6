#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/operator/Settings.h"

#include <csignal>
#include <cstring>
#include <initializer_list>
#include <iostream>

#ifdef __GLIBC__
#include <malloc.h>
#endif

#include <absl/debugging/failure_signal_handler.h>
#include <absl/debugging/symbolize.h>
#include <pthread.h>
#include <unistd.h>

namespace pimentostage {

/// Blocks the signals that stop a program, and @p others, in this thread and in all threads that it
/// starts. Ignores SIGPIPE.
/// @return the blocked signals, for sigwait().
inline sigset_t blockStopSignals(std::initializer_list<int> others = {})
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    for (const int other : others)
        sigaddset(&signals, other);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Makes the allocator return the memory of large messages as soon as they are freed: by default it
/// keeps up to 32 MiB for each size that was freed once, so that a process would stay above the sum
/// of its limits. To be called before any thread starts.
inline void returnFreedMemory()
{
#ifdef __GLIBC__
    constexpr int kMapThresholdBytes = 128 * 1024; // the initial value, which then no longer grows
    constexpr int kTrimThresholdBytes = 1024 * 1024;
    constexpr int kMaxArenas = 2;
    mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
    mallopt(M_ARENA_MAX, kMaxArenas);
#endif
}

/// From now on a fatal signal, for example SIGSEGV or SIGABRT, writes its name and the stack to
/// standard output before it ends the process.
/// @param program the path of the program's file, for the names of functions.
inline void reportFatalSignals(const char *program)
{
    absl::InitializeSymbolizer(program);
    absl::FailureSignalHandlerOptions options;
    options.writerfn = [](const char *text) {
        // Called in a signal handler; nullptr asks for a flush. There is no way to report an error.
        if (text) [[maybe_unused]]
            const auto written = write(STDOUT_FILENO, text, std::strlen(text));
    };
    absl::InstallFailureSignalHandler(options);
}

/// Runs @p start and prints its error, if any.
/// @return whether it succeeded.
template <typename Start>
bool startOrReport(Start start)
{
    return valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(start());
            return true;
        },
        [](const Error &error) {
            std::cerr << error.describe() << '\n';
            return false;
        });
}

/// Prints all errors in @p result.
/// @return whether there are none.
inline bool isUsableOrReport(const SettingsResult &result)
{
    for (const SettingsError &error : result.errors_)
        std::cerr << error.describe() << '\n';
    return result.errors_.empty();
}

/// Waits for one of @p signals other than SIGHUP. On SIGHUP, checks the settings in @p file and
/// logs the result; changed settings take effect at the next start.
inline void waitForStop(const sigset_t &signals, const std::string &file, LogSink &log)
{
    int received = SIGHUP;
    while (received == SIGHUP) {
        sigwait(&signals, &received);
        if (received != SIGHUP)
            return;
        const bool isUsable = isUsableOrReport(readSettings(file));
        log.write(
            LogLine(isUsable ? Severity::Info : Severity::Error, "reload").add("usable", isUsable));
    }
}

} // namespace pimentostage
