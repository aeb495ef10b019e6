#include "src/daemon/StoreReading.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A host that began to read the store goes on for this long, so that it does not begin and end
// with every short silence.
constexpr Duration kReadingTime = std::chrono::seconds(5);

} // namespace

StoreReading::StoreReading(const ControlOptions &options, ObjectStore &store, ConfigState &config,
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

void StoreReading::start()
{
    for (const auto &watcher : watchers_)
        watcher->start();
}

bool StoreReading::isConnected() const
{
    return std::all_of(watchers_.begin(), watchers_.end(),
                       [](const auto &watcher) { return watcher->isConnected(); });
}

void StoreReading::onFeedRead()
{
    Version complete = watchers_.front()->revision();
    for (const auto &watcher : watchers_)
        complete = std::min(complete, watcher->revision());
    config_.adoptRevision(complete);
    const bool isFirst = !isComplete_ && complete > Version {};
    isComplete_ = isComplete_ || isFirst;
    onRead_(isFirst);
}

void StoreReading::update(bool isReader, bool hasDiverged, TimePoint now)
{
    if (options_.readers_ == 0)
        return;
    const auto age = config_.age(now);
    const bool areReadersSilent = !age || *age >= options_.readerSilence_;
    if (areReadersSilent || hasDiverged)
        readsUntil_ = now + kReadingTime;
    const bool reads = isReader || !isComplete_ || now < readsUntil_;
    for (const auto &watcher : watchers_) {
        // Before its first reading a host knows nothing by which to serve.
        watcher->setSlowRetry(!isReader && isComplete_);
        if (reads == !watcher->isPaused())
            continue;
        if (reads)
            watcher->start();
        else
            watcher->pause();
    }
}

} // namespace pimentostage
