#pragma once

#include "pimentostage/platform/ObjectStore.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/StoreFaults.h"

#include <functional>
#include <map>
#include <vector>

namespace pimentostage {

/// The platform's store as shared by several hosts: versions, watches, the host list, outages,
/// delays and lost answers. Deleted objects are kept as tombstones.
class FleetStore
{
public:
    explicit FleetStore(EventQueue &events)
        : events_(events)
    { }

    StoreFaults faults_;
    std::vector<ListedHost> hosts_;
    /// Called with each object written or deleted.
    std::function<void(const StoredObject &)> onWrite_;

    /// Writes an object regardless of faults, as an operator whose call succeeds.
    Version set(const ObjectRef &ref, const std::string &value);
    /// Deletes an object regardless of faults, as an operator whose call succeeds.
    Version erase(const ObjectRef &ref);
    [[nodiscard]] StoredObject find(const ObjectRef &ref) const;
    [[nodiscard]] bool isDown() const { return faults_.down_; }

    /// One host's connection to the store.
    class Port : public ObjectStore
    {
    public:
        /// Runs a function at the host: delayed while the host is paused, not at all once it has
        /// stopped.
        using RunAtHost = std::function<void(std::function<void()>)>;

        Port(FleetStore &store, RunAtHost runAtHost)
            : store_(store)
            , runAtHost_(std::move(runAtHost))
        { }

        bool isCut_ = false;

        void list(Done<StoreListing> done) override;
        void watch(Version since, Duration wait, Done<StoreListing> done) override;
        void get(const ObjectRef &ref, Done<StoredObject> done) override;
        void put(const ObjectRef &ref, const std::string &value, Version expected,
                 Done<WriteResult> done) override;
        void remove(const ObjectRef &ref, Version expected, Done<WriteResult> done) override;
        void hosts(Done<std::vector<ListedHost>> done) override;

    private:
        template <typename T>
        void call(std::function<Reply<T>()> act, Done<T> done);
        void poll(Version since, Duration left, const Done<StoreListing> &done);
        void write(StoredObject next, Version expected, const Done<WriteResult> &done);

        FleetStore &store_;
        const RunAtHost runAtHost_;
    };

private:
    StoreListing changesSince(Version since) const;
    void write(StoredObject next);

    EventQueue &events_;
    std::map<ObjectRef, StoredObject> objects_; ///< deleted ones included
    Version revision_;
};

} // namespace pimentostage
