#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "src/platform/ConfigUpdate.h"
#include "src/platform/ConfigWatcher.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/RecordingLog.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart { 1h };

StoredObject catalogue(std::uint64_t version, const char *service)
{
    Catalogue catalogue;
    Service row;
    row.name_ = ServiceName(service);
    catalogue.services_.push_back(row);
    return StoredObject {
        { ObjectKind::Catalogue, "main" }, Version { version }, false, formatCatalogue(catalogue)
    };
}

StoredObject badCatalogue(std::uint64_t version)
{
    StoredObject object = catalogue(version, "huts");
    object.value_ = R"({"services":7})";
    return object;
}

bool isInForce(ConfigState &state, const char *service)
{
    return state.configuration()->services_.contains(ServiceName(service));
}

// Guards against a host that serves an old configuration as if the store had confirmed it, while
// the version that replaced it is in force on other hosts.
TEST(RejectedVersion, IsNotConfirmed)
{
    ConfigState state({ ObjectKind::Catalogue });
    state.apply(catalogue(5, "huts"));
    state.confirm(kStart);
    state.apply(badCatalogue(6));
    state.confirm(kStart + 1s);
    EXPECT_EQ(state.age(kStart + 2s), 2s);
    EXPECT_TRUE(isInForce(state, "huts"));
    state.apply(catalogue(7, "permits"));
    state.confirm(kStart + 3s);
    EXPECT_EQ(state.age(kStart + 4s), 1s) << "a good version replaced the bad one";
}

// Guards against a host that becomes ready without a catalogue: its first one cannot be read.
TEST(RejectedVersion, OfAFirstStartLeavesTheHostUnconfirmed)
{
    ConfigState state({ ObjectKind::Catalogue });
    state.apply(badCatalogue(6));
    state.confirm(kStart);
    EXPECT_FALSE(state.age(kStart));
    state.apply({ { ObjectKind::Catalogue, "main" }, Version { 7 }, true, {} });
    state.confirm(kStart);
    EXPECT_TRUE(state.age(kStart)) << "the store no longer has the bad version";
}

// Guards against a host that never confirms again after the object of the bad version was removed
// while the host did not watch.
TEST(RejectedVersion, EndsWhenAListingLacksTheObject)
{
    ConfigState state({ ObjectKind::Catalogue });
    state.apply(badCatalogue(6));
    state.applyListing({}, Version { 8 }, { ObjectKind::Catalogue });
    state.confirm(kStart);
    EXPECT_TRUE(state.age(kStart));
}

// Guards against a host that fails closed because of an object on which no request's acceptance
// depends.
TEST(RejectedVersion, OfAKindThatIsNotConfirmedDoesNotAgeTheConfiguration)
{
    ConfigState state({ ObjectKind::Catalogue });
    state.apply({ { ObjectKind::Zone, "north" }, Version { 6 }, false, "[]" });
    state.confirm(kStart);
    EXPECT_TRUE(state.age(kStart));
}

// Guards against a confirmation by a sibling that has not received the bad version.
TEST(RejectedVersion, IsNotConfirmedThroughASibling)
{
    ConfigState here({ ObjectKind::Catalogue });
    ConfigState there({ ObjectKind::Catalogue });
    here.apply(catalogue(5, "huts"));
    there.apply(catalogue(5, "huts"));
    here.apply(badCatalogue(6));
    EXPECT_NE(here.confirmedDigest(), there.confirmedDigest());
    here.confirmThroughSibling(here.confirmedDigest(), 10ms, kStart);
    EXPECT_FALSE(here.age(kStart));
    there.confirmThroughSibling(here.confirmedDigest(), 10ms, kStart);
    EXPECT_FALSE(there.age(kStart)) << "it has not received the bad version yet";
    there.apply(badCatalogue(6));
    EXPECT_EQ(here.confirmedDigest(), there.confirmedDigest());
    here.apply(catalogue(7, "huts"));
    there.apply(catalogue(7, "huts"));
    EXPECT_EQ(here.confirmedDigest(), there.confirmedDigest());
}

// Guards against hosts that each read the store because none of them can confirm a version that
// they all rejected: what was read can be passed on, but does not confirm the configuration.
TEST(RejectedVersion, IsKnownAsReadAndPassedOnAsRead)
{
    ConfigState here({ ObjectKind::Catalogue });
    ConfigState there({ ObjectKind::Catalogue });
    here.apply(badCatalogue(6));
    here.confirm(kStart);
    EXPECT_FALSE(here.age(kStart));
    EXPECT_EQ(here.readAge(kStart + 1s), 1s);
    there.confirmThroughSibling(here.confirmedDigest(), 1s, kStart + 1s);
    EXPECT_FALSE(there.readAge(kStart + 1s)) << "it has not received the bad version yet";
    there.apply(badCatalogue(6));
    there.confirmThroughSibling(here.confirmedDigest(), 1s, kStart + 1s);
    EXPECT_FALSE(there.age(kStart + 1s));
    EXPECT_GE(there.readAge(kStart + 1s), 1s);
    there.apply(catalogue(7, "huts"));
    EXPECT_GE(there.readAge(kStart + 1s), 1s) << "a newer version is in force";
    EXPECT_FALSE(there.age(kStart + 1s)) << "nothing has confirmed it yet";
}

