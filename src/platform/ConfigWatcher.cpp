#include "src/platform/ConfigWatcher.h"

namespace pimentostage {

namespace {

constexpr Duration kFirstDelay = std::chrono::milliseconds(50);
constexpr Duration kMostDelay = std::chrono::seconds(2);

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
{ }

void ConfigWatcher::start()
{
    list();
}

void ConfigWatcher::list()
{
    const TimePoint sentAt = clock_();
    store_.listFeed(feed_,
                    [this, sentAt](const Reply<StoreListing> &reply) { onListing(reply, sentAt); });
}

void ConfigWatcher::watch()
{
    const TimePoint sentAt = clock_();
    store_.watchFeed(
        feed_, revision_, facts_.watchWait_,
        [this, sentAt](const Reply<StoreListing> &reply) { onChanges(reply, sentAt); });
}

void ConfigWatcher::onListing(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        fail(*error, &ConfigWatcher::list);
        return;
    }
    const auto &listing = std::get<StoreListing>(reply);
    apply(listing.objects_);
    state_.applyListing(listing.objects_, listing.revision_, facts_.kinds_);
    succeed(listing.revision_, sentAt);
}

void ConfigWatcher::onChanges(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        fail(*error, &ConfigWatcher::watch);
        return;
    }
    const auto &changes = std::get<StoreListing>(reply);
    if (changes.revision_ < revision_) {
        // The store has fewer changes than it had: read all of it again.
        list();
        return;
    }
    apply(changes.objects_);
    succeed(changes.revision_, sentAt);
}

void ConfigWatcher::succeed(Version revision, TimePoint sentAt)
{
    if (!connected_)
        log_.write(LogLine(Severity::Info, "store-connected")
                       .add("feed", static_cast<std::uint64_t>(feed_))
                       .add("revision", revision.value_));
    connected_ = true;
    backoff_.reset();
    revision_ = std::max(revision_, revision);
    if (facts_.confirms_)
        state_.confirm(sentAt);
    onChange_();
    watch();
}

std::size_t ConfigWatcher::apply(const std::vector<StoredObject> &objects)
{
    std::size_t changes = 0;
    for (const StoredObject &object : objects) {
        std::string error;
        const ApplyResult result = state_.apply(object, &error);
        changes += result == ApplyResult::Applied ? 1 : 0;
        const bool isNews = result == ApplyResult::Applied || result == ApplyResult::Rejected;
        if (!isNews)
            continue;
        const bool isRejected = result == ApplyResult::Rejected;
        LogLine line(isRejected ? Severity::Error : Severity::Info, "object");
        line.add("object", object.ref_.str())
            .add("version", object.version_.value_)
            .add("result", toString(result));
        if (isRejected)
            line.add("error", error);
        log_.write(line);
    }
    return changes;
}

void ConfigWatcher::fail(const Error &error, void (ConfigWatcher::*again)())
{
    connected_ = false;
    log_.write(LogLine(Severity::Warning, "store-failed")
                   .add("feed", static_cast<std::uint64_t>(feed_))
                   .add("error", error.describe()));
    onChange_();
    // The history since the last watch is gone: only a listing shows what was missed.
    if (error.code_ == ErrorCode::Stale) {
        list();
        return;
    }
    runAfter_(backoff_.next(random_), [this, again] { (this->*again)(); });
}

} // namespace pimentostage
