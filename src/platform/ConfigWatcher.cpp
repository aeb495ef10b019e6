#include "src/platform/ConfigWatcher.h"

namespace pimentostage {

namespace {

// Short enough that each watch's end confirms the state well within the limit on its age.
constexpr Duration kWatchWait = std::chrono::seconds(1);
constexpr Duration kFirstDelay = std::chrono::milliseconds(50);
constexpr Duration kMostDelay = std::chrono::seconds(2);

} // namespace

ConfigWatcher::ConfigWatcher(ObjectStore &store, ConfigState &state, RunAfter runAfter, Clock clock,
                             Random random, LogSink &log, std::function<void()> onChange)
    : store_(store)
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
    store_.list([this, sentAt](const Reply<StoreListing> &reply) { onListing(reply, sentAt); });
}

void ConfigWatcher::watch()
{
    const TimePoint sentAt = clock_();
    store_.watch(state_.revision(), kWatchWait,
                 [this, sentAt](const Reply<StoreListing> &reply) { onChanges(reply, sentAt); });
}

void ConfigWatcher::onListing(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        fail(*error, &ConfigWatcher::list);
        return;
    }
    connected_ = true;
    backoff_.reset();
    const auto &listing = std::get<StoreListing>(reply);
    apply(listing.objects_);
    state_.applyListing(listing.objects_, listing.revision_);
    state_.confirm(listing.revision_, sentAt);
    onChange_();
    watch();
}

void ConfigWatcher::onChanges(const Reply<StoreListing> &reply, TimePoint sentAt)
{
    if (const auto *error = std::get_if<Error>(&reply)) {
        fail(*error, &ConfigWatcher::watch);
        return;
    }
    connected_ = true;
    backoff_.reset();
    const auto &changes = std::get<StoreListing>(reply);
    if (changes.revision_ < state_.revision()) {
        // The store has fewer changes than it had: read all of it again.
        list();
        return;
    }
    apply(changes.objects_);
    state_.confirm(changes.revision_, sentAt);
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
    log_.write(LogLine(Severity::Warning, "store-failed").add("error", error.describe()));
    onChange_();
    runAfter_(backoff_.next(random_), [this, again] { (this->*again)(); });
}

} // namespace pimentostage
