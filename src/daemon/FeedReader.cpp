#include "src/daemon/FeedReader.h"

#include <algorithm>
#include <array>

namespace pimentostage {

namespace {

// A host that has started to read the store continues for this long, so that short gaps in the
// readers' confirmations do not start and stop it each time.
constexpr Duration kMinReadDuration = std::chrono::seconds(5);
// Share of an area's maximum age after which a reader reads it again. The rest is for the hops to
// the hosts that are farthest from the readers.
constexpr double kRefreshShare = 0.5;
// Maximum time in which a sound store replies once a watch has ended, and the control thread runs.
constexpr Duration kReplyTime = std::chrono::milliseconds(100);

using MaxAge = Duration ControlOptions::*;
// The maximum age of each KnowledgeArea, in its order.
constexpr std::array<MaxAge, kEnumCount<KnowledgeArea>> kMaxAges {
    &ControlOptions::readerSilence_,
    &ControlOptions::maxBackendsAge_,
    &ControlOptions::maxZonesAge_,
};

Duration maxAgeOf(const ControlOptions &options, KnowledgeArea area)
{
    return options.*kMaxAges.at(static_cast<std::size_t>(area));
}

} // namespace

FeedReader::FeedReader(const ControlOptions &options, ObjectStore &store, ConfigState &config,
                       const RunAfter &runAfter, const Clock &clock, std::uint64_t seed,
                       LogSink &log, OnRead onRead)
    : options_(options)
    , config_(config)
    , log_(log)
    , onRead_(std::move(onRead))
{
    const std::vector<StoreFeed> feeds = store.feeds();
    for (std::size_t feed = 0; feed < feeds.size(); ++feed) {
        // A confirmation counts from when its watch was sent, and is replaced when the next ends.
        if (feeds[feed].confirms_)
            confirmationAge_ = 2 * feeds[feed].watchTimeout_ + kReplyTime;
        watchers_.push_back(std::make_unique<ConfigWatcher>(store, feed, config, runAfter, clock,
                                                            Random(seed + feed), log,
                                                            [this, feed] { onFeedRead(feed); }));
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

// A reply contains the revision of the whole store, so it also confirms the other feeds that have
// been read up to it.
void FeedReader::onFeedRead(std::size_t feed)
{
    const ConfigWatcher &read = *watchers_[feed];
    for (const auto &watcher : watchers_) {
        if (read.readAt() && watcher->revision() >= read.revision())
            watcher->confirm(*read.readAt());
    }
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
    readStaleFeeds(now);
    logStaleAreas(now);
    if (options_.readers_ == 0)
        return;
    const bool needsRead = hasStaleArea(now) || hasDiverged;
    if (needsRead)
        readsUntil_ = now + kMinReadDuration;
    // All hosts read a version that they reject, each for itself; what follows it comes from the
    // readers.
    const bool mayStop = now >= readsUntil_ || !config_.isConfirmable();
    const bool shouldWatch = isReader || needsRead || !mayStop;
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

bool FeedReader::hasStaleArea(TimePoint now) const
{
    const auto isStale = [&](const auto &row) {
        return config_.readAge(now, row.value_).value_or(now - startedAt_)
               >= maxAgeOf(options_, row.value_);
    };
    return std::any_of(EnumTable<KnowledgeArea>::kRows.begin(),
                       EnumTable<KnowledgeArea>::kRows.end(), isStale);
}

// The feed that confirms the configuration has short watches and is not read in addition to them.
void FeedReader::readStaleFeeds(TimePoint now)
{
    for (const auto &row : EnumTable<KnowledgeArea>::kRows) {
        const Duration refreshAge
            = std::max(confirmationAge_,
                       fromSeconds(toSeconds(maxAgeOf(options_, row.value_)) * kRefreshShare));
        const auto age = config_.age(now, row.value_);
        if (age && *age < refreshAge)
            continue;
        for (const auto &watcher : watchers_) {
            if (!watcher->feed().confirms_ && watcher->feed().covers(row.value_))
                watcher->refresh(refreshAge, now);
        }
    }
}

void FeedReader::logStaleAreas(TimePoint now)
{
    for (const auto &row : EnumTable<KnowledgeArea>::kRows) {
        const auto age = config_.age(now, row.value_);
        const bool isStale = age && *age >= maxAgeOf(options_, row.value_);
        if (isStale == staleAreas_.contains(row.value_))
            continue;
        log_.write(LogLine(isStale ? Severity::Warning : Severity::Info,
                           isStale ? "knowledge-stale" : "knowledge-confirmed")
                       .add("area", row.name_)
                       .add("age_ms", toMilliseconds(*age)));
        if (isStale)
            staleAreas_.insert(row.value_);
        else
            staleAreas_.erase(row.value_);
    }
}

} // namespace pimentostage
