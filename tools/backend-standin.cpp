#include "tools/BackendStandin.h"
#include "tools/ProgramMain.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, address, "127.0.0.1:7400", "ip:port to listen on");
ABSL_FLAG(std::string, name, "worker", "name of the back end");
ABSL_FLAG(std::string, zone, "", "data centre of the back end");
ABSL_FLAG(uint32_t, slots, 6, "maximum number of concurrent requests");
ABSL_FLAG(uint32_t, queue, 12,
          "maximum number of requests that wait for a slot; none wait while it is cold");
ABSL_FLAG(double, service_ms, 2, "mean service time, in milliseconds");
ABSL_FLAG(double, cold_ms, 0, "time from start until all slots are usable, in milliseconds");
ABSL_FLAG(uint32_t, answer_bytes, 0,
          "minimum size of an answer's body, which is filled with blanks");
ABSL_FLAG(uint32_t, max_request_bytes, 1U << 20U, "maximum size of a request's body");
ABSL_FLAG(bool, check_fence, true, "whether to check the grant and epoch of each request");

int main(int argc, char **argv)
{
    pimentostage::configureProgram(
        "backend-standin", "Simulates a backend server, for tests and the demo.\n"
                           "Usage: backend-standin --address=ip:port --name=NAME [--slots=N] ...");
    pimentostage::parseCommandLine(argc, argv);
    const auto address = pimentostage::parseAddress(absl::GetFlag(FLAGS_address));
    if (!address) {
        std::cerr << "backend-standin: --address must be ip:port with an IP number\n";
        return 2;
    }
    const double kMillisecondsPerSecond = 1000;
    pimentostage::BackendStandinOptions options;
    options.name_ = absl::GetFlag(FLAGS_name);
    options.zone_ = absl::GetFlag(FLAGS_zone);
    options.slots_ = absl::GetFlag(FLAGS_slots);
    options.queueLimit_ = absl::GetFlag(FLAGS_queue);
    options.serviceTime_
        = pimentostage::fromSeconds(absl::GetFlag(FLAGS_service_ms) / kMillisecondsPerSecond);
    options.coldTime_
        = pimentostage::fromSeconds(absl::GetFlag(FLAGS_cold_ms) / kMillisecondsPerSecond);
    options.minAnswerBytes_ = absl::GetFlag(FLAGS_answer_bytes);
    options.maxRequestBytes_ = absl::GetFlag(FLAGS_max_request_bytes);
    options.checksFence_ = absl::GetFlag(FLAGS_check_fence);
    const sigset_t signals = pimentostage::blockStopSignals();
    pimentostage::BackendStandin standin(options);
    if (!pimentostage::startOrReport([&] { return standin.start(*address); }))
        return 1;
    int received = 0;
    sigwait(&signals, &received);
    standin.stop();
    return 0;
}
