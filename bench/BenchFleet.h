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
    std::size_t serverCount_ = 8;
    std::uint32_t slots_ = 6;
    Duration serviceTime_ = std::chrono::milliseconds(2);
    Duration coldTime_ {};
    Balancing balancing_ = Balancing::LowestCost;
};

/// Size and objects of a BenchFleet.
struct BenchFleetOptions
{
    std::size_t hosts_ = 3;
    std::size_t zones_ = 3;
    std::vector<BenchService> services_;
    std::vector<Contract> teams_;
    bool hedging_ = true;
};

/// A complete fleet in one process: store, entry hosts and back ends, connected by sockets on the
/// loopback interface.
class BenchFleet
{
public:
    explicit BenchFleet(const BenchFleetOptions &options);
    ~BenchFleet();

    /// @return the addresses at which the entry hosts serve callers.
    [[nodiscard]] std::vector<std::string> entries() const;
    /// @return the addresses of the back ends of @p service.
    [[nodiscard]] std::vector<std::string> backends(const std::string &service) const;
    /// @return the secret of @p team.
    [[nodiscard]] static std::string teamSecret(const std::string &team);

    void applyZone(const std::string &zone, ZoneState state, Duration ramp);
    /// Injects the faults in @p json into back end @p index of @p service.
    void setFaults(const std::string &service, std::size_t index, const std::string &json);
    void restartServer(const std::string &service, std::size_t index);
    /// @return the sum of @p field over the reports of all back ends of @p service.
    double reportSum(const std::string &service, const std::string &field);
    /// @return the hot keys in the placement of @p service.
    std::vector<HotKey> hotKeys(const std::string &service);
    /// @return the sum of the counter @p name over all entry hosts and label values.
    double counterSum(const std::string &name);

    /// Waits until every entry host answers a GET of @p path by @p team with status 200, but not
    /// longer than 400 tries for each host.
    void waitUntilServed(const std::string &path, const std::string &team);

    /// @return a load of @p requests, with the secrets of the fleet's teams.
    /// @param rates requests per second by team.
    [[nodiscard]] LoadProfile profile(const std::vector<LoadRequest> &requests,
                                      const std::map<std::string, double> &rates) const;

private:
    struct Server
    {
        BackendStandinOptions options_;
        Address address_;
        std::unique_ptr<BackendStandin> standin_;
    };

    void writeObjects();
    void apply(const ObjectRef &ref, const std::string &value);
    void startServers();
    void startHosts();
    void startServer(Server &server);
    HttpResult fetch(const std::string &method, const std::string &url, const std::string &body,
                     const std::string &team);
    [[nodiscard]] Settings settingsFor(std::size_t host) const;

    const BenchFleetOptions options_;
    NullLog log_;
    MetricRegistry metrics_;
    PlatformStandin platform_;
    std::map<std::string, std::vector<Server>> servers_;
    std::vector<std::unique_ptr<Node>> hosts_;
    HttpClient http_;
    std::unique_ptr<StoreClient> store_;
    std::unique_ptr<ConfigEditor> editor_;
};

} // namespace pimentostage
