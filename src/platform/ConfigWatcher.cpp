#include "src/platform/ConfigWatcher.h"

#include "pimentostage/platform/Generation.h"
#include "src/platform/ConfigUpdate.h"

namespace pimentostage {

namespace {

// Time after an outage of the store within which expired entries are registered again.
constexpr Duration kReregistrationPeriod = std::chrono::milliseconds(2200);
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
    store_.listFeed(feedIndex_, consistency,
                    [this, sentAt](const Reply<StoreListing> &reply) { onListing(reply, sentAt); });
}

void ConfigWatcher::watch()
{
    if (mode_ == Mode::ReadingOnce)
        mode_ = Mode::Paused;
    isCallPending_ = mode_ == Mode::Watching;
    if (!isCallPending_)
        return;
    const TimePoint sentAt = clock_();
    store_.watchFeed(
        feedIndex_, revision_, feed_.watchTimeout_,
        [this, sentAt](const Reply<StoreListing> &reply) { onChanges(reply, sentAt); });
}

void ConfigWatcher::onListing(const Reply<StoreListing> &reply, TimePoint sentAt)
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
    onSuccess(listing.revision_, sentAt, Duration::zero());
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
    store_.listFeed(feedIndex_, ReadConsistency::Linearizable,
                    [this](const Reply<StoreListing> &reply) {
                        const auto *listing = std::get_if<StoreListing>(&reply);
                        // After another restoration, its own listing waits for the missing entries.
                        if (!listing || generationOf(listing->revision_) > generationOf(revision_))
                            return;
                        applyObjects(listing->objects_, ObjectOrigin::Store, state_, log_);
                        state_.applyListing(listing->objects_, listing->revision_, feed_.kinds_);
                        onChange_();
                    });
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

void ConfigWatcher::onSuccess(Version revision, TimePoint sentAt, Duration delay)
{
    if (!connected_)
        log_.write(LogLine(Severity::Info, "store-connected")
                       .add("feed", static_cast<std::uint64_t>(feedIndex_))
                       .add("generation", generationOf(revision).value_)
                       .add("revision", revisionOf(revision)));
    connected_ = true;
    backoff_.reset();
    slowBackoff_.reset();
    revision_ = std::max(revision_, revision);
    if (feed_.confirms_)
        state_.confirm(sentAt);
    onChange_();
    if (delay > Duration::zero())
        runAfter_(delay, [this] { watch(); });
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
    runAfter_(backoff.next(random_), [this] {
        if (mode_ == Mode::Paused)
            isCallPending_ = false;
        else
            list();
    });
}

} // namespace pimentostage
