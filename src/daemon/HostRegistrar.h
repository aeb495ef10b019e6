#pragma once

#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Random.h"
#include "pimentostage/platform/Backoff.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/Membership.h"

#include <functional>
#include <map>
#include <set>

namespace pimentostage {

/// Registers this entry host in the store if the platform keeps no host list, and removes the
/// entries of hosts that are gone.
///
/// Lives on the control thread.
class HostRegistrar
{
public:
    /// @param onWritten called with an object once its write or removal has succeeded.
    HostRegistrar(const MemberUpdate &self, ObjectStore &store, const ConfigState &config,
                  RunAfter runAfter, Random random, LogSink &log,
                  std::function<void(const StoredObject &)> onWritten);

    /// Writes this host's entry and retries until it is known to be in the store.
    void start();

    /// Removes this host's own entry, at the end of a planned stop: by then the host neither serves
    /// requests nor spends tokens.
    /// @param done called once the store has answered.
    void unregister(std::function<void()> done);

    /// Writes this host's entry again if another host has removed it.
    void restoreIfRemoved(const Configuration &configuration);

    /// Removes the entries of processes whose hosts have been absent from the view for
    /// kAbsenceTimeout. Must be called by one host only, such as the holder of a role, and at
    /// intervals shorter than kAbsenceTimeout.
    /// @param view the hosts assumed to be alive.
    void removeAbsent(const Configuration &configuration, const std::set<HostName> &view,
                      TimePoint now);

    /// Longer than any lease of a host remains valid after the last message from it.
    static constexpr Duration kAbsenceTimeout = std::chrono::seconds(5);

private:
    void write(Version expected);
    void remove(const HostName &host, std::function<void()> done);
    void onReply(const Reply<WriteResult> &reply);

    const EntryHost entry_;
    ObjectStore &store_;
    const ConfigState &config_;
    const RunAfter runAfter_;
    Random random_;
    LogSink &log_;
    const std::function<void(const StoredObject &)> onWritten_;
    Backoff backoff_;
    bool isWriting_ = false;
    bool isUnregistered_ = false;
    std::map<Member, TimePoint> absentSince_; ///< by process, as of its entry
    TimePoint lastRemovalCheckAt_ {}; ///< time of the last call of removeAbsent()
};

} // namespace pimentostage
