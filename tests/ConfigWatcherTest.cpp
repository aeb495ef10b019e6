#include "src/platform/ConfigWatcher.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/NullLog.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// @return the number of calls that a watcher makes to a store that is down for @p time.
int callsInOutage(bool isSlowRetry, Duration time)
{
    EventQueue events;
    FakeObjectStore store;
    store.isDown_ = true;
    ConfigState state;
    NullLog log;
    ConfigWatcher watcher(
        store, 0, state,
        [&events](Duration delay, std::function<void()> task) {
            events.after(delay, std::move(task));
        },
        [&events] { return TimePoint(1h) + events.now(); }, Random(1), log, [] {});
    watcher.setSlowRetry(isSlowRetry);
    watcher.start();
    events.runUntil(time, [] {});
    return store.listCalls_;
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

} // namespace
