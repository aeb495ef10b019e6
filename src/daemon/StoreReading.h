#pragma once

#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"
#include "src/daemon/ControlOptions.h"
#include "src/platform/ConfigWatcher.h"

#include <functional>
#include <memory>
#include <vector>

namespace pimentostage {

/// Watches all feeds of the store for as long as this host is one of its readers.
///
/// Every host reads at its start; later ControlOptions::readers_ of them do so for all. Who they
/// are follows from the view, and a host to which they have been silent for too long reads too.
///
/// Lives on the control thread.
class StoreReading
{
public:
    /// Called after each answer of the store, with whether all feeds were read for the first time.
    using OnRead = std::function<void(bool)>;

    StoreReading(const ControlOptions &options, ObjectStore &store, ConfigState &config,
                 const RunAfter &runAfter, const Clock &clock, std::uint64_t seed, LogSink &log,
                 OnRead onRead);

    void start();
    /// Begins or ends reading.
    /// @param isReader whether this host is one of those that read for all.
    /// @param hasDiverged whether what the others know does not bring this host up to date.
    void update(bool isReader, bool hasDiverged, TimePoint now);

    /// @return whether the last call to each feed succeeded.
    [[nodiscard]] bool isConnected() const;
    /// @return whether each feed was read at least once.
    [[nodiscard]] bool isComplete() const { return isComplete_; }

private:
    void onFeedRead();

    const ControlOptions options_;
    ConfigState &config_;
    const OnRead onRead_;
    std::vector<std::unique_ptr<ConfigWatcher>> watchers_; ///< one for each feed of the store
    bool isComplete_ = false;
    TimePoint readsUntil_ {}; ///< reads until then, whoever else does
};

} // namespace pimentostage
