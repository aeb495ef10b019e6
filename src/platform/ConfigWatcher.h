#pragma once

#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Random.h"
#include "pimentostage/platform/Backoff.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"

#include <functional>
#include <optional>

namespace pimentostage {

/// Keeps a ConfigState up to date with one feed of the store: one listing, then successive watches.
///
/// Lives on the control thread.
class ConfigWatcher
{
public:
    /// @param feed index of the feed.
    /// @param onChange called after each reply of the store, also after a failed call.
    ConfigWatcher(ObjectStore &store, std::size_t feed, ConfigState &state, RunAfter runAfter,
                  Clock clock, Random random, LogSink &log, std::function<void()> onChange);

    /// Starts with a listing, also after pause().
    void start();
    /// Reads the feed once, and repeats that only after a failure.
    /// @param consistency of the reply, if the feed confirms nothing; else it is linearizable.
    void readOnce(ReadConsistency consistency);
    /// Selects the longer retry delays, for a host that retries at the same time as many others.
    void setSlowRetry(bool isSlowRetry) { isSlowRetry_ = isSlowRetry; }
    /// Starts no further call. A call in progress completes.
    void pause() { mode_ = Mode::Paused; }
    /// Reads the changes since the last reply beside the watch in progress, whose connection may
    /// have gone silent, unless it did so less than @p minPeriod ago.
    void refresh(Duration minPeriod, TimePoint now);
    /// Records that the store confirmed what this feed has read.
    /// @param sentAt when the confirming request was sent.
    void confirm(TimePoint sentAt);
    /// @return whether it watches the feed, and does not just read it once.
    [[nodiscard]] bool isWatching() const { return mode_ == Mode::Watching; }

    /// @return whether the last call to the store succeeded.
    [[nodiscard]] bool isConnected() const { return connected_; }
    /// @return the revision up to which the feed has been read; zero before the first listing.
    [[nodiscard]] Version revision() const { return revision_; }
    /// @return when the last successful call that may not return stale data was sent.
    [[nodiscard]] std::optional<TimePoint> readAt() const { return readAt_; }
    [[nodiscard]] const StoreFeed &feed() const { return feed_; }

private:
    enum class Mode { Paused, ReadingOnce, Watching };

    void list();
    void relistAfterOutage();
    void watch();
    void onListing(const Reply<StoreListing> &reply, ReadConsistency consistency, TimePoint sentAt);
    void onChanges(const Reply<StoreListing> &reply, TimePoint sentAt);
    void onRefresh(const Reply<StoreListing> &reply, TimePoint sentAt);
    void onRelisting(const Reply<StoreListing> &reply, TimePoint sentAt);
    /// Records a successful call. @p sentAt is empty if the reply may be stale.
    void onRead(Version revision, std::optional<TimePoint> sentAt);
    void onSuccess(Version revision, std::optional<TimePoint> sentAt, Duration delay);
    void onFailure(const Error &error);
    void logRestored(Version revision);

    ObjectStore &store_;
    const std::size_t feedIndex_;
    const StoreFeed feed_;
    Version revision_;
    ConfigState &state_;
    const RunAfter runAfter_;
    const Clock clock_;
    Random random_;
    LogSink &log_;
    const std::function<void()> onChange_;
    Backoff backoff_;
    Backoff slowBackoff_;
    bool isSlowRetry_ = false;
    bool connected_ = false;
    Mode mode_ = Mode::Paused;
    ReadConsistency consistency_ = ReadConsistency::Linearizable; ///< of a single read
    bool isCallPending_ = false; ///< a call is in progress or scheduled
    bool hasListFailed_ = false; ///< since the last successful listing
    std::optional<TimePoint> readAt_;
    std::optional<TimePoint> refreshedAt_; ///< when the last refresh was sent
    bool isRefreshPending_ = false;
    std::uint64_t lastCall_ = 0; ///< number of the call whose reply continues the watch
};

} // namespace pimentostage
