#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/operator/ConfigEditor.h"
#include "src/daemon/Node.h"
#include "src/platform/StoreClient.h"
#include "tests/fakes/NullLog.h"
#include "tools/BackendStandin.h"
#include "tools/LoadRunner.h"
#include "tools/PlatformStandin.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pimentostage {

/// One service of a BenchFleet.
struct BenchService
{
    std::string name_;
    bool keyed_ = false;
    std::size_t workers_ = 8;
    std::uint32_t slots_ = 6;
    Duration serviceTime_ = std::chrono::milliseconds(2);
    Duration coldTime_ {};
    Balancing balancing_ = Balancing::LowestCost;
};

/// What a BenchFleet consists of.
struct BenchFleetOptions
{
    std::size_t hosts_ = 3;
    std::size_t zones_ = 3;
    std::vector<BenchService> services_;
    std::vector<Contract> teams_;
    bool hedging_ = true;
};

/// A whole fleet in one process on loopback: store, entry hosts and back ends, with real sockets.
class BenchFleet
{
public:
    explicit BenchFleet(const BenchFleetOptions &options);
    ~BenchFleet();

    /// @return addresses at which callers reach the entry hosts.
    [[nodiscard]] std::vector<std::string> entries() const;
    /// @return addresses of the back ends of a service.
    [[nodiscard]] std::vector<std::string> backends(const std::string &service) const;
    /// @return the secret of @p team.
    [[nodiscard]] static std::string keyOf(const std::string &team);

    void applyZone(const std::string &zone, ZoneState state, Duration ramp);
    /// Sends @p json to the faults page of worker @p worker of @p service.
    void setFaults(const std::string &service, std::size_t worker, const std::string &json);
    void restartWorker(const std::string &service, std::size_t worker);
    /// @return the sum of a field of the reports of all workers of @p service.
    double reportSum(const std::string &service, const std::string &field);
    /// @return the hot keys in the placement of @p service.
    std::vector<HotKey> hotKeys(const std::string &service);
    /// @return the sum of a counter over all entry hosts.
    double counterSum(const std::string &name);

    /// Waits until a GET of @p path as @p team is answered by every entry host.
    void waitUntilServed(const std::string &path, const std::string &team);

    /// @return a load that sends GETs and POSTs to a service as the fleet's teams.
    [[nodiscard]] LoadProfile profile(const std::vector<LoadRequest> &requests,
                                      const std::map<std::string, double> &rates) const;

private:
    struct Worker
    {
        BackendStandinOptions options_;
        Address address_;
        std::unique_ptr<BackendStandin> standin_;
    };

    void writeObjects();
    void apply(const ObjectRef &ref, const std::string &value);
    void startWorkers();
    void startHosts();
    void startWorker(Worker &worker);
    HttpResult fetch(const std::string &method, const std::string &url, const std::string &body,
                     const std::string &team);
    [[nodiscard]] Settings settingsFor(std::size_t host) const;

    const BenchFleetOptions options_;
    NullLog log_;
    Counters counters_;
    PlatformStandin platform_;
    std::map<std::string, std::vector<Worker>> workers_;
    std::vector<std::unique_ptr<Node>> hosts_;
    HttpLoop loop_;
    std::unique_ptr<StoreClient> store_;
    std::unique_ptr<ConfigEditor> editor_;
};

} // namespace pimentostage
