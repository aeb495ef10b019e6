#pragma once

#include "pimentostage/base/Clock.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/ObjectStore.h"
#include "src/daemon/ControlOptions.h"
#include "src/platform/ConfigWatcher.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace pimentostage {

/// Watches all feeds of the store while this host is one of its readers.
///
/// ControlOptions::readers_ hosts do so on behalf of the fleet; the view determines which hosts
/// these are. Every other host reads each feed once after its start. It watches them too while it
/// receives no recent confirmation of some KnowledgeArea from the readers.
///
/// A watch that waits confirms nothing, and its connection may have gone silent. So each reply is
/// taken as the confirmation of every feed that has been read up to the store's revision in it, and
/// a feed that stays behind is read again in addition to its watch.
///
/// Lives on the control thread.
class FeedReader
{
public:
    /// Called after each answer of the store. The argument is true once, when all feeds have been
    /// read for the first time.
    using OnRead = std::function<void(bool)>;

    FeedReader(const ControlOptions &options, ObjectStore &store, ConfigState &config,
               const RunAfter &runAfter, const Clock &clock, std::uint64_t seed, LogSink &log,
               OnRead onRead);

    void start(TimePoint now);
    /// Starts or pauses reading as needed.
    /// @param isReader whether this host is one of those that read on behalf of the fleet.
    /// @param hasDiverged whether pulls from siblings do not bring this host up to date.
    void update(bool isReader, bool hasDiverged, TimePoint now);

    /// @return whether the last call to each feed succeeded.
    [[nodiscard]] bool isConnected() const;
    /// @return whether each feed has been read at least once.
    [[nodiscard]] bool isComplete() const { return isComplete_; }

private:
    [[nodiscard]] ReadConsistency consistencyAtStart() const;
    void onFeedRead(std::size_t feed);
    void readStaleFeeds(TimePoint now);
    /// @return whether some area has not been confirmed within its maximum age.
    [[nodiscard]] bool hasStaleArea(TimePoint now) const;
    void logStaleAreas(TimePoint now);

    const ControlOptions options_;
    ConfigState &config_;
    LogSink &log_;
    const OnRead onRead_;
    std::vector<std::unique_ptr<ConfigWatcher>> watchers_; ///< one for each feed of the store
    bool isComplete_ = false;
    Duration confirmationAge_ {}; ///< that the confirmations of a reader reach in calm times
    std::set<KnowledgeArea> staleAreas_; ///< as logged last
    TimePoint startedAt_ {};
    TimePoint readsUntil_ {}; ///< reads at least until then, even if it is not a reader
};

} // namespace pimentostage
