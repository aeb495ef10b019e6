#pragma once

#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Random.h"
#include "pimentostage/platform/Backoff.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"

#include <functional>

namespace pimentostage {

/// Keeps a ConfigState up to date with one feed of the store: one listing, then one watch after
/// the other.
///
/// Lives on the control thread.
class ConfigWatcher
{
public:
    /// @param onChange called after objects changed or the state was confirmed.
    ConfigWatcher(ObjectStore &store, std::size_t feed, ConfigState &state, RunAfter runAfter,
                  Clock clock, Random random, LogSink &log, std::function<void()> onChange);

    /// Starts with a listing, or goes on with one after pause().
    void start();
    /// Makes it wait longer after failures, as is right for one of many that try.
    void setSlowRetry(bool isSlowRetry) { isSlowRetry_ = isSlowRetry; }
    /// Starts no further call. One that is under way is finished.
    void pause() { isPaused_ = true; }
    [[nodiscard]] bool isPaused() const { return isPaused_; }

    /// @return whether the last call to the store succeeded.
    [[nodiscard]] bool isConnected() const { return connected_; }
    /// @return the revision up to which the feed was read; zero before the first listing.
    [[nodiscard]] Version revision() const { return revision_; }

private:
    void list();
    void settleMissing();
    void watch();
    void onListing(const Reply<StoreListing> &reply, TimePoint sentAt);
    void onChanges(const Reply<StoreListing> &reply, TimePoint sentAt);
    void succeed(Version revision, TimePoint sentAt, Duration pause);
    void fail(const Error &error);

    ObjectStore &store_;
    const std::size_t feed_;
    const StoreFeed facts_;
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
    bool isPaused_ = false;
    bool isCallOut_ = false; ///< a call is under way, or will be made after a delay
    bool hasListFailed_ = false; ///< since the last listing
};

} // namespace pimentostage
