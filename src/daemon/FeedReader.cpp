#include "src/daemon/FeedReader.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A host that has started to read the store continues for this long, so that short gaps in the
// readers' confirmations do not start and stop it each time.
constexpr Duration kMinReadDuration = std::chrono::seconds(5);

} // namespace

FeedReader::FeedReader(const ControlOptions &options, ObjectStore &store, ConfigState &config,
                       const RunAfter &runAfter, const Clock &clock, std::uint64_t seed,
                       LogSink &log, OnRead onRead)
    : options_(options)
    , config_(config)
    , onRead_(std::move(onRead))
{
    const std::size_t feeds = store.feeds().size();
    for (std::size_t feed = 0; feed < feeds; ++feed) {
        watchers_.push_back(std::make_unique<ConfigWatcher>(store, feed, config, runAfter, clock,
                                                            Random(seed + feed), log,
                                                            [this] { onFeedRead(); }));
    }
}

void FeedReader::start(TimePoint now)
{
    startedAt_ = now;
    for (const auto &watcher : watchers_) {
        if (options_.readers_ == 0)
            watcher->start();
        else
            watcher->readOnce(consistencyAtStart());
    }
}

// After a restart, stale data could bring a back end back that has left since.
ReadConsistency FeedReader::consistencyAtStart() const
{
    return options_.isFirstStart_ ? ReadConsistency::MayBeStale : ReadConsistency::Linearizable;
}

bool FeedReader::isConnected() const
{
    return std::all_of(watchers_.begin(), watchers_.end(),
                       [](const auto &watcher) { return watcher->isConnected(); });
}

void FeedReader::onFeedRead()
{
    Version complete = watchers_.front()->revision();
    for (const auto &watcher : watchers_)
        complete = std::min(complete, watcher->revision());
    config_.adoptRevision(complete);
    const bool isFirst = !isComplete_ && complete > Version {};
    isComplete_ = isComplete_ || isFirst;
    onRead_(isFirst);
}

void FeedReader::update(bool isReader, bool hasDiverged, TimePoint now)
{
    if (options_.readers_ == 0)
        return;
    const Duration unconfirmed = config_.age(now).value_or(now - startedAt_);
    if (unconfirmed >= options_.readerSilence_ || hasDiverged)
        readsUntil_ = now + kMinReadDuration;
    const bool shouldWatch = isReader || now < readsUntil_;
    for (const auto &watcher : watchers_) {
        // Until its first complete read a host has no configuration to serve with, so it retries
        // fast.
        watcher->setSlowRetry(!isReader && isComplete_);
        if (shouldWatch == watcher->isWatching())
            continue;
        if (shouldWatch)
            watcher->start();
        else if (isComplete_)
            watcher->pause();
        else
            watcher->readOnce(consistencyAtStart());
    }
}

} // namespace pimentostage
