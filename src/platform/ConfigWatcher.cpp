#include "src/platform/ConfigWatcher.h"

#include "pimentostage/platform/Generation.h"
#include "src/platform/ConfigUpdate.h"

namespace pimentostage {

namespace {

// Time after an outage of the store within which expired entries are registered again.
constexpr Duration kReregistrationPeriod = std::chrono::milliseconds(2200);
// Delay of another attempt to find out which entries are missing after an outage.
constexpr Duration kRelistDelay = std::chrono::milliseconds(500);
constexpr Duration kInitialDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxDelay = std::chrono::seconds(2);
// When 69 hosts all retried with the readers' delays, they made 991 calls in one second.
constexpr Duration kSlowInitialDelay = std::chrono::seconds(1);
constexpr Duration kSlowMaxDelay = std::chrono::seconds(4);

} // namespace

ConfigWatcher::ConfigWatcher(ObjectStore &store, std::size_t feed, ConfigState &state,
                             RunAfter runAfter, Clock clock, Random random, LogSink &log,
                             std::function<void()> onChange)
    : store_(store)
    , feedIndex_(feed)
    , feed_(store.feeds().at(feed))
    , state_(state)
    , runAfter_(std::move(runAfter))
    , clock_(std::move(clock))
    , random_(random)
    , log_(log)
    , onChange_(std::move(onChange))
    , backoff_(kInitialDelay, kMaxDelay)
    , slowBackoff_(kSlowInitialDelay, kSlowMaxDelay)
{ }

void ConfigWatcher::start()
{
    mode_ = Mode::Watching;
    if (!isCallPending_)
        list();
}

void ConfigWatcher::readOnce(ReadConsistency consistency)
{
    mode_ = Mode::ReadingOnce;
    consistency_ = consistency;
    if (!isCallPending_)
        list();
}

void ConfigWatcher::list()
{
    isCallPending_ = true;
    const bool mayBeStale = mode_ == Mode::ReadingOnce && !feed_.confirms_;
    const ReadConsistency consistency = mayBeStale ? consistency_ : ReadConsistency::Linearizable;
    const TimePoint sentAt = clock_();
    store_.listFeed(
        feedIndex_, consistency,
        [this, consistency, sentAt, call = ++lastCall_](const Reply<StoreListing> &reply) {
            if (call == lastCall_)
                onListing(reply, consistency, sentAt);
        });
}

void ConfigWatcher::watch()
{
    if (mode_ == Mode::ReadingOnce)
        mode_ = Mode::Paused;
    isCallPending_ = mode_ == Mode::Watching;
    if (!isCallPending_)
        return;
    const TimePoint sentAt = clock_();
    store_.watchFeed(feedIndex_, revision_, feed_.watchTimeout_,
                     [this, sentAt, call = ++lastCall_](const Reply<StoreListing> &reply) {
                         if (call == lastCall_)
                             onChanges(reply, sentAt);
                     });
}

void ConfigWatcher::refresh(Duration minPeriod, TimePoint now)
{
    const bool isDue = !refreshedAt_ || now >= *refreshedAt_ + minPeriod;
    if (!isWatching() || !connected_ || isRefreshPending_ || !isDue)
        return;
    isRefreshPending_ = true;
    refreshedAt_ = now;
    store_.watchFeed(feedIndex_, revision_, Duration::zero(),
                     [this, now](const Reply<StoreListing> &reply) { onRefresh(reply, now); });
}

void ConfigWatcher::onRefresh(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    isRefreshPending_ = false;
    const auto *error = std::get_if<Error>(&reply);
    if (error) {
        log_.write(LogLine(Severity::Warning, "store-refresh-failed")
                       .add("feed", static_cast<std::uint64_t>(feedIndex_))
                       .add("error", error->describe()));
        if (error->code_ == ErrorCode::Stale && isWatching())
            list();
        return;
    }
    const auto &changes = std::get<StoreListing>(reply);
    const bool isRestored = generationOf(changes.revision_) != generationOf(revision_);
    if (isRestored && isWatching())
        list();
    // A reply that the watch has overtaken contains nothing new.
    if (isRestored || changes.revision_ < revision_)
        return;
    applyObjects(changes.objects_, ObjectOrigin::Store, state_, log_);
    onRead(changes.revision_, sentAt);
    onChange_();
    // The watch has not reported these changes, so its connection may be dead.
    if (!changes.objects_.empty() && isWatching())
        watch();
}

void ConfigWatcher::onListing(const Reply<StoreListing> &reply, ReadConsistency consistency,
                              TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        hasListFailed_ = true;
        onFailure(*error);
        return;
    }
    const auto &listing = std::get<StoreListing>(reply);
    applyObjects(listing.objects_, ObjectOrigin::Store, state_, log_);
    const bool isRestored = generationOf(listing.revision_) > generationOf(revision_);
    if (isRestored && revision_ > Version {})
        logRestored(listing.revision_);
    // Entries that expired during an outage, or that a restored store lacks, are written again soon
    // after it, so missing ones are not deleted at once.
    const bool mayLackEntries = (hasListFailed_ || isRestored) && revision_ > Version {};
    hasListFailed_ = false;
    if (mayLackEntries)
        runAfter_(kReregistrationPeriod, [this] { relistAfterOutage(); });
    else
        state_.applyListing(listing.objects_, listing.revision_, feed_.kinds_);
    const bool isFresh = consistency == ReadConsistency::Linearizable;
    onSuccess(listing.revision_, isFresh ? std::optional(sentAt) : std::nullopt, Duration::zero());
}

