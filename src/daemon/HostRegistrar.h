#pragma once

#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Random.h"
#include "pimentostage/platform/Backoff.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"
#include "pimentostage/sibling/Membership.h"

#include <functional>

namespace pimentostage {

/// Registers this entry host in the store, where the platform keeps no list of hosts.
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

private:
    void write(Version expected);
    void onReply(const Reply<WriteResult> &reply);

    const EntryHost entry_;
    ObjectStore &store_;
    const ConfigState &config_;
    const RunAfter runAfter_;
    Random random_;
    LogSink &log_;
    const std::function<void(const StoredObject &)> onWritten_;
    Backoff backoff_;
};

} // namespace pimentostage
