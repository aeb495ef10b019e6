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

/// Registers this entry host in the store, where the platform keeps no list of hosts, and takes out
/// hosts that are gone.
///
/// Lives on the control thread.
class HostRegistrar
{
public:
    /// @param onWritten passes on the object once it is in the store.
    HostRegistrar(const MemberUpdate &self, ObjectStore &store, const ConfigState &config,
                  RunAfter runAfter, Random random, LogSink &log,
                  std::function<void(const StoredObject &)> onWritten);

    /// Writes this host's entry and tries again until it is known to be in the store.
    void start();

    /// Takes this host's own entry out, at the end of a planned stop: it spends and serves no more.
    /// @param done called once the store has answered.
    void leave(std::function<void()> done);

    /// Writes this host's entry again if another host took it out.
    void check(const Configuration &configuration);

    /// Takes out entries of hosts that have not been in the view for kMostAbsence. Only one host,
    /// the holder of some role, should do so, more often than every kMostAbsence.
    /// @param view the hosts believed to be alive.
    void removeAbsent(const Configuration &configuration, const std::set<HostName> &view,
                      TimePoint now);

    /// Longer than anything lent to a host outlives the last word of it.
    static constexpr Duration kMostAbsence = std::chrono::seconds(5);

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
    bool hasLeft_ = false;
    std::map<HostName, TimePoint> absentSince_;
    TimePoint checkedAt_ {}; ///< of the last removeAbsent()
};

} // namespace pimentostage
