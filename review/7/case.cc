// One of six workers fails a part of its requests after it has worked on them, with a 503 that does
// not say Pimentostage-Not-Executed. Clients of requests that may run once at most must not be told
// 503, which promises that the request has not run.

#include "../stage-2.hpp"

using namespace stage;

namespace {

constexpr int kOrders = 432;
constexpr double kOrdersPerS = 36; // as confirma-sinal
constexpr int kWorkers = 6;
constexpr int kFailingPercent = 45; // of the failing worker's requests

} // namespace

int main(int, char **arguments)
{
    signal(SIGPIPE, SIG_IGN);
    Record record(std::string(arguments[1]) + "/record.txt");
    const bool trouble = hasTrouble();
    record.write(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    Store store;
    store.put("config", "main",
              config({ "orders" },
                     Json::array({ route("r-orders", "/orders/", "orders", "unsafe", 1200, 600) })));
    std::mutex mutex;
    std::map<std::string, int> runsOfOrder;
    std::set<std::string> failedAfterRun; // ids
    std::atomic<int> greyRequests { 0 };
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < kWorkers; ++i) {
        const bool isGrey = trouble && i == 0;
        const auto handler = [&, isGrey](Worker &worker, int fd, const Request &request,
                                         const std::string &id) {
            sleepS(0.21); // the work, as confirma-sinal
            const int number = isGrey ? greyRequests++ : 0;
            const bool fails
                = isGrey && (number + 1) * kFailingPercent / 100 > number * kFailingPercent / 100;
            {
                const std::lock_guard lock(mutex);
                ++runsOfOrder[request.body_];
                if (fails)
                    failedAfterRun.insert(id);
            }
            // Without Pimentostage-Not-Executed: the worker has run it.
            return Worker::answer(fd, id, fails ? 503 : 200, fails ? "failed late" : "done", worker.load());
        };
        workers.push_back(std::make_unique<Worker>(store, record, "orders",
                                                   "i-" + std::to_string(i), handler));
    }
    Entry entry(store, {});
    if (!entry.waitReady(20))
        return 2;
    sleepS(1);

    std::atomic<int> untrue { 0 };
    std::atomic<int> served { 0 };
    std::vector<std::thread> clients;
    const double start = nowS();
    for (int i = 0; i < kOrders; ++i) {
        clients.emplace_back([&, i] {
            sleepS(std::max(0.0, start + i / kOrdersPerS - nowS()));
            const std::string order = "order-" + std::to_string(i);
            for (int attempt = 0; attempt < 2; ++attempt) { // a client repeats once
                const std::string id = order + "-" + std::to_string(attempt);
                const int fd = connectTo(entry.front());
                if (fd < 0)
                    return;
                sendAll(fd, head("POST", "/orders/new", id, 2500) + "Content-Length: "
                                + std::to_string(order.size()) + "\r\n\r\n" + order);
                Reader reader(fd);
                const auto answer = readAnswer(reader, nowS() + 2.5);
                close(fd);
                const int status = answer ? answer->status_ : 0;
                record.write("client sent " + order + " id " + id + ", gets "
                             + std::to_string(status));
                served += status == 200 ? 1 : 0;
                const bool isPromise
                    = status == 503 || status == 429 || status == 408 || status == 421;
                if (!isPromise)
                    return;
                {
                    const std::lock_guard lock(mutex);
                    if (failedAfterRun.contains(id)) {
                        ++untrue;
                        record.write("  " + std::to_string(status) + " for " + id
                                     + ", which has run");
                    }
                }
                const std::string after = find(answer->headers_, "Retry-After");
                sleepS(after.empty() ? 0.05 : std::min(0.8, std::stod(after)));
            }
        });
    }
    for (std::thread &client : clients)
        client.join();
    int twice = 0;
    {
        const std::lock_guard lock(mutex);
        for (const auto &[order, runs] : runsOfOrder)
            twice += runs > 1 ? 1 : 0;
    }
    record.write(std::to_string(kOrders) + " orders, " + std::to_string(served) + " answered 200, "
                 + std::to_string(untrue) + " requests answered 503 that have run, "
                 + std::to_string(twice) + " orders run twice, as their clients trusted the 503");
    if (!trouble && served < kOrders * 9 / 10)
        finish({ &entry }, 2);
    record.write(untrue > 0 ? "REFUSED is broken" : "REFUSED held");
    finish({ &entry }, untrue > 0 ? 1 : 0);
}
