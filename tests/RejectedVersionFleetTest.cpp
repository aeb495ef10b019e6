#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/FeedFleet.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 88;
/// The platform's time within which a change must be in force on all hosts.
constexpr Duration kChangeDeadline = 2500ms;
const ObjectRef kCatalogue { ObjectKind::Catalogue, "main" };
const char *const kBadCatalogue = R"({"services":7})";
const char *const kGoodCatalogue = R"({"services":[{"name":"huts"}],
    "routes":[{"name":"r1","host":"a.example","services":[{"name":"huts"}]}]})";

/// Runs @p fleet while the entry of some back end changes every 200 ms: each change ends a watch.
void runWithChanges(FeedFleet &fleet, Duration duration)
{
    constexpr Duration kChangePeriod = 200ms;
    constexpr std::size_t kBackends = 20;
    std::size_t number = 0;
    for (Duration passed {}; passed < duration; passed += kChangePeriod) {
        Backend backend;
        backend.name_ = BackendName("b" + std::to_string(++number % kBackends));
        backend.service_ = ServiceName("huts");
        backend.zone_ = ZoneName("zone-1");
        backend.address_ = Address { "10.0.0.2", 80 };
        backend.slots_ = 4;
        backend.connections_ = 1;
        backend.incarnation_ = Incarnation { 1 + number };
        fleet.store().set({ ObjectKind::Backend, backend.name_.str() }, formatBackend(backend));
        fleet.run(kChangePeriod);
    }
}

std::string callsOf(const FeedStore &store)
{
    return "config " + std::to_string(store.calls(0)) + ", back ends "
           + std::to_string(store.calls(1)) + ", zones " + std::to_string(store.calls(2))
           + ", state " + std::to_string(store.calls(3)) + ", single objects "
           + std::to_string(store.objectCalls());
}

bool isReady(const ControlCore &core)
{
    return core.readiness() == Readiness::Ready;
}

// Guards against hosts that each read the store for as long as the first configuration cannot be
// applied: none of them had a confirmation that it could pass on.
TEST(RejectedVersionFleet, AFirstOneDoesNotMakeEachHostReadTheStore)
{
    constexpr int kMaxCalls = 1760; // 20 for each host in 30 s
    FeedFleet fleet(kHosts, platformFeeds(), platformOptions(kChangeDeadline));
    fleet.store().set(kCatalogue, kBadCatalogue);
    runWithChanges(fleet, 30s);
    EXPECT_LE(fleet.store().calls(), kMaxCalls) << callsOf(fleet.store());
    RecordProperty("calls", fleet.store().calls());
    EXPECT_EQ(fleet.count(&isReady), 0U);
    EXPECT_EQ(fleet.logged({ R"("result":"rejected")" }), kHosts) << "each host logs it once";
    EXPECT_EQ(
        fleet.count([](const ControlCore &core) { return core.config().rejected().size() == 1; }),
        kHosts);
    fleet.store().set(kCatalogue, kGoodCatalogue);
    fleet.run(kChangeDeadline);
    EXPECT_EQ(fleet.count(&isReady), kHosts);
    EXPECT_EQ(fleet.count([](const ControlCore &core) {
        return core.config().versionOf(kCatalogue) > Version {};
    }),
              kHosts);
}

// Guards against hosts that go on to read the store after each has read a version that it rejects:
// such a version is not passed on between hosts.
TEST(RejectedVersionFleet, ALaterOneIsReadByEachHostAndThenByTheReadersOnly)
{
    constexpr int kMaxCallsToReadIt
        = kHosts * 40; // a host reads and watches four feeds for seconds
    constexpr int kMaxCallsAfterwards = 1760; // as with a first one
    FeedFleet fleet(kHosts, platformFeeds(), platformOptions(kChangeDeadline));
    fleet.store().set(kCatalogue, kGoodCatalogue);
    runWithChanges(fleet, 15s);
    EXPECT_EQ(fleet.count(&isReady), kHosts);
    const int before = fleet.store().calls();
    RecordProperty("calls_good", before);
    fleet.store().set(kCatalogue, kBadCatalogue);
    runWithChanges(fleet, 10s);
    const int afterReading = fleet.store().calls();
    EXPECT_LE(afterReading - before, kMaxCallsToReadIt);
    EXPECT_EQ(fleet.count([](const ControlCore &core) {
        return core.config().versionOf(kCatalogue) > Version {}
               && !core.config().rejected().empty();
    }),
              kHosts);
    runWithChanges(fleet, 30s);
    EXPECT_LE(fleet.store().calls() - afterReading, kMaxCallsAfterwards) << callsOf(fleet.store());
    RecordProperty("calls_to_read_it", afterReading - before);
    RecordProperty("calls_afterwards", fleet.store().calls() - afterReading);
}

} // namespace
