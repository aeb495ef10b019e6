#include "src/daemon/HostRegistrar.h"

#include "pimentostage/platform/ObjectCodec.h"

namespace pimentostage {

namespace {

constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

ObjectRef refOf(const EntryHost &entry)
{
    return ObjectRef { ObjectKind::EntryHost, entry.name_.str() };
}

EntryHost entryOf(const MemberUpdate &self)
{
    return EntryHost { self.member_.host_, self.member_.incarnation_, self.zone_, self.address_ };
}

/// @return why the store did not write; @p reply must not be that of a write that took effect.
std::string reasonOf(const Reply<WriteResult> &reply)
{
    const auto *error = std::get_if<Error>(&reply);
    return error ? error->describe() : "the store has another version";
}

} // namespace

HostRegistrar::HostRegistrar(const MemberUpdate &self, ObjectStore &store,
                             const ConfigState &config, RunAfter runAfter, Random random,
                             LogSink &log, std::function<void(const StoredObject &)> onWritten)
    : entry_(entryOf(self))
    , store_(store)
    , config_(config)
    , runAfter_(std::move(runAfter))
    , random_(random)
    , log_(log)
    , onWritten_(std::move(onWritten))
    , backoff_(kInitialRetryDelay, kMaxRetryDelay)
{ }

void HostRegistrar::start()
{
    const StoredObject *existing = config_.find(refOf(entry_));
    const bool exists = existing && !existing->deleted_;
    write(exists ? existing->version_ : Version {});
}

void HostRegistrar::restoreIfRemoved(const Configuration &configuration)
{
    if (!isUnregistered_ && !isWriting_ && !configuration.entryHosts_.contains(entry_.name_))
        start();
}

void HostRegistrar::removeAbsent(const Configuration &configuration, const std::set<HostName> &view,
                                 TimePoint now)
{
    // Absences recorded in an earlier term of the role, or for an entry removed since, are
    // outdated.
    if (now >= lastRemovalCheckAt_ + kAbsenceTimeout)
        absentSince_.clear();
    lastRemovalCheckAt_ = now;
    std::erase_if(absentSince_, [&](const auto &absence) {
        const auto entry = configuration.entryHosts_.find(absence.first.host_);
        return entry == configuration.entryHosts_.end()
               || entry->second.incarnation_ != absence.first.incarnation_;
    });
    for (const auto &[host, entry] : configuration.entryHosts_) {
        const Member process { host, entry.incarnation_ };
        if (view.contains(host)) {
            absentSince_.erase(process);
            continue;
        }
        const TimePoint since = absentSince_.try_emplace(process, now).first->second;
        if (now < since + kAbsenceTimeout)
            continue;
        absentSince_[process] = now;
        remove(host, [] {});
    }
}

void HostRegistrar::unregister(std::function<void()> done)
{
    isUnregistered_ = true;
    remove(entry_.name_, std::move(done));
}

void HostRegistrar::remove(const HostName &host, std::function<void()> done)
{
    const ObjectRef ref { ObjectKind::EntryHost, host.str() };
    const Version version = config_.versionOf(ref);
    store_.remove(ref, version,
                  [this, ref, version, done = std::move(done)](const Reply<WriteResult> &reply) {
                      const auto *result = std::get_if<WriteResult>(&reply);
                      if (!result || !result->written_) {
                          log_.write(LogLine(Severity::Warning, "host-removal-failed")
                                         .add("host", ref.name_)
                                         .add("expected", version.value_)
                                         .add("error", reasonOf(reply)));
                      } else {
                          log_.write(
                              LogLine(Severity::Info, "host-removed").add("host", ref.name_));
                          onWritten_(StoredObject { ref, version, true, {} });
                      }
                      done();
                  });
}

void HostRegistrar::write(Version expected)
{
    isWriting_ = true;
    store_.put(refOf(entry_), formatEntryHost(entry_), expected,
               [this](const Reply<WriteResult> &reply) { onReply(reply); });
}

void HostRegistrar::onReply(const Reply<WriteResult> &reply)
{
    const auto *result = std::get_if<WriteResult>(&reply);
    if (result && result->written_) {
        isWriting_ = false;
        log_.write(LogLine(Severity::Info, "registered").add("version", result->version_.value_));
        onWritten_(
            StoredObject { refOf(entry_), result->version_, false, formatEntryHost(entry_) });
        return;
    }
    // The entry may be in the store already, from a write whose answer was lost.
    const bool isAlreadyWritten
        = result && result->current_ && result->current_->value_ == formatEntryHost(entry_);
    if (isAlreadyWritten) {
        isWriting_ = false;
        onWritten_(*result->current_);
        return;
    }
    log_.write(LogLine(Severity::Warning, "registration-failed").add("error", reasonOf(reply)));
    const Version expected = result && result->current_ ? result->current_->version_ : Version {};
    runAfter_(backoff_.next(random_), [this, expected] { write(expected); });
}

} // namespace pimentostage
