// Case 5: after the channels to the store went silent, hosts send to a worker that has left.
#include "../stage.hpp"

using namespace stage;

namespace {

constexpr double kDrainS = 2; // DrainTimeoutMs
constexpr double kStableS = 3; // StableWindowMs
const int kMachines = std::getenv("MACHINES") ? std::atoi(std::getenv("MACHINES")) : 2;
constexpr int kConsumers = 6; // on each machine

} // namespace

int main(int, char **argv)
{
    const std::string folder = std::string(argv[0]).substr(0, std::string(argv[0]).rfind('/'));
    const std::string record = std::getenv("RECORD") ? std::getenv("RECORD") : folder + "/record.txt";
    const bool isTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record out(record);
    const std::string network = freeNetwork();
    const std::string temporary = temporaryFolder();
    Store store(network + "250");

    std::vector<std::unique_ptr<Worker>> workers;
    const char *zones[] = { "north", "centre", "east" };
    for (int i = 0; i < 7; ++i)
        workers.push_back(std::make_unique<Worker>(network + "200", "i-map" + std::to_string(i),
                                                   "map", zones[i % 3], 0.05));
    store.put("config", "main",
              { { "Version", 7 },
                { "Services",
                  { { { "Name", "map" },
                      { "HealthCheckPath", "/health" },
                      { "MaxConnections", 110 },
                      { "Protocol", "h1" },
                      { "Tls", false },
                      { "WarmupS", 3.0 },
                      { "WarmupPerS", 6.6 } } } },
                { "Limits",
                  { { "MaxHeaderBytes", 16384 },
                    { "MaxBodyBytes", 67108864 },
                    { "HeaderTimeoutMs", 3000 },
                    { "IdleTimeoutMs", 15000 } } },
                { "VirtualHosts",
                  { { { "Host", "map.example" },
                      { "Paths",
                        { { { "Name", "r-map" },
                            { "PathPrefix", "/map/" },
                            { "RouteType", "safe" },
                            { "TimeoutMs", 1000 },
                            { "TargetLatencyMs", 500 },
                            { "Priority", 1 },
                            { "Service", "map" },
                            { "MaxAttempts", 2 },
                            { "Public", true } } } } } } } });
    for (int i = 0; i < 6; ++i)
        store.put("servers", workers[static_cast<std::size_t>(i)]->id(),
                  workers[static_cast<std::size_t>(i)]->entry());

    std::vector<std::unique_ptr<Machine>> machines;
    const std::string seeds = network + "1:8042," + network + "2:8042," + network + "3:8042";
    for (int i = 0; i < kMachines; ++i) {
        machines.push_back(std::make_unique<Machine>("edge-" + std::to_string(i + 1),
                                                     network + std::to_string(i + 1), zones[i % 3],
                                                     store.address(), seeds, temporary));
        machines.back()->start(true);
    }
    for (const auto &machine : machines) {
        if (!machine->awaitReady(10)) {
            out.line("machine %s is not ready", machine->name().c_str());
            return 2;
        }
    }
    sleepFor(8 - now()); // "Traffic starts 8 s after the machines do"
    out.line("%d machines ready", kMachines);

    std::atomic<bool> isOver { false };
    std::atomic<int> served { 0 }, other { 0 };
    std::vector<std::thread> threads;
    for (const auto &machine : machines) {
        for (int i = 0; i < kConsumers; ++i) {
            threads.emplace_back([&, ip = machine->ip()] {
                std::unique_ptr<Channel> channel;
                while (!isOver) {
                    if (!channel)
                        channel = connectTo(ip, 8045);
                    if (!channel) {
                        sleepFor(0.1);
                        continue;
                    }
                    channel->write("GET /map/a HTTP/1.1\r\nHost: map.example\r\n"
                                   "Pimentostage-Request-Id: "
                                   + newId() + "\r\nPimentostage-Deadline-Ms: 2000\r\n\r\n");
                    const Message answer = channel->read(now() + 2.5, true);
                    ++(answer.isComplete_ && answer.second_ == "200" ? served : other);
                    if (!answer.isComplete_ || answer.header("Connection") == "close")
                        channel.reset();
                    sleepFor(0.02);
                }
            });
        }
    }
    sleepFor(4);
    // A worker joins, so that the store's watches have just been renewed.
    store.put("servers", workers[6]->id(), workers[6]->entry());
    out.line("%s joins", workers[6]->id().c_str());
    sleepFor(0.4);
    if (isTrouble) {
        store.silenceOpenChannels();
        out.line("all open channels to the store go silent, new ones work");
    }
    sleepFor(kStableS + 0.1);
    store.put("servers", workers[0]->id(), workers[0]->entry("draining"));
    const double leftAt = now();
    out.line("%s is draining: acknowledged by the store", workers[0]->id().c_str());
    sleepFor(8);
    isOver = true;
    for (std::thread &thread : threads)
        thread.join();
    int late = 0;
    double last = 0;
    for (const Run &run : workers[0]->runs()) {
        if (run.at_ <= leftAt)
            continue;
        last = run.at_ - leftAt;
        late += last > kDrainS ? 1 : 0;
    }
    for (const auto &worker : workers)
        out.line("%s ran %zu requests", worker->id().c_str(), worker->runs().size());
    out.line("requests served %d, other ends %d", served.load(), other.load());
    out.line("%s ran %d requests later than 2,000 ms after that; the last after %.0f ms",
             workers[0]->id().c_str(), late, last * 1000);
    out.line(late > 0 ? "DRAIN is broken" : "the rule held");
    for (const auto &machine : machines)
        machine->kill();
    std::system(("rm -rf " + temporary).c_str());
    std::_Exit(late > 0 ? 1 : 0);
}
