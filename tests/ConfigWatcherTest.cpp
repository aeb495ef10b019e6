#include "src/platform/ConfigWatcher.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/NullLog.h"

#include <memory>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// A watcher that a test starts itself.
struct LoneWatcher
{
    EventQueue events_;
    FakeObjectStore store_;
    ConfigState state_;
    NullLog log_;

    /// Made on first use, so that a test can set the store's feed before.
    ConfigWatcher &watcher()
    {
        if (!watcher_) {
            watcher_ = std::make_unique<ConfigWatcher>(
                store_, 0, state_,
                [this](Duration delay, std::function<void()> task) {
                    events_.after(delay, std::move(task));
                },
                [this] { return TimePoint(1h) + events_.now(); }, Random(1), log_, [] {});
        }
        return *watcher_;
    }

private:
    std::unique_ptr<ConfigWatcher> watcher_;
};

/// @return the number of calls that a watcher makes to a store that is down for @p time.
int callsInOutage(bool isSlowRetry, Duration time)
{
    LoneWatcher lone;
    lone.store_.isDown_ = true;
    lone.watcher().setSlowRetry(isSlowRetry);
    lone.watcher().start();
    lone.events_.runUntil(time, [] {});
    return lone.store_.listCalls_;
}

// Guards against a withdrawn key that stays valid without end: a host that rejects the version
// which withdraws it must not count its older version as confirmed by the store.
TEST(ConfigWatcher, DoesNotConfirmAStateThatLacksARejectedVersion)
{
    LoneWatcher lone;
    lone.store_.feed_ = { { ObjectKind::Catalogue }, 500ms, {}, true };
    lone.store_.defer_
        = [&](std::function<void()> task) { lone.events_.after(1ms, std::move(task)); };
    const ObjectRef ref { ObjectKind::Catalogue, "main" };
    lone.store_.set(ref, R"({"services":[],"routes":[]})");
    lone.watcher().start();
    lone.events_.runUntil(5s, [] {});
    lone.store_.set(ref, "{\"services\":1}");
    lone.events_.runUntil(10s, [] {});
    ASSERT_EQ(lone.state_.versionOf(ref), Version { 1 }) << "the second version is rejected";
    // Ends the watch that was sent after the rejection.
    lone.store_.set({ ObjectKind::Zone, "north" }, formatZone(Zone {}));
    lone.events_.runUntil(11s, [] {});
    EXPECT_GE(lone.state_.age(TimePoint(1h) + 11s).value_or(1h), 10s);
}

// Guards against a burst of calls: 69 hosts made 991 calls in the first second of an outage of the
// store, and each call is billed.
TEST(ConfigWatcher, SlowRetryMakesFewCallsToAStoreThatIsDown)
{
    constexpr int kMaxCallsInOutage = 4;
    EXPECT_LE(callsInOutage(true, 4500ms), kMaxCallsInOutage);
    EXPECT_GE(callsInOutage(true, 10s), 3) << "retries must continue";
}

TEST(ConfigWatcher, AReaderDetectsTheRecoveryOfTheStoreSoon)
{
    EXPECT_GE(callsInOutage(false, 4500ms), 6);
}

// Guards against the calls of a fleet's start: 195 hosts made 12,329 calls in their first 18 s.
TEST(ConfigWatcher, ReadsOnceWithoutAWatch)
{
    LoneWatcher lone;
    lone.store_.defer_
        = [&](std::function<void()> task) { lone.events_.after(1ms, std::move(task)); };
    lone.store_.isDown_ = true;
    lone.watcher().readOnce(ReadConsistency::MayBeStale);
    lone.events_.runUntil(500ms, [] {});
    lone.store_.isDown_ = false;
    lone.events_.runUntil(5s, [] {});
    EXPECT_TRUE(lone.watcher().isConnected()) << "a failed read is repeated";
    const int calls = lone.store_.listCalls_;
    lone.events_.runUntil(20s, [] {});
    EXPECT_EQ(lone.store_.listCalls_, calls);
    EXPECT_FALSE(lone.watcher().isWatching());
    lone.watcher().start();
    lone.events_.runUntil(21s, [] {});
    EXPECT_GT(lone.store_.listCalls_, calls);
}

/// @return the consistency with which a single read asks for the objects of a feed.
ReadConsistency consistencyOfSingleRead(ReadConsistency requested, bool isConfirming)
{
    LoneWatcher lone;
    lone.store_.feed_.confirms_ = isConfirming;
    lone.watcher().readOnce(requested);
    return lone.store_.lastConsistency_;
}

// Guards against a back end that is in use again after it has left: a host that is restarted reads
// data from before. Only the first start of a fleet may read stale data, and never what confirms.
TEST(ConfigWatcher, ReadsStaleDataOnlyWhereItMay)
{
    EXPECT_EQ(consistencyOfSingleRead(ReadConsistency::Linearizable, false),
              ReadConsistency::Linearizable);
    EXPECT_EQ(consistencyOfSingleRead(ReadConsistency::MayBeStale, false),
              ReadConsistency::MayBeStale);
    EXPECT_EQ(consistencyOfSingleRead(ReadConsistency::MayBeStale, true),
              ReadConsistency::Linearizable);
}

