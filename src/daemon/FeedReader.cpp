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

void FeedReader::start()
{
    for (const auto &watcher : watchers_)
        watcher->start();
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
    const auto age = config_.age(now);
    const bool haveReadersTimedOut = !age || *age >= options_.readerSilence_;
    if (haveReadersTimedOut || hasDiverged)
        readsUntil_ = now + kMinReadDuration;
    const bool shouldRead = isReader || !isComplete_ || now < readsUntil_;
    for (const auto &watcher : watchers_) {
        // Until its first complete read a host has no configuration to serve with, so it retries
        // fast.
        watcher->setSlowRetry(!isReader && isComplete_);
        if (shouldRead == !watcher->isPaused())
            continue;
        if (shouldRead)
            watcher->start();
        else
            watcher->pause();
    }
}

} // namespace pimentostage
