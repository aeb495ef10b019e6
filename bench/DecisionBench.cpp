// Time of single decisions, without I/O.

#include "pimentostage/backend/RequestQueue.h"
#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/base/Hash.h"
#include "pimentostage/caller/RequestRouter.h"
#include "pimentostage/sibling/LocalTokenBucket.h"

#include <benchmark/benchmark.h>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

constexpr const char *kSecret = "0123456789abcdef0123456789abcdef0123456789abcdef";

std::shared_ptr<const TrafficView> makeView()
{
    auto configuration = std::make_shared<Configuration>();
    for (const bool keyed : { false, true }) {
        Service service;
        service.name_ = ServiceName(keyed ? "permits" : "availability");
        service.keyed_ = keyed;
        service.keySegment_ = 1;
        service.shardCount_ = 256;
        Route route;
        route.name_ = RouteName("read");
        route.method_ = "GET";
        route.prefix_ = "/squares";
        route.kind_ = "read";
        route.timeout_ = 2s;
        service.routes_ = { route };
        configuration->services_[service.name_] = service;
        Placement placement;
        placement.service_ = service.name_;
        placement.shards_.resize(256);
        for (int i = 0; i < 8; ++i) {
            Backend backend;
            backend.name_ = BackendName(service.name_.str() + '-' + std::to_string(i));
            backend.service_ = service.name_;
            backend.zone_ = ZoneName("serra-a");
            backend.address_ = Address { "127.0.0.1", 1 };
            backend.connections_ = 110;
            configuration->backends_[backend.name_] = backend;
        }
        for (std::size_t i = 0; i < placement.shards_.size(); ++i) {
            placement.shards_[i].backend_
                = BackendName(service.name_.str() + '-' + std::to_string(i % 8));
        }
        if (keyed)
            configuration->placements_[service.name_] = std::make_shared<Placement>(placement);
    }
    Contract contract;
    contract.team_ = TeamName("caxias");
    configuration->contracts_[contract.team_] = contract;
    configuration->keysByHash_[sha256Hex(kSecret)]
        = TeamKey { "caxias-1", contract.team_, sha256Hex(kSecret) };
    auto view = std::make_shared<TrafficView>();
    RoutingTableBuilder builder;
    view->routing_ = builder.build(*configuration, FleetState {}, TimePoint {});
    view->configuration_ = configuration;
    view->readiness_ = Readiness::Ready;
    return view;
}

void benchRoute(benchmark::State &state)
{
    const auto view = makeView();
    CallerRequest request;
    request.method_ = "GET";
    request.path_ = "/availability/squares/caxias";
    request.teamKey_ = kSecret;
    for (auto _ : state)
        benchmark::DoNotOptimize(RequestRouter::route(*view, request, TimePoint(1h)));
}
BENCHMARK(benchRoute);

void benchSelectBalanced(benchmark::State &state)
{
    const auto view = makeView();
    const ServiceRoutes &routes = view->routing_->services_.at("availability");
    Random random(1);
    for (auto _ : state) {
        const auto choice = BackendSelector::select(routes, { "", {} }, {}, random, TimePoint(1h));
        choice.candidate_->stats_->end();
    }
}
BENCHMARK(benchSelectBalanced);

void benchSelectOwner(benchmark::State &state)
{
    const auto view = makeView();
    const ServiceRoutes &routes = view->routing_->services_.at("permits");
    Random random(1);
    for (auto _ : state) {
        const auto choice
            = BackendSelector::select(routes, { "k7", {} }, {}, random, TimePoint(1h));
        choice.candidate_->stats_->end();
    }
}
BENCHMARK(benchSelectOwner);

void benchSpend(benchmark::State &state)
{
    LocalTokenBucket bucket(AccountName("team/caxias"));
    AllowanceLease lease { bucket.account(), { Epoch { 1 }, 1 }, 1e12, 1e12, 1h, 0, {} };
    bucket.applyLease(lease, TimePoint(1h), TimePoint(1h));
    TimePoint now(1h);
    for (auto _ : state) {
        now += 1us;
        benchmark::DoNotOptimize(bucket.spend(1, now, [](SpendResult) {}));
    }
}
BENCHMARK(benchSpend);

/// A request that joins a queue of a length, and one that leaves it.
void benchQueue(benchmark::State &state, AdmissionRule rule)
{
    FairQueueOptions options;
    options.maxWait_ = 1h;
    const auto queue = makeRequestQueue(rule, options);
    TimePoint now(1h);
    WaitingRequest request;
    const auto push = [&] {
        now += 10us;
        ++request.ticket_;
        request.id_ = request.ticket_;
        request.route_ = RouteName(request.ticket_ % 2 == 0 ? "read" : "certify");
        request.priority_ = request.ticket_ % 2;
        request.work_ = 100ms;
        request.since_ = now;
        request.objective_ = now + 1h;
        request.deadline_ = now + 2h;
        queue->push(request, now);
    };
    while (queue->size() < static_cast<std::size_t>(state.range(0)))
        push();
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue->take(now));
    }
}
BENCHMARK_CAPTURE(benchQueue, teamShares, AdmissionRule::TeamShares)->Arg(10)->Arg(100)->Arg(1000);
BENCHMARK_CAPTURE(benchQueue, valuePerWork, AdmissionRule::ValuePerWork)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000);

void benchSha256(benchmark::State &state)
{
    for (auto _ : state)
        benchmark::DoNotOptimize(sha256Hex(kSecret));
}
BENCHMARK(benchSha256);

} // namespace