// Guards against a confirmation that is passed on for a version that the store did not have when it
// was read: the order of the rejected one and of that in force is not known.
TEST(RejectedVersion, CountsAsReadNoLongerIfItsOrderIsNotKnown)
{
    ConfigState state({ ObjectKind::Catalogue });
    state.apply(catalogue(5, "huts"));
    state.confirm(kStart);
    state.apply(catalogue(0, "permits"));
    state.confirm(kStart + 1s);
    EXPECT_EQ(state.age(kStart + 1s), 1s);
    EXPECT_EQ(state.readAge(kStart + 1s), 0s);
    state.apply(catalogue(5, "huts"));
    EXPECT_EQ(state.readAge(kStart + 1s), 1s);
}

// Guards against hosts that differ for good because only one of them saw the bad version before the
// good one that replaced it.
TEST(RejectedVersion, LeavesNoTraceInTheDigestOnceReplaced)
{
    ConfigState saw;
    ConfigState didNotSee;
    saw.apply(catalogue(5, "huts"));
    saw.apply(badCatalogue(6));
    saw.apply(badCatalogue(7));
    saw.apply(catalogue(8, "huts"));
    didNotSee.apply(catalogue(8, "huts"));
    EXPECT_EQ(saw.digest(), didNotSee.digest());
    EXPECT_EQ(saw.confirmedDigest(), didNotSee.confirmedDigest());
}

// Guards against an object that is lost without a line, and against a line for each poll.
TEST(RejectedVersion, IsLoggedOnceWithWhatStaysInForce)
{
    ConfigState state;
    RecordingLog log;
    applyObjects({ catalogue(5, "huts") }, ObjectOrigin::Store, state, log);
    for (int poll = 0; poll < 3; ++poll)
        applyObjects({ badCatalogue(6) }, ObjectOrigin::Store, state, log);
    EXPECT_EQ(log.count({ R"("result":"rejected")" }), 1U);
    EXPECT_EQ(log.count({ R"("object":"catalogue/main")", R"("version":6)", "must be an array",
                          R"("in_force":5)" }),
              1U);
    applyObjects({ badCatalogue(7) }, ObjectOrigin::Sibling, state, log);
    EXPECT_EQ(log.count({ R"("result":"rejected")", R"("version":7)" }), 1U);
}

// Guards against an entry that is dropped without a line, as a repeated one would be: the store's
// reply holds no version of it that can be read.
TEST(RejectedVersion, IsReportedIfItsVersionCannotBeRead)
{
    ConfigState state({ ObjectKind::Catalogue });
    RecordingLog log;
    applyObjects({ catalogue(0, "huts") }, ObjectOrigin::Store, state, log);
    EXPECT_EQ(log.count({ R"("object":"catalogue/main")", R"("result":"rejected")" }), 1U);
    applyObjects({ catalogue(5, "huts"), catalogue(0, "permits") }, ObjectOrigin::Store, state,
                 log);
    EXPECT_TRUE(isInForce(state, "huts"));
    state.confirm(kStart);
    EXPECT_FALSE(state.age(kStart));
    applyObjects({ catalogue(5, "huts") }, ObjectOrigin::Store, state, log);
    state.confirm(kStart);
    EXPECT_TRUE(state.age(kStart));
}

// Guards against a watch whose replies renew the confirmation while it cannot apply what they hold.
TEST(RejectedVersion, IsNotConfirmedByAWatch)
{
    EventQueue events;
    FakeObjectStore store;
    ConfigState state({ ObjectKind::Catalogue });
    RecordingLog log;
    store.feed_.confirms_ = true;
    store.feed_.kinds_ = { ObjectKind::Catalogue };
    store.defer_ = [&](std::function<void()> task) { events.after(1ms, std::move(task)); };
    const auto now = [&] { return kStart + events.now(); };
    ConfigWatcher watcher(
        store, 0, state,
        [&](Duration delay, std::function<void()> task) { events.after(delay, std::move(task)); },
        now, Random(1), log, [] {});
    const ObjectRef ref { ObjectKind::Catalogue, "main" };
    store.set(ref, catalogue(0, "huts").value_);
    watcher.start();
    events.runUntil(1s, [] {});
    const auto before = state.age(now());
    ASSERT_TRUE(before);
    store.set(ref, badCatalogue(0).value_);
    events.runUntil(3s, [] {});
    EXPECT_EQ(state.age(now()), *before + 2s);
    EXPECT_EQ(log.count({ R"("result":"rejected")" }), 1U);
    store.set(ref, catalogue(0, "permits").value_);
    events.runUntil(4s, [] {});
    // A reply confirms from when its watch was sent: after the reply with the bad version.
    EXPECT_EQ(state.age(now()), 4s - 1001ms);
    EXPECT_TRUE(isInForce(state, "permits"));
}

// Guards against rejected versions that no metric shows, and against counting one for each poll.
TEST(RejectedVersion, IsCountedOnce)
{
    ConfigState state;
    MetricRegistry metrics;
    const auto shows = [&](const std::string &line) {
        updateRejectionMetrics(state, metrics);
        return metrics.exposition().find(line + '\n') != std::string::npos;
    };
    state.apply(catalogue(5, "huts"));
    EXPECT_TRUE(shows("pimento_config_rejected_versions_total 0"));
    for (int poll = 0; poll < 3; ++poll) {
        state.apply(badCatalogue(6));
        EXPECT_TRUE(shows("pimento_config_rejected_versions_total 1"));
        EXPECT_TRUE(shows("pimento_config_rejected_objects 1"));
    }
    state.apply(badCatalogue(7));
    state.apply(catalogue(8, "huts"));
    EXPECT_TRUE(shows("pimento_config_rejected_versions_total 2"));
    EXPECT_TRUE(shows("pimento_config_rejected_objects 0"));
}

} // namespace
