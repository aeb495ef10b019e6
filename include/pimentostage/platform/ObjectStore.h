#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/platform/Objects.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// The result of an asynchronous call: a value or the error that kept it away.
template <typename T>
using Reply = std::variant<T, Error>;

/// Called once with the result of an asynchronous call.
template <typename T>
using Done = std::function<void(Reply<T>)>;

/// Objects and the store's revision at which they were read.
struct StoreListing
{
    Version revision_;
    std::vector<StoredObject> objects_;
};

/// What became of a conditional write.
struct WriteResult
{
    bool written_ = false;
    Version version_; ///< the new version if written
    std::optional<StoredObject> current_; ///< what is in the store if not written
};

/// Kinds of objects that are read and watched together.
struct StoreFeed
{
    std::set<ObjectKind> kinds_; ///< empty for all
    Duration watchWait_ = std::chrono::seconds(1); ///< longest wait of one watch
    Duration pause_ {}; ///< before the next watch after one that brought changes
    bool confirms_ = true; ///< whether an answer confirms what decides on requests
};

/// The platform's object store: versions, conditional updates, watches.
///
/// Calls return at once; results come on the thread that the implementation names.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    /// @return the feeds that together hold all objects; they do not change.
    [[nodiscard]] virtual std::vector<StoreFeed> feeds() const { return { StoreFeed {} }; }
    /// As list(), for the objects of feed number @p feed.
    virtual void listFeed(std::size_t, Done<StoreListing> done) { list(std::move(done)); }
    /// As watch(), for the objects of feed number @p feed.
    virtual void watchFeed(std::size_t, Version since, Duration wait, Done<StoreListing> done)
    {
        watch(since, wait, std::move(done));
    }

    /// Reads all objects.
    virtual void list(Done<StoreListing> done) = 0;
    /// Waits up to @p wait for changes after @p since. Deleted objects are reported as such.
    virtual void watch(Version since, Duration wait, Done<StoreListing> done) = 0;
    /// Reads one object; deleted_ is set if it does not exist.
    virtual void get(const ObjectRef &ref, Done<StoredObject> done) = 0;
    /// Writes @p value if the object's version is @p expected (zero: it does not exist).
    virtual void put(const ObjectRef &ref, const std::string &value, Version expected,
                     Done<WriteResult> done)
        = 0;
    /// Deletes the object if its version is @p expected.
    virtual void remove(const ObjectRef &ref, Version expected, Done<WriteResult> done) = 0;
    /// @return whether the platform keeps a list of hosts; if not, entry hosts register themselves.
    [[nodiscard]] virtual bool hasHostList() const { return true; }
    /// Reads the platform's lagging list of hosts.
    virtual void hosts(Done<std::vector<ListedHost>> done) = 0;
};

} // namespace pimentostage