void ConfigWatcher::logRestored(Version revision)
{
    log_.write(LogLine(Severity::Warning, "store-restored")
                   .add("feed", static_cast<std::uint64_t>(feedIndex_))
                   .add("generation_before", generationOf(revision_).value_)
                   .add("revision_before", revisionOf(revision_))
                   .add("generation", generationOf(revision).value_)
                   .add("revision", revisionOf(revision)));
}

// Runs in addition to the watches: a watch reports only changes, not entries that are missing.
void ConfigWatcher::relistAfterOutage()
{
    const TimePoint sentAt = clock_();
    store_.listFeed(
        feedIndex_, ReadConsistency::Linearizable,
        [this, sentAt](const Reply<StoreListing> &reply) { onRelisting(reply, sentAt); });
}

void ConfigWatcher::onRelisting(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    const auto *listing = std::get_if<StoreListing>(&reply);
    if (!listing) {
        // Nothing else would delete the missing entries before the next failure of a listing.
        runAfter_(kRelistDelay, [this] { relistAfterOutage(); });
        return;
    }
    // After another restoration, its own listing waits for the missing entries.
    if (generationOf(listing->revision_) > generationOf(revision_))
        return;
    applyObjects(listing->objects_, ObjectOrigin::Store, state_, log_);
    state_.applyListing(listing->objects_, listing->revision_, feed_.kinds_);
    confirm(sentAt);
    onChange_();
}

void ConfigWatcher::onChanges(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        onFailure(*error);
        return;
    }
    const auto &changes = std::get<StoreListing>(reply);
    const bool isRestored = generationOf(changes.revision_) != generationOf(revision_);
    if (isRestored || changes.revision_ < revision_) {
        // The changes do not follow from what was read before, so all objects are read again.
        list();
        return;
    }
    applyObjects(changes.objects_, ObjectOrigin::Store, state_, log_);
    // Changes often come in bursts; without a delay each change would cost one watch call.
    const bool isDelayed = !changes.objects_.empty() && feed_.batchDelay_ > Duration::zero();
    onSuccess(changes.revision_, sentAt, isDelayed ? feed_.batchDelay_ : Duration::zero());
}

void ConfigWatcher::confirm(TimePoint sentAt)
{
    for (const auto &row : EnumTable<KnowledgeArea>::kRows) {
        if (feed_.covers(row.value_))
            state_.confirm(sentAt, row.value_);
    }
}

void ConfigWatcher::onRead(Version revision, std::optional<TimePoint> sentAt)
{
    revision_ = std::max(revision_, revision);
    if (!sentAt)
        return;
    readAt_ = readAt_ ? std::max(*readAt_, *sentAt) : *sentAt;
    confirm(*sentAt);
}

void ConfigWatcher::onSuccess(Version revision, std::optional<TimePoint> sentAt, Duration delay)
{
    if (!connected_)
        log_.write(LogLine(Severity::Info, "store-connected")
                       .add("feed", static_cast<std::uint64_t>(feedIndex_))
                       .add("generation", generationOf(revision).value_)
                       .add("revision", revisionOf(revision)));
    connected_ = true;
    backoff_.reset();
    slowBackoff_.reset();
    onRead(revision, sentAt);
    onChange_();
    if (delay > Duration::zero())
        runAfter_(delay, [this, call = lastCall_] {
            if (call == lastCall_)
                watch();
        });
    else
        watch();
}

void ConfigWatcher::onFailure(const Error &error)
{
    connected_ = false;
    log_.write(LogLine(Severity::Warning, "store-failed")
                   .add("feed", static_cast<std::uint64_t>(feedIndex_))
                   .add("error", error.describe()));
    onChange_();
    // The store's history may no longer contain the changes since the last reply, even if the error
    // does not say so; only a listing shows what was missed.
    if (error.code_ == ErrorCode::Stale) {
        list();
        return;
    }
    Backoff &backoff = isSlowRetry_ ? slowBackoff_ : backoff_;
    runAfter_(backoff.next(random_), [this, call = lastCall_] {
        if (call != lastCall_)
            return;
        if (mode_ == Mode::Paused)
            isCallPending_ = false;
        else
            list();
    });
}

} // namespace pimentostage
