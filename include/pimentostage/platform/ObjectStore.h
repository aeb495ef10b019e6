#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/platform/KnowledgeArea.h"
#include "pimentostage/platform/Objects.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// Result of an asynchronous call: a value or an error.
template <typename T>
using Reply = std::variant<T, Error>;

/// Completion callback of an asynchronous call; called exactly once.
template <typename T>
using Done = std::function<void(Reply<T>)>;

/// Objects, and the store's revision at which they were read.
struct StoreListing
{
    Version revision_;
    std::vector<StoredObject> objects_;
};

/// Result of a conditional write.
struct WriteResult
{
    bool written_ = false;
    Version version_; ///< the new version if written
    std::optional<StoredObject> current_; ///< the object in the store if not written
};

/// A set of object kinds that are read and watched together.
struct StoreFeed
{
    std::set<ObjectKind> kinds_; ///< empty for all
    Duration watchTimeout_ = std::chrono::seconds(1); ///< maximum wait of one watch
    Duration batchDelay_ {}; ///< delay of the next watch after one that returned changes
    /// Whether a reply confirms the configuration: the objects that decide whether requests are
    /// accepted.
    bool confirms_ = true;

    /// @return whether a reply confirms @p area.
    [[nodiscard]] bool covers(KnowledgeArea area) const
    {
        const std::optional<ObjectKind> kind = kindOf(area);
        return kind ? kinds_.empty() || kinds_.contains(*kind) : confirms_;
    }
};

/// How up to date the reply to a read must be.
enum class ReadConsistency {
    Linearizable, ///< contains all that was written before the read
    MayBeStale, ///< may lack what was written in the last seconds; costs the store less
};

/// The platform's object store, with versions, conditional updates and watches.
///
/// Calls do not block; the implementation documents on which thread it calls back.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /// @return the feeds that together contain all objects; constant.
    [[nodiscard]] virtual std::vector<StoreFeed> feeds() const { return { StoreFeed {} }; }
    /// As list(), for the objects of feed number @p feed.
    /// @param consistency what the reply must contain; a store may always return more.
    virtual void listFeed(std::size_t, ReadConsistency, Done<StoreListing> done)
    {
        list(std::move(done));
    }
    /// As watch(), for the objects of feed number @p feed.
    virtual void watchFeed(std::size_t, Version since, Duration wait, Done<StoreListing> done)
    {
        watch(since, wait, std::move(done));
    }

    /// Reads all objects.
    virtual void list(Done<StoreListing> done) = 0;
    /// Reads the changes after @p since, deletions included; waits up to @p wait for the first.
    virtual void watch(Version since, Duration wait, Done<StoreListing> done) = 0;
    /// Reads one object. If it does not exist, deleted_ is set in the result, and the version has
    /// the revision zero.
    virtual void get(const ObjectRef &ref, Done<StoredObject> done) = 0;
    /// Writes @p value if the object's version is @p expected; one of revision zero for an object
    /// that does not exist.
    virtual void put(const ObjectRef &ref, const std::string &value, Version expected,
                     Done<WriteResult> done)
        = 0;
    /// Deletes the object if its version is @p expected.
    virtual void remove(const ObjectRef &ref, Version expected, Done<WriteResult> done) = 0;
    /// Tells the operators of @p service how its roll-out to version @p target is doing. A store
    /// whose operators read the object of ObjectKind::RolloutState needs no call.
    virtual void putRolloutStatus(const ServiceName & /*service*/, RolloutStatus /*status*/,
                                  const std::string & /*target*/, Done<WriteResult> done)
    {
        done(WriteResult { true, Version {}, std::nullopt });
    }
    /// @return whether the platform has a host list; if not, entry hosts register themselves.
    [[nodiscard]] virtual bool hasHostList() const { return true; }
    /// Reads the platform's host list, which lags behind the actual state.
    virtual void hosts(Done<std::vector<ListedHost>> done) = 0;
};

} // namespace pimentostage
