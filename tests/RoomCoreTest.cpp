#include "pimentostage/platform/ObjectCodec.h"
#include "src/daemon/ControlCore.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/UnreachableRangeLink.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// Keeps the reports that a host sends.
class RecordingSiblings : public SiblingSender
{
public:
    void send(const HostName &, const SiblingMessage &message) override
    {
        if (const auto *report = std::get_if<RoomReport>(&message))
            reports_.push_back(*report);
    }

    std::vector<RoomReport> reports_;
};

/// A store in which hosts register themselves.
class RegistrationStore : public FakeObjectStore
{
public:
    [[nodiscard]] bool hasHostList() const override { return false; }
};

class SilentBackends : public BackendLink
{
public:
    void grant(const Address &, const Grant &, OnGrantReply) override { }
    void probe(const Address &, OnProbeReply) override { }
};

MemberUpdate hostOf(const char *name)
{
    MemberUpdate host;
    host.member_ = Member { HostName(name), Incarnation { 1 } };
    host.address_ = Address { "10.0.0.1", static_cast<std::uint16_t>(name[0]) };
    host.zone_ = ZoneName("north");
    return host;
}

/// The decision core of host "a", whose only sibling is "b", and a service with one back end.
class RoomCoreTest : public testing::Test
{
protected:
    void start(const ControlOptions &options = {})
    {
        store_.feed_.kinds_
            = { ObjectKind::Service, ObjectKind::Backend, ObjectKind::EntryHost, ObjectKind::Role };
        store_.defer_ = [this](std::function<void()> task) { events_.after(1ms, std::move(task)); };
        Service service;
        service.name_ = ServiceName("plain");
        service.balancing_ = Balancing::ExpectedTime;
        service.shardCount_ = 1;
        Route route;
        route.name_ = RouteName("read");
        route.method_ = "GET";
        route.prefix_ = "/items";
        route.kind_ = "read";
        route.timeout_ = 400ms;
        service.routes_.push_back(route);
        store_.set({ ObjectKind::Service, "plain" }, formatService(service));
        Backend backend;
        backend.name_ = BackendName("worker");
        backend.service_ = service.name_;
        backend.zone_ = ZoneName("north");
        backend.address_ = Address { "10.0.1.1", 80 };
        backend.slots_ = 4;
        backend.connections_ = 590;
        store_.set({ ObjectKind::Backend, "worker" }, formatBackend(backend));
        for (const char *name : { "a", "b" }) {
            const MemberUpdate host = hostOf(name);
            store_.set({ ObjectKind::EntryHost, name },
                       formatEntryHost(EntryHost { host.member_.host_, host.member_.incarnation_,
                                                   host.zone_, host.address_ }));
        }
        const ControlPorts ports {
            store_,
            siblings_,
            backends_,
            ranges_,
            [this](Duration delay, std::function<void()> task) {
                events_.after(delay, std::move(task));
            },
            [this] { return now(); },
            1,
        };
        core_ = std::make_unique<ControlCore>(hostOf("a"), options, ports, routing_, views_, log_,
                                              metrics_);
        core_->start();
        run(1500ms);
        receive(Probe { HostName("b"), HostName("a"), 1, { hostOf("b") }, {} });
    }

    TimePoint now() const { return TimePoint(1h) + events_.now(); }

    void receive(const SiblingMessage &message) { core_->onSiblingMessage(hostOf("b"), message); }

    void run(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += 10ms) {
            events_.runUntil(events_.now() + 10ms, [] {});
            core_->tick();
        }
    }

    /// @return the back end in the table that traffic threads read.
    const Candidate &worker()
    {
        table_ = routing_.load();
        return table_->services_.at("plain").candidates_.front();
    }

    EventQueue events_;
    RegistrationStore store_;
    RecordingSiblings siblings_;
    SilentBackends backends_;
    UnreachableRangeLink ranges_;
    NullLog log_;
    MetricRegistry metrics_;
    SnapshotPublisher<RoutingTable> routing_ { std::make_shared<RoutingTable>() };
    SnapshotPublisher<TrafficView> views_ { std::make_shared<TrafficView>() };
    std::shared_ptr<const RoutingTable> table_;
    std::unique_ptr<ControlCore> core_;
};

TEST_F(RoomCoreTest, TrafficThreadsSeeWhatASiblingReports)
{
    start();
    ASSERT_TRUE(worker().hasCapacity(now()));
    receive(RoomReport { { { backendNumberOf("worker"), 4, 16, 100, false, 20 } } });
    EXPECT_FALSE(worker().hasCapacity(now()));
    run(100ms);
    receive(RoomReport { { { backendNumberOf("worker"), 1, 0, 100, false, 20 } } });
    EXPECT_TRUE(worker().hasCapacity(now()));
}

TEST_F(RoomCoreTest, ReportsWhatTrafficThreadsObserve)
{
    start();
    worker().stats_->onLoadReport({ 4, 7, 1.2 }, now());
    run(150ms);
    ASSERT_FALSE(siblings_.reports_.empty());
    const RoomDelta &delta = siblings_.reports_.front().deltas_.front();
    EXPECT_EQ(delta.backend_, backendNumberOf("worker"));
    EXPECT_EQ(delta.running_, 4);
    EXPECT_EQ(delta.waiting_, 7);
    EXPECT_EQ(delta.pacePercent_, 120);
}

TEST_F(RoomCoreTest, DoesNeitherWhereItIsSwitchedOff)
{
    ControlOptions options;
    options.sharesRoom_ = false;
    start(options);
    worker().stats_->onLoadReport({ 4, 7, 1.2 }, now());
    run(150ms);
    EXPECT_TRUE(siblings_.reports_.empty());
    receive(RoomReport { { { backendNumberOf("worker"), 4, 16, 100, false, 0 } } });
    EXPECT_FALSE(worker().isRoomShared(now()));
    EXPECT_TRUE(worker().hasCapacity(now()));
}

} // namespace
