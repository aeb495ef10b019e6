#include "bench/BenchFleet.h"

#include "pimentostage/base/Hash.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "src/daemon/NativeAdapters.h"

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr const char *kLoopback = "127.0.0.1";
constexpr std::uint16_t kStorePort = 17300;
constexpr std::uint16_t kCallerPort = 17310;
constexpr std::uint16_t kOperatorPort = 17330;
constexpr std::uint16_t kSiblingPort = 17350;
constexpr std::uint16_t kBackendPort = 17400;
constexpr double kStoreCallsPerSecond = 10'000;

HttpClientOptions httpClientOptions()
{
    HttpClientOptions options;
    options.threadName_ = "bench";
    return options;
}

/// Prints the error and exits, as a benchmark cannot recover from it.
[[noreturn]] void exitWithError(const Error &error)
{
    std::fprintf(stderr, "%s\n", error.describe().c_str());
    std::exit(1);
}

template <typename Start>
void runOrExit(Start start)
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(start());
            return {};
        },
        [](const Error &error) { exitWithError(error); }, [] { std::exit(1); });
}

std::string zoneName(std::size_t index)
{
    return "zone-" + std::to_string(index);
}

Address address(std::uint16_t port, std::size_t offset)
{
    return Address { kLoopback, static_cast<std::uint16_t>(port + offset) };
}

Route makeRoute(const std::string &method, const std::string &kind, RouteKind routeKind)
{
    Route route;
    route.name_ = RouteName(kind);
    route.method_ = method;
    route.prefix_ = "/items";
    route.routeKind_ = routeKind;
    route.kind_ = kind;
    route.timeout_ = std::chrono::seconds(2);
    return route;
}

} // namespace

BenchFleet::BenchFleet(const BenchFleetOptions &options)
    : options_(options)
    , http_(httpClientOptions())
{
    runOrExit([this] { return platform_.start(address(kStorePort, 0)); });
    StoreClientOptions storeOptions;
    storeOptions.baseUrl_ = "http://" + address(kStorePort, 0).str();
    storeOptions.callsPerSecond_ = kStoreCallsPerSecond;
    storeOptions.callBurst_ = kStoreCallsPerSecond;
    store_ = std::make_unique<StoreClient>(
        storeOptions, [](const std::function<void()> &task) { task(); }, metrics_);
    editor_ = std::make_unique<ConfigEditor>(*store_, "bench");
    startServers();
    writeObjects();
    startHosts();
}

BenchFleet::~BenchFleet()
{
    for (auto &host : hosts_)
        host->stop();
    hosts_.clear();
    for (auto &[service, servers] : servers_) {
        for (Server &server : servers)
            server.standin_->stop();
    }
    platform_.stop();
}

std::string BenchFleet::teamSecret(const std::string &team)
{
    return "bench-secret-of-team-" + team;
}

void BenchFleet::apply(const ObjectRef &ref, const std::string &value)
{
    runOrExit([&]() -> leaf::result<ChangeReport> { return editor_->apply(ref, value); });
}

void BenchFleet::startServers()
{
    std::size_t port = 0;
    for (const BenchService &service : options_.services_) {
        for (std::size_t i = 0; i < service.serverCount_; ++i) {
            Server server;
            server.options_.name_ = service.name_ + '-' + std::to_string(i);
            server.options_.zone_ = zoneName(i % options_.zones_);
            server.options_.slots_ = service.slots_;
            server.options_.queueLimit_ = 2 * service.slots_;
            server.options_.serviceTime_ = service.serviceTime_;
            server.options_.coldTime_ = service.coldTime_;
            server.address_ = address(kBackendPort, port++);
            startServer(server);
            servers_[service.name_].push_back(std::move(server));
        }
    }
}

void BenchFleet::startServer(Server &server)
{
    server.standin_ = std::make_unique<BackendStandin>(server.options_);
    runOrExit([&] { return server.standin_->start(server.address_); });
}

void BenchFleet::restartServer(const std::string &service, std::size_t index)
{
    Server &server = servers_.at(service).at(index);
    server.standin_->stop();
    server.standin_.reset();
    startServer(server);
}

void BenchFleet::writeObjects()
{
    for (std::size_t i = 0; i < options_.zones_; ++i)
        applyZone(zoneName(i), ZoneState::In, std::chrono::seconds(3));
    for (const BenchService &service : options_.services_) {
        Service object;
        object.name_ = ServiceName(service.name_);
        object.keyed_ = service.keyed_;
        object.keySegment_ = 1;
        object.shardCount_ = 64;
        object.balancing_ = service.balancing_;
        object.routes_ = { makeRoute("GET", "read", RouteKind::Safe),
                           makeRoute("POST", "write", RouteKind::Unsafe) };
        apply({ ObjectKind::Service, service.name_ }, formatService(object));
        for (const Server &server : servers_.at(service.name_)) {
            Backend backend;
            backend.service_ = object.name_;
            backend.zone_ = ZoneName(server.options_.zone_);
            backend.address_ = server.address_;
            backend.slots_ = service.slots_;
            backend.connections_ = 110;
            apply({ ObjectKind::Backend, server.options_.name_ }, formatBackend(backend));
        }
    }
    for (const Contract &contract : options_.teams_) {
        const std::string team = contract.team_.str();
        apply({ ObjectKind::Contract, team }, formatContract(contract));
        const TeamKey key { team, contract.team_, sha256Hex(teamSecret(team)) };
        apply({ ObjectKind::TeamKey, team }, formatTeamKey(key));
    }
}

