#include "tools/PlatformStandin.h"
#include "tools/ProgramMain.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, address, "127.0.0.1:7300", "ip:port to listen on");

int main(int argc, char **argv)
{
    pimentostage::configureProgram(
        "platform-standin",
        "Simulates the platform's object store and host list, for tests and the demo.\n"
        "Faults are injected with POST /v1/faults?down=1&hang=1&delay_ms=N&lose_answers=N.\n"
        "Usage: platform-standin [--address=ip:port]");
    pimentostage::parseCommandLine(argc, argv);
    const auto address = pimentostage::parseAddress(absl::GetFlag(FLAGS_address));
    if (!address) {
        std::cerr << "platform-standin: --address must be ip:port with an IP number\n";
        return 2;
    }
    const sigset_t signals = pimentostage::blockStopSignals();
    pimentostage::PlatformStandin standin;
    if (!pimentostage::startOrReport([&] { return standin.start(*address); }))
        return 1;
    int received = 0;
    sigwait(&signals, &received);
    standin.stop();
    return 0;
}
