#include "src/platform/ConfigWatcher.h"

#include "src/platform/ConfigIntake.h"

namespace pimentostage {

namespace {

// Time after the store's return within which entries that lapsed meanwhile are written again.
constexpr Duration kReturnTime = std::chrono::milliseconds(2200);
constexpr Duration kFirstDelay = std::chrono::milliseconds(50);
constexpr Duration kMostDelay = std::chrono::seconds(2);
// 69 hosts that all retried at the pace of readers made 991 calls in a second.
constexpr Duration kFirstSlowDelay = std::chrono::seconds(1);
constexpr Duration kMostSlowDelay = std::chrono::seconds(4);

} // namespace

ConfigWatcher::ConfigWatcher(ObjectStore &store, std::size_t feed, ConfigState &state,
                             RunAfter runAfter, Clock clock, Random random, LogSink &log,
                             std::function<void()> onChange)
    : store_(store)
    , feed_(feed)
    , facts_(store.feeds().at(feed))
    , state_(state)
    , runAfter_(std::move(runAfter))
    , clock_(std::move(clock))
    , random_(random)
    , log_(log)
    , onChange_(std::move(onChange))
    , backoff_(kFirstDelay, kMostDelay)
    , slowBackoff_(kFirstSlowDelay, kMostSlowDelay)
{ }

void ConfigWatcher::start()
{
    isPaused_ = false;
    if (!isCallOut_)
        list();
}

void ConfigWatcher::list()
{
    isCallOut_ = true;
    const TimePoint sentAt = clock_();
    store_.listFeed(feed_,
                    [this, sentAt](const Reply<StoreListing> &reply) { onListing(reply, sentAt); });
}

void ConfigWatcher::watch()
{
    isCallOut_ = !isPaused_;
    if (isPaused_)
        return;
    const TimePoint sentAt = clock_();
    store_.watchFeed(
        feed_, revision_, facts_.watchWait_,
        [this, sentAt](const Reply<StoreListing> &reply) { onChanges(reply, sentAt); });
}

void ConfigWatcher::onListing(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        hasListFailed_ = true;
        fail(*error);
        return;
    }
    const auto &listing = std::get<StoreListing>(reply);
    applyObjects(listing.objects_, ObjectOrigin::Store, state_, log_);
    // Entries that lapsed while the store was away come back soon after it, if they are to.
    const bool wasAway = hasListFailed_ && revision_ > Version {};
    hasListFailed_ = false;
    if (wasAway)
        runAfter_(kReturnTime, [this] { settleMissing(); });
    else
        state_.applyListing(listing.objects_, listing.revision_, facts_.kinds_);
    succeed(listing.revision_, sentAt, Duration::zero());
}

// Beside the watches, which see only what changes.
void ConfigWatcher::settleMissing()
{
    store_.listFeed(feed_, [this](const Reply<StoreListing> &reply) {
        const auto *listing = std::get_if<StoreListing>(&reply);
        if (!listing)
            return;
        applyObjects(listing->objects_, ObjectOrigin::Store, state_, log_);
        state_.applyListing(listing->objects_, listing->revision_, facts_.kinds_);
        onChange_();
    });
}

void ConfigWatcher::onChanges(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        fail(*error);
        return;
    }
    const auto &changes = std::get<StoreListing>(reply);
    if (changes.revision_ < revision_) {
        // The store has fewer changes than it had: read all of it again.
        list();
        return;
    }
    applyObjects(changes.objects_, ObjectOrigin::Store, state_, log_);
    // Changes often come in groups; a watch for each would cost a call for each.
    const bool isPaused = !changes.objects_.empty() && facts_.pause_ > Duration::zero();
    succeed(changes.revision_, sentAt, isPaused ? facts_.pause_ : Duration::zero());
}

void ConfigWatcher::succeed(Version revision, TimePoint sentAt, Duration pause)
{
    if (!connected_)
        log_.write(LogLine(Severity::Info, "store-connected")
                       .add("feed", static_cast<std::uint64_t>(feed_))
                       .add("revision", revision.value_));
    connected_ = true;
    backoff_.reset();
    slowBackoff_.reset();
    revision_ = std::max(revision_, revision);
    if (facts_.confirms_)
        state_.confirm(sentAt);
    onChange_();
    if (pause > Duration::zero())
        runAfter_(pause, [this] { watch(); });
    else
        watch();
}

void ConfigWatcher::fail(const Error &error)
{
    connected_ = false;
    log_.write(LogLine(Severity::Warning, "store-failed")
                   .add("feed", static_cast<std::uint64_t>(feed_))
                   .add("error", error.describe()));
    onChange_();
    // What happened since may be gone from the history, also if the store does not say so: only a
    // listing shows what was missed.
    if (error.code_ == ErrorCode::Stale) {
        list();
        return;
    }
    Backoff &backoff = isSlowRetry_ ? slowBackoff_ : backoff_;
    runAfter_(backoff.next(random_), [this] {
        if (isPaused_)
            isCallOut_ = false;
        else
            list();
    });
}

} // namespace pimentostage