void BenchFleet::applyZone(const std::string &zone, ZoneState state, Duration ramp)
{
    apply({ ObjectKind::Zone, zone }, formatZone(Zone { ZoneName(zone), state, ramp }));
}

Settings BenchFleet::settingsFor(std::size_t host) const
{
    Settings settings;
    settings.hostName_ = "entry-" + std::to_string(host);
    settings.zone_ = zoneName(host % options_.zones_);
    settings.callerAddress_ = address(kCallerPort, host);
    settings.operatorAddress_ = address(kOperatorPort, host);
    settings.siblingAddress_ = address(kSiblingPort, host);
    settings.platformUrl_ = "http://" + address(kStorePort, 0).str();
    settings.backendHedging_ = options_.hedging_;
    settings.callerDrainNotice_ = Duration::zero();
    return settings;
}

void BenchFleet::startHosts()
{
    for (std::size_t i = 0; i < options_.hosts_; ++i) {
        const nlohmann::json host { { "name", "entry-" + std::to_string(i) },
                                    { "kind", "entry" },
                                    { "zone", zoneName(i % options_.zones_) },
                                    { "sibling", address(kSiblingPort, i).str() } };
        fetch("PUT",
              "http://" + address(kStorePort, 0).str() + "/v1/hosts/entry-" + std::to_string(i),
              host.dump(), "");
    }
    for (std::size_t i = 0; i < options_.hosts_; ++i) {
        hosts_.push_back(
            std::make_unique<Node>(settingsFor(i), nativeAdapters(settingsFor(i)), log_));
        runOrExit([&] { return hosts_.back()->start(); });
    }
}

HttpResult BenchFleet::fetch(const std::string &method, const std::string &url,
                             const std::string &body, const std::string &team)
{
    HttpRequest request;
    request.method_ = method;
    request.url_ = url;
    request.body_ = body;
    if (!team.empty())
        request.headers_.push_back({ "Authorization", "Bearer " + teamSecret(team) });
    return http_.fetch(request);
}

std::vector<std::string> BenchFleet::entries() const
{
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < options_.hosts_; ++i)
        entries.push_back(address(kCallerPort, i).str());
    return entries;
}

std::vector<std::string> BenchFleet::backends(const std::string &service) const
{
    std::vector<std::string> backends;
    for (const Server &server : servers_.at(service))
        backends.push_back(server.address_.str());
    return backends;
}

void BenchFleet::setFaults(const std::string &service, std::size_t index, const std::string &json)
{
    fetch("POST", "http://" + backends(service).at(index) + "/.pimento/faults", json, "");
}

double BenchFleet::reportSum(const std::string &service, const std::string &field)
{
    double sum = 0;
    for (const std::string &backend : backends(service)) {
        const HttpResult result = fetch("GET", "http://" + backend + "/.pimento/report", "", "");
        if (result.answer_)
            sum += nlohmann::json::parse(result.answer_->body_).value(field, 0.0);
    }
    return sum;
}

std::vector<HotKey> BenchFleet::hotKeys(const std::string &service)
{
    std::vector<HotKey> hotKeys;
    runOrExit([&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(object, editor_->get({ ObjectKind::Placement, service }));
        BOOST_LEAF_AUTO(placement, parsePlacement(service, object.value_));
        hotKeys = placement.hotKeys_;
        return true;
    });
    return hotKeys;
}

double BenchFleet::counterSum(const std::string &name)
{
    double sum = 0;
    for (std::size_t i = 0; i < options_.hosts_; ++i) {
        const HttpResult result
            = fetch("GET", "http://" + address(kOperatorPort, i).str() + "/metrics", "", "");
        if (!result.answer_)
            continue;
        std::istringstream lines(result.answer_->body_);
        std::string line;
        while (std::getline(lines, line)) {
            const bool isMetric = line.rfind(name + ' ', 0) == 0 || line.rfind(name + '{', 0) == 0;
            if (isMetric)
                sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return sum;
}

void BenchFleet::waitUntilServed(const std::string &path, const std::string &team)
{
    const int kMaxTries = 400;
    const Duration kRetryDelay = std::chrono::milliseconds(25);
    for (const std::string &entry : entries()) {
        for (int i = 0; i < kMaxTries; ++i) {
            const HttpResult result = fetch("GET", "http://" + entry + path, "", team);
            if (result.answer_ && result.answer_->status_ == 200)
                break;
            std::this_thread::sleep_for(kRetryDelay);
        }
    }
}

LoadProfile BenchFleet::profile(const std::vector<LoadRequest> &requests,
                                const std::map<std::string, double> &rates) const
{
    LoadProfile profile;
    profile.requests_ = requests;
    for (const auto &[team, rate] : rates)
        profile.teams_.push_back(LoadTeam { team, rate, teamSecret(team) });
    return profile;
}

} // namespace pimentostage
