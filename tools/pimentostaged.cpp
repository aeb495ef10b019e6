#include "pimentostage/base/Log.h"
#include "pimentostage/operator/Settings.h"
#include "src/daemon/NativeAdapters.h"
#include "src/daemon/Node.h"
#include "tools/ProgramMain.h"

#include <csignal>
#include <iostream>

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, config, "", "INI file with this host's settings; required");
ABSL_FLAG(bool, check_config, false, "check the settings, print all errors and exit");
ABSL_FLAG(bool, print_settings, false, "print a table of all settings and exit");

namespace {

using pimentostage::SettingsResult;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int serve(const pimentostage::Settings &settings, const std::string &file)
{
    const sigset_t signals = pimentostage::blockStopSignals({ SIGHUP });
    pimentostage::AsyncLog log(static_cast<std::size_t>(settings.logCapacity_), settings.logLevel_);
    pimentostage::Node node(settings, pimentostage::nativeAdapters(settings), log);
    if (!pimentostage::startOrReport([&] { return node.start(); }))
        return kExitFailed;
    pimentostage::waitForStop(signals, file, log);
    node.stop();
    return kExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    pimentostage::configureProgram(
        "pimentostaged", "Daemon of an entry host: routes callers' requests to back ends.\n"
                         "Usage: pimentostaged --config=FILE [--check_config]\n"
                         "SIGTERM and SIGINT stop it gracefully; SIGHUP checks the settings file.");
    pimentostage::returnFreedMemory();
    pimentostage::reportFatalSignals(argv[0]);
    pimentostage::parseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_print_settings)) {
        std::cout << pimentostage::settingsReference();
        return kExitOk;
    }
    const std::string file = absl::GetFlag(FLAGS_config);
    if (file.empty()) {
        std::cerr << "pimentostaged: --config=FILE is required; see --help\n";
        return kExitUsage;
    }
    const SettingsResult result = pimentostage::readSettings(file);
    if (!pimentostage::isUsableOrReport(result))
        return kExitFailed;
    if (absl::GetFlag(FLAGS_check_config)) {
        std::cout << file << ": ok\n";
        return kExitOk;
    }
    return serve(result.settings_, file);
}
