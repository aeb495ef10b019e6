#include "pimentostage/platform/ObjectCodec.h"
#include "src/daemon/FeedReader.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FeedStore.h"
#include "tests/fakes/RecordingLog.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart { 1h };
constexpr Duration kTick = 40ms;
/// Time after which a back end that leaves, or a data centre that is taken out, must get no
/// requests, and time after a disruption from which this binds a host.
constexpr Duration kLeaveDeadline = 2s;
constexpr Duration kEvacuationDeadline = 5s;
constexpr Duration kStableAfter = 3s;

constexpr std::size_t kBackendFeed = 1;

std::vector<StoreFeed> feedsWithLongWatches()
{
    return { { { ObjectKind::Catalogue }, 500ms, {}, true },
             { { ObjectKind::Backend }, 15s, 150ms, false },
             { { ObjectKind::Zone }, 15s, {}, false },
             { { ObjectKind::Role }, 5s, 1s, false } };
}

ControlOptions withTwoReaders()
{
    ControlOptions options;
    options.readers_ = 2;
    return options;
}

/// The part of one host that reads the store.
class ReadingHost
{
public:
    explicit ReadingHost(bool isReader)
        : isReader_(isReader)
    {
        store_.set({ ObjectKind::Catalogue, "main" }, R"({"services":[],"routes":[]})");
        setBackend("s1", BackendState::Ready);
        reader_.start(now());
        run(1s);
    }

    TimePoint now() const { return kStart + events_.now(); }

    void run(Duration time)
    {
        const Duration until = events_.now() + time;
        while (events_.now() < until) {
            events_.runUntil(std::min(until, events_.now() + kTick), [] {});
            if (hasConfirmingSibling_)
                config_.confirm(now());
            reader_.update(isReader_, false, now());
        }
    }

    void setBackend(const char *name, BackendState state)
    {
        Backend backend;
        backend.name_ = BackendName(name);
        backend.service_ = ServiceName("map");
        backend.zone_ = ZoneName("north");
        backend.address_ = Address { "10.0.0.1", 80 };
        backend.slots_ = 1;
        backend.connections_ = 1;
        backend.state_ = state;
        store_.set({ ObjectKind::Backend, name }, formatBackend(backend));
    }

    void evacuate(const char *zone)
    {
        store_.set({ ObjectKind::Zone, zone },
                   formatZone(Zone { ZoneName(zone), ZoneState::Out, Duration::zero() }));
    }

    BackendState stateOf(const char *name)
    {
        return config_.configuration()->backends_.at(BackendName(name)).state_;
    }

    bool isEvacuated(const char *zone)
    {
        return !config_.configuration()->isZoneIn(ZoneName(zone));
    }

    EventQueue events_;
    FeedStore store_ { events_, feedsWithLongWatches() };
    RecordingLog log_;
    ConfigState config_ { { ObjectKind::Catalogue } };
    /// Whether a sibling confirms the configuration, and nothing else, all the time.
    bool hasConfirmingSibling_ = false;

private:
    const bool isReader_;
    FeedReader reader_ { withTwoReaders(),
                         store_,
                         config_,
                         [this](Duration delay, std::function<void()> task) {
                             events_.after(delay, std::move(task));
                         },
                         [this] { return now(); },
                         1,
                         log_,
                         [](bool) {} };
};

} // namespace

// Guards against requests to a back end that has left: the watch of the back ends' entries waited
// on a silent connection while the configuration was confirmed on new ones.
TEST(KnowledgeAge, AReaderLearnsInTimeThatABackEndLeavesAfterItsConnectionsWentSilent)
{
    for (Duration offset = 0s; offset < 6s; offset += 250ms) {
        ReadingHost host(true);
        host.run(offset);
        host.setBackend("s2", BackendState::Ready); // the watch is made anew
        host.run(400ms);
        host.store_.silenceOpenConnections();
        host.run(kStableAfter);
        host.setBackend("s1", BackendState::Draining);
        host.run(kLeaveDeadline);
        EXPECT_EQ(host.stateOf("s1"), BackendState::Draining) << toSeconds(offset);
    }
}

// Guards against a dead watch that delays each further change until it times out.
TEST(KnowledgeAge, AWatchThatMissedAChangeIsReplaced)
{
    ReadingHost host(true);
    host.store_.silenceOpenConnections();
    host.run(kStableAfter);
    host.setBackend("s1", BackendState::Draining);
    host.run(kLeaveDeadline);
    host.setBackend("s2", BackendState::Draining);
    host.run(300ms);
    EXPECT_EQ(host.stateOf("s2"), BackendState::Draining);
}

// Guards against requests to a data centre that was taken out, as above.
TEST(KnowledgeAge, AReaderLearnsInTimeOfAnEvacuationAfterItsConnectionsWentSilent)
{
    for (Duration offset = 0s; offset < 6s; offset += 250ms) {
        ReadingHost host(true);
        host.run(offset);
        host.store_.silenceOpenConnections();
        host.run(kStableAfter);
        host.evacuate("north");
        host.run(kEvacuationDeadline);
        EXPECT_TRUE(host.isEvacuated("north")) << toSeconds(offset);
    }
}

// Guards against requests to a back end that has left: the readers' confirmations of the
// configuration say nothing about back ends, and a reader that the store turns away has none.
TEST(KnowledgeAge, AHostReadsTheStoreIfNoReaderConfirmsTheBackEnds)
{
    for (Duration offset = 0s; offset < 6s; offset += 250ms) {
        ReadingHost host(false);
        host.hasConfirmingSibling_ = true;
        host.run(offset);
        host.setBackend("s1", BackendState::Draining);
        host.run(kLeaveDeadline);
        EXPECT_EQ(host.stateOf("s1"), BackendState::Draining) << toSeconds(offset);
    }
}

// Guards against the cost of confirmations: each call to the store is billed.
TEST(KnowledgeAge, WithoutChangesBackEndsAreConfirmedByRepliesToOtherCalls)
{
    ReadingHost host(true);
    const int before = host.store_.calls(kBackendFeed);
    for (int i = 0; i < 20; ++i) {
        host.run(1s);
        EXPECT_LT(host.config_.age(host.now(), KnowledgeArea::Backends).value_or(1h), 1100ms);
    }
    EXPECT_LE(host.store_.calls(kBackendFeed) - before, 20 / 15 + 1);
}

// A refused call is no confirmation, and is not repeated more often than the age requires.
TEST(KnowledgeAge, AStoreThatTurnsAHostAwayConfirmsNothing)
{
    ReadingHost host(true);
    host.store_.isRefusing_ = true;
    const int before = host.store_.calls(kBackendFeed);
    host.run(3s);
    EXPECT_GE(host.config_.age(host.now(), KnowledgeArea::Backends).value_or(1h), 2500ms);
    EXPECT_LE(host.store_.calls(kBackendFeed) - before, 6);
    EXPECT_EQ(host.log_.count({ "knowledge-stale", "backends" }), 1U);
    host.store_.isRefusing_ = false;
    host.run(3s);
    EXPECT_EQ(host.log_.count({ "knowledge-confirmed", "backends" }), 1U);
}
