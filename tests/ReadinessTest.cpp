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

const ObjectRef kCatalogue { ObjectKind::Catalogue, "main" };
constexpr Duration kChangeDeadline = 2s;

class NoSiblings : public SiblingSender
{
public:
    void send(const HostName &, const SiblingMessage &) override { }
};

class SilentBackends : public BackendLink
{
public:
    void grant(const Address &, const Grant &, OnGrantReply) override { }
    void probe(const Address &, OnProbeReply) override { }
};

/// A host that is alone with a store whose feed has catalogues.
class ReadinessTest : public testing::Test
{
protected:
    explicit ReadinessTest(MissingTeams missingTeams = MissingTeams::Open)
        : routing_(std::make_shared<RoutingTable>())
        , views_(std::make_shared<TrafficView>())
        , reader_(views_)
    {
        store_.feed_.kinds_ = { ObjectKind::Catalogue, ObjectKind::Backend, ObjectKind::Role };
        store_.defer_ = [this](std::function<void()> task) { events_.after(1ms, std::move(task)); };
        MemberUpdate self;
        self.member_ = Member { HostName("a"), Incarnation { 1 } };
        self.address_ = Address { "10.0.0.1", 1 };
        self.zone_ = ZoneName("north");
        ControlOptions options;
        options.changeDeadline_ = kChangeDeadline;
        options.missingTeams_ = missingTeams;
        options.majorityConfirms_ = false;
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
        core_
            = std::make_unique<ControlCore>(self, options, ports, routing_, views_, log_, metrics_);
    }

    TimePoint now() const { return TimePoint(1h) + events_.now(); }

    void run(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += 10ms) {
            events_.runUntil(events_.now() + 10ms, [] {});
            core_->tick();
        }
    }

    const TrafficView &view() { return *(view_ = reader_.get()); }

    EventQueue events_;
    FakeObjectStore store_;
    NoSiblings siblings_;
    SilentBackends backends_;
    UnreachableRangeLink ranges_;
    NullLog log_;
    MetricRegistry metrics_;
    SnapshotPublisher<RoutingTable> routing_;
    SnapshotPublisher<TrafficView> views_;
    SnapshotReader<TrafficView> reader_;
    std::shared_ptr<const TrafficView> view_;
    std::unique_ptr<ControlCore> core_;
};

// Guards against a host that gets traffic before it can decide on it: the store had confirmed that
// there was nothing newer than the one catalogue, which the host had rejected.
TEST_F(ReadinessTest, AHostWithoutACatalogueIsNotReady)
{
    store_.set(kCatalogue, "no catalogue");
    core_->start();
    run(500ms);
    EXPECT_EQ(core_->readiness(), Readiness::Starting);
    EXPECT_EQ(view().configKnowledge(now()), ConfigKnowledge::Missing);
    store_.set(kCatalogue, formatCatalogue(Catalogue {}));
    run(500ms);
    EXPECT_EQ(core_->readiness(), Readiness::Ready);
    EXPECT_EQ(view().addressing_, Addressing::VirtualHost);
    EXPECT_EQ(view().configKnowledge(now()), ConfigKnowledge::Current);
}

// Guards against roles, and so messages and writes, for teams that a catalogue does not have.
TEST_F(ReadinessTest, ACatalogueWithoutTeamsNeedsNoRoleForThem)
{
    Catalogue catalogue;
    catalogue.listsTeams_ = false;
    store_.set(kCatalogue, formatCatalogue(catalogue));
    core_->start();
    run(2s);
    EXPECT_EQ(core_->readiness(), Readiness::Ready);
    EXPECT_TRUE(core_->roles().electors().empty());
    Contract contract;
    contract.team_ = TeamName("caxias");
    catalogue.listsTeams_ = true;
    catalogue.contracts_.push_back(contract);
    store_.set(kCatalogue, formatCatalogue(catalogue));
    run(2s);
    EXPECT_TRUE(core_->roles().electors().contains(RoleName("accounts.0")));
    catalogue.listsTeams_ = false;
    catalogue.contracts_.clear();
    store_.set(kCatalogue, formatCatalogue(catalogue));
    run(2s);
    EXPECT_TRUE(core_->roles().electors().empty()) << "the teams were removed";
}

/// As ReadinessTest, where withdrawn keys have a deadline.
class WithdrawalReadinessTest : public ReadinessTest
{
protected:
    WithdrawalReadinessTest()
        : ReadinessTest(MissingTeams::Closed)
    { }
};

// Guards against a host that serves nothing after its start because the last team has left
// (review/13): it rejected the only catalogue there is.
TEST_F(WithdrawalReadinessTest, AHostThatStartsWithACatalogueWithoutTeamsIsReady)
{
    Catalogue catalogue;
    catalogue.listsTeams_ = false;
    store_.set(kCatalogue, formatCatalogue(catalogue));
    core_->start();
    run(500ms);
    EXPECT_EQ(core_->readiness(), Readiness::Ready);
    EXPECT_EQ(view().configKnowledge(now()), ConfigKnowledge::Current);
}

// Guards against a final refusal by a configuration that the store has not confirmed for the time
// within which a change has to be in force; the host stays ready for what it knows.
TEST_F(ReadinessTest, AConfigurationIsOutdatedAfterTheChangeDeadline)
{
    store_.set(kCatalogue, formatCatalogue(Catalogue {}));
    core_->start();
    run(500ms);
    EXPECT_EQ(view().configKnowledge(now()), ConfigKnowledge::Current);
    run(kChangeDeadline);
    EXPECT_EQ(view().configKnowledge(now()), ConfigKnowledge::Outdated);
    EXPECT_EQ(core_->readiness(), Readiness::Ready);
}

} // namespace
