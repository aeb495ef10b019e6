#pragma once

#include "pimentostage/platform/ObjectStore.h"
#include "tests/fakes/EventQueue.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <type_traits>
#include <vector>

namespace pimentostage {

/// A store with several feeds and without a host list, whose connections can go silent: a call on
/// such a connection gets no reply and fails after its wait and a timeout, while new calls are
/// served.
class FeedStore : public ObjectStore
{
public:
    FeedStore(EventQueue &events, std::vector<StoreFeed> feeds)
        : feeds_(std::move(feeds))
        , events_(events)
        , calls_(feeds_.size())
    { }

    bool isRefusing_ = false; ///< calls fail at once

    void set(const ObjectRef &ref, const std::string &value)
    {
        write(StoredObject { ref, revision_.next(), false, value });
    }

    /// The connections of all calls in progress go silent.
    void silenceOpenConnections()
    {
        for (Watch &watch : watches_) {
            events_.after(watch.endsAt_ + kTimeout - events_.now(),
                          [done = watch.done_] { done(error()); });
        }
        watches_.clear();
    }

    [[nodiscard]] int calls(std::size_t feed) const { return calls_.at(feed); }
    /// @return the calls that read or write a single object.
    [[nodiscard]] int objectCalls() const { return objectCalls_; }
    /// @return all calls.
    [[nodiscard]] int calls() const
    {
        return std::accumulate(calls_.begin(), calls_.end(), objectCalls_);
    }

    [[nodiscard]] std::vector<StoreFeed> feeds() const override { return feeds_; }

    void listFeed(std::size_t feed, ReadConsistency, Done<StoreListing> done) override
    {
        ++calls_.at(feed);
        if (isRefusing_)
            reply(done, error());
        else
            reply(done, changesSince(feed, Version {}));
    }

    void watchFeed(std::size_t feed, Version since, Duration wait, Done<StoreListing> done) override
    {
        ++calls_.at(feed);
        if (isRefusing_) {
            reply(done, error());
            return;
        }
        const std::uint64_t number = ++lastWatch_;
        watches_.push_back({ number, feed, since, events_.now() + wait, std::move(done) });
        endIfChanged(watches_.back());
        std::erase_if(watches_, [](const Watch &watch) { return !watch.done_; });
        events_.after(wait, [this, number] { endUnchanged(number); });
    }

    void list(Done<StoreListing> done) override { reply(done, error()); }
    void watch(Version, Duration, Done<StoreListing> done) override { reply(done, error()); }
    void get(const ObjectRef &ref, Done<StoredObject> done) override
    {
        ++objectCalls_;
        const auto found = objects_.find(ref);
        reply(done,
              found == objects_.end() ? StoredObject { ref, Version {}, true, {} } : found->second);
    }
    void put(const ObjectRef &ref, const std::string &value, Version expected,
             Done<WriteResult> done) override
    {
        ++objectCalls_;
        writeIf(StoredObject { ref, revision_.next(), false, value }, expected, done);
    }
    void remove(const ObjectRef &ref, Version expected, Done<WriteResult> done) override
    {
        ++objectCalls_;
        writeIf(StoredObject { ref, revision_.next(), true, {} }, expected, done);
    }
    [[nodiscard]] bool hasHostList() const override { return false; }
    void hosts(Done<std::vector<ListedHost>> done) override { done(error()); }

private:
    static constexpr Duration kTimeout = std::chrono::seconds(1);
    static constexpr Duration kLatency = std::chrono::milliseconds(1);

    struct Watch
    {
        std::uint64_t number_ = 0;
        std::size_t feed_ = 0;
        Version since_;
        Duration endsAt_ {};
        Done<StoreListing> done_; ///< empty once the watch has ended
    };

    static Error error()
    {
        return Error { Step::WatchStore, Peer { PeerKind::Platform, "fake" }, ErrorCode::Timeout,
                       "no reply" };
    }

    StoreListing changesSince(std::size_t feed, Version since) const
    {
        StoreListing changes { revision_, {} };
        for (const auto &[ref, object] : objects_) {
            if (feeds_.at(feed).kinds_.contains(ref.kind_) && object.version_ > since)
                changes.objects_.push_back(object);
        }
        return changes;
    }

    void write(const StoredObject &object)
    {
        revision_ = object.version_;
        objects_[object.ref_] = object;
        for (Watch &watch : watches_)
            endIfChanged(watch);
        std::erase_if(watches_, [](const Watch &watch) { return !watch.done_; });
    }

    void writeIf(const StoredObject &object, Version expected, const Done<WriteResult> &done)
    {
        const auto found = objects_.find(object.ref_);
        const bool exists = found != objects_.end() && !found->second.deleted_;
        const Version version = exists ? found->second.version_ : Version {};
        if (version != expected) {
            const auto current = exists ? std::optional(found->second) : std::nullopt;
            reply(done, WriteResult { false, version, current });
            return;
        }
        write(object);
        reply(done, WriteResult { true, object.version_, std::nullopt });
    }

    template <typename T>
    void reply(const Done<T> &done, const std::type_identity_t<Reply<T>> &reply)
    {
        events_.after(kLatency, [done, reply] { done(reply); });
    }

    void endIfChanged(Watch &watch)
    {
        const StoreListing changes = changesSince(watch.feed_, watch.since_);
        if (!changes.objects_.empty())
            reply(std::exchange(watch.done_, nullptr), changes);
    }

    void endUnchanged(std::uint64_t number)
    {
        const auto watch
            = std::find_if(watches_.begin(), watches_.end(),
                           [&](const Watch &candidate) { return candidate.number_ == number; });
        if (watch == watches_.end())
            return;
        reply(watch->done_, StoreListing { revision_, {} });
        watches_.erase(watch);
    }

    const std::vector<StoreFeed> feeds_;
    EventQueue &events_;
    std::vector<int> calls_; ///< by feed
    int objectCalls_ = 0;
    std::vector<Watch> watches_;
    std::map<ObjectRef, StoredObject> objects_;
    Version revision_;
    std::uint64_t lastWatch_ = 0;
};

} // namespace pimentostage
