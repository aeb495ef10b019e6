// Some workers hand out wrong bytes in a part of their answers: a head with status 200 and the id of
// the request, but without the worker's proof, and a body of other bytes. Clients must not get a
// success without the worker's proof.

#include "../stage-2.hpp"

using namespace stage;

namespace {

constexpr int kRequests = 1000;
constexpr double kRequestsPerS = 100; // as dispo-cabana
constexpr int kWorkers = 7;
constexpr int kSpoilingWorkers = 4; // a share of 0.6
constexpr int kSpoiledPart = 20; // one of so many answers: 0.05

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(std::string(arguments[1]) + "/record.txt");
    const bool trouble = hasTrouble();
    record.write(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    Store store;
    store.put("config", "main",
              config({ "map" }, Json::array({ route("r-map", "/map/", "map", "safe", 1000, 500) })));
    std::atomic<int> spoiled { 0 };
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<std::atomic<int>>> counts;
    for (int i = 0; i < kWorkers; ++i) {
        counts.push_back(std::make_unique<std::atomic<int>>(0));
        const bool spoils = trouble && i < kSpoilingWorkers;
        const auto handler = [&, spoils, i](Worker &worker, int fd, const Request &,
                                            const std::string &id) {
            sleepS(0.16); // the work, as dispo-cabana
            if (!spoils || ++*counts[i] % kSpoiledPart != 0)
                return Worker::answer(fd, id, 200, "the squares of " + id, worker.load());
            ++spoiled;
            record.write("  " + worker.name() + " spoils its answer to " + id);
            return sendAll(fd, "HTTP/1.1 200 OK\r\nPimentostage-Request-Id: " + id
                                   + "\r\nContent-Length: 11\r\n\r\n\x01\x02wrong\x7f\x03\x04\x05");
        };
        workers.push_back(
            std::make_unique<Worker>(store, record, "map", "i-" + std::to_string(i), handler));
    }
    Entry entry(store, {});
    if (!entry.waitReady(20))
        return 2;
    sleepS(1);

    std::atomic<int> served { 0 };
    std::atomic<int> unproved { 0 };
    std::vector<std::thread> clients;
    const double start = nowS();
    for (int i = 0; i < kRequests; ++i) {
        clients.emplace_back([&, i] {
            sleepS(std::max(0.0, start + i / kRequestsPerS - nowS()));
            const std::string id = "look-" + std::to_string(i);
            const int fd = connectTo(entry.front());
            if (fd < 0)
                return;
            sendAll(fd, head("GET", "/map/square", id, 2000) + "\r\n");
            Reader reader(fd);
            const auto answer = readAnswer(reader, nowS() + 2);
            close(fd);
            const int status = answer ? answer->status_ : 0;
            const std::string proof
                = answer ? find(answer->headers_, "Pimentostage-Upstream-Signature") : "";
            record.write("client sent " + id + ", gets " + std::to_string(status)
                         + (proof.empty() ? " without a proof" : " with a proof"));
            if (status == 200)
                ++(proof.empty() ? unproved : served);
        });
    }
    for (std::thread &client : clients)
        client.join();
    record.write(std::to_string(kRequests) + " requests, " + std::to_string(spoiled)
                 + " answers spoiled, " + std::to_string(served) + " answered 200 with a proof, "
                 + std::to_string(unproved) + " answered 200 without one");
    if (served < kRequests * 8 / 10)
        finish({ &entry }, 2);
    record.write(unproved > 0 ? "MIXED is broken" : "MIXED held");
    finish({ &entry }, unproved > 0 ? 1 : 0);
}