/// A watcher of a store whose replies take some time.
struct WatchedStore
{
    WatchedStore()
    {
        store_.defer_ = [this](std::function<void()> task) { events_.after(1ms, std::move(task)); };
        watcher_.start();
        run();
    }

    void run(Duration time = 100ms)
    {
        events_.runUntil(events_.now() + time, [] {});
    }

    void evacuate(const char *zone)
    {
        const Zone out { ZoneName(zone), ZoneState::Out, Duration::zero() };
        store_.set({ ObjectKind::Zone, zone }, formatZone(out));
    }

    bool isEvacuated(const char *zone) { return !state_.configuration()->isZoneIn(ZoneName(zone)); }

    EventQueue events_;
    FakeObjectStore store_;
    ConfigState state_;
    NullLog log_;
    ConfigWatcher watcher_ { store_,
                             0,
                             state_,
                             [this](Duration delay, std::function<void()> task) {
                                 events_.after(delay, std::move(task));
                             },
                             [this] { return TimePoint(1h) + events_.now(); },
                             Random(1),
                             log_,
                             [] {} };
};

// Guards against changes that are ignored: after the store had been restored from a copy, its
// revisions were lower than before, and what the operators changed counted as older.
TEST(ConfigWatcher, AppliesChangesMadeAfterTheStoreWasRestored)
{
    WatchedStore watched;
    watched.evacuate("a");
    watched.run();
    watched.store_.copy();
    const ObjectRef zone { ObjectKind::Zone, "a" };
    const Zone in { ZoneName("a"), ZoneState::In, Duration::zero() };
    watched.store_.set(zone, formatZone(in));
    watched.store_.set(zone, formatZone(in));
    watched.run();
    ASSERT_FALSE(watched.isEvacuated("a"));
    watched.store_.restoreCopy();
    watched.evacuate("a");
    watched.run();
    EXPECT_TRUE(watched.isEvacuated("a"));
}

// Guards against a burst of calls: a watch from a revision that the restored store does not have
// yet failed at once, and the listing after it did not lower that revision.
TEST(ConfigWatcher, ARestoredStoreCausesFewCalls)
{
    WatchedStore watched;
    watched.evacuate("a");
    watched.run();
    watched.store_.copy();
    watched.evacuate("b");
    watched.run();
    const int callsBefore = watched.store_.listCalls_;
    watched.store_.restoreCopy();
    watched.run(1s);
    constexpr int kMaxCalls = 4;
    EXPECT_LE(watched.store_.listCalls_ - callsBefore, kMaxCalls);
}

// Guards against a zone that is used although its evacuation was acknowledged: the operators write
// again what the copy lacks, but only some time after the store is back.
TEST(ConfigWatcher, KeepsObjectsThatARestoredStoreLacksUntilTheyCanBeWrittenAgain)
{
    WatchedStore watched;
    watched.evacuate("a");
    watched.run();
    watched.store_.copy();
    watched.evacuate("b");
    watched.run();
    watched.store_.restoreCopy();
    watched.run(2s);
    EXPECT_TRUE(watched.isEvacuated("b"));
    watched.run(1s);
    EXPECT_FALSE(watched.isEvacuated("b")) << "nobody has written it again";
}

// Guards against a back end that is in use although its entry expired during an outage: the listing
// that deletes missing entries failed once and was not repeated.
TEST(ConfigWatcher, RepeatsTheListingThatDeletesMissingObjects)
{
    WatchedStore watched;
    watched.evacuate("a");
    watched.run();
    watched.store_.copy();
    watched.evacuate("b");
    watched.run();
    watched.store_.restoreCopy();
    watched.run(2s);
    watched.store_.isDown_ = true;
    watched.run(400ms);
    watched.store_.isDown_ = false;
    watched.run(1s);
    EXPECT_FALSE(watched.isEvacuated("b"));
}

// Guards against a change that is skipped: if the restored store already has the revision of a
// watch, the watch continues in a history other than the one that was read.
TEST(ConfigWatcher, ListsAgainIfARestoredStoreAlreadyHasTheRevisionOfItsWatch)
{
    WatchedStore watched;
    watched.evacuate("a");
    watched.run();
    watched.store_.copy();
    watched.evacuate("b");
    watched.run();
    watched.store_.isDown_ = true;
    watched.store_.restoreCopy();
    watched.evacuate("c");
    watched.evacuate("d");
    watched.store_.isDown_ = false;
    watched.run();
    EXPECT_TRUE(watched.isEvacuated("c"));
    EXPECT_TRUE(watched.isEvacuated("d"));
}

} // namespace
