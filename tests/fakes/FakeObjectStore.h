#pragma once

#include "pimentostage/platform/Generation.h"
#include "pimentostage/platform/ObjectStore.h"

#include <functional>
#include <map>
#include <vector>

namespace pimentostage {

/// In-memory ObjectStore that calls back before the call returns and fails on demand.
class FakeObjectStore : public ObjectStore
{
public:
    bool isDown_ = false; ///< list() and watch() fail
    StoreFeed feed_; ///< the only feed
    ReadConsistency lastConsistency_ = ReadConsistency::Linearizable; ///< of the last listFeed()
    int listCalls_ = 0; ///< number of calls to list() and watch()
    int failReads_ = 0; ///< number of next reads that fail
    int loseWrites_ = 0; ///< number of next writes that fail without effect
    int loseAnswers_ = 0; ///< number of next writes that take effect but return an error
    std::function<void()> beforeWrite_; ///< called before each write
    bool holdsReplies_ = false; ///< replies to put() wait in heldReplies_
    std::vector<std::function<void()>> heldReplies_;
    /// If set, list() and watch() reply through it, and a watch waits for a change.
    std::function<void(std::function<void()>)> defer_;

    /// Writes an object as another operator, without a condition.
    void set(const ObjectRef &ref, const std::string &value, WriterPosition position = {})
    {
        revision_ = revision_.next();
        objects_[ref] = StoredObject { ref, revision_, false, value, position };
        endWatches();
    }

    /// Makes a copy of all objects for restoreCopy().
    void copy()
    {
        copiedObjects_ = objects_;
        copiedRevision_ = revision_;
    }

    /// Returns to the state at the last copy(). Revisions given out since are given out again.
    void restoreCopy()
    {
        const Generation generation = generationOf(revision_).next();
        objects_ = copiedObjects_;
        for (auto &[ref, object] : objects_)
            object.version_ = makeVersion(generation, revisionOf(object.version_));
        revision_ = makeVersion(generation, revisionOf(copiedRevision_));
        endWatches();
    }

    [[nodiscard]] std::vector<StoreFeed> feeds() const override { return { feed_ }; }

    void listFeed(std::size_t, ReadConsistency consistency, Done<StoreListing> done) override
    {
        lastConsistency_ = consistency;
        list(std::move(done));
    }

    void list(Done<StoreListing> done) override
    {
        ++listCalls_;
        if (isDown_) {
            reply(done, error(Step::ReadStore));
            return;
        }
        StoreListing listing;
        listing.revision_ = revision_;
        for (const auto &[ref, object] : objects_)
            listing.objects_.push_back(object);
        reply(done, listing);
    }

    void watch(Version since, Duration, Done<StoreListing> done) override
    {
        if (!defer_) {
            list(std::move(done));
            return;
        }
        ++listCalls_;
        if (isDown_)
            reply(done, error(Step::WatchStore));
        else if (revisionOf(since) > revisionOf(revision_))
            reply(done, discardedHistory());
        else
            watches_.push_back({ since, std::move(done) });
        endWatches();
    }

    void get(const ObjectRef &ref, Done<StoredObject> done) override
    {
        if (failReads_ > 0) {
            --failReads_;
            done(error(Step::ReadStore));
            return;
        }
        done(find(ref));
    }

    void put(const ObjectRef &ref, const std::string &value, Version expected,
             Done<WriteResult> done) override
    {
        if (!holdsReplies_) {
            write(StoredObject { ref, Version {}, false, value }, expected, done);
            return;
        }
        write(StoredObject { ref, Version {}, false, value }, expected,
              [this, done](const Reply<WriteResult> &reply) {
                  heldReplies_.emplace_back([done, reply] { done(reply); });
              });
    }

    void remove(const ObjectRef &ref, Version expected, Done<WriteResult> done) override
    {
        write(StoredObject { ref, Version {}, true, {} }, expected, done);
    }

    void hosts(Done<std::vector<ListedHost>> done) override { done(std::vector<ListedHost> {}); }

    [[nodiscard]] StoredObject find(const ObjectRef &ref) const
    {
        const auto found = objects_.find(ref);
        return found == objects_.end() ? StoredObject { ref, Version {}, true, {} } : found->second;
    }

private:
    struct Watch
    {
        Version since_;
        Done<StoreListing> done_;
    };

    static Error error(Step step)
    {
        return Error { step, Peer { PeerKind::Platform, "fake" }, ErrorCode::Timeout, "lost" };
    }

    static Error discardedHistory()
    {
        return Error { Step::WatchStore, Peer { PeerKind::Platform, "fake" }, ErrorCode::Stale,
                       "discarded" };
    }

    void reply(const Done<StoreListing> &done, const Reply<StoreListing> &reply)
    {
        if (defer_)
            defer_([done, reply] { done(reply); });
        else
            done(reply);
    }

    /// Replies to the watches that have changes to report or that the store cannot continue.
    void endWatches()
    {
        std::vector<Watch> waiting;
        for (Watch &watch : watches_) {
            StoreListing changes { revision_, {} };
            for (const auto &[ref, object] : objects_) {
                if (revisionOf(object.version_) > revisionOf(watch.since_))
                    changes.objects_.push_back(object);
            }
            if (revisionOf(watch.since_) > revisionOf(revision_))
                reply(watch.done_, discardedHistory());
            else if (!changes.objects_.empty())
                reply(watch.done_, changes);
            else
                waiting.push_back(std::move(watch));
        }
        watches_ = std::move(waiting);
    }

    void write(StoredObject next, Version expected, const Done<WriteResult> &done)
    {
        if (beforeWrite_)
            beforeWrite_();
        if (loseWrites_ > 0) {
            --loseWrites_;
            done(error(Step::WriteStore));
            return;
        }
        const StoredObject current = find(next.ref_);
        if (current.version_ != expected) {
            done(WriteResult { false, Version {}, current });
            return;
        }
        revision_ = revision_.next();
        next.version_ = revision_;
        if (next.deleted_)
            objects_.erase(next.ref_);
        else
            objects_[next.ref_] = next;
        if (loseAnswers_ > 0) {
            --loseAnswers_;
            done(error(Step::WriteStore));
            return;
        }
        done(WriteResult { true, revision_, std::nullopt });
    }

    std::map<ObjectRef, StoredObject> objects_;
    Version revision_;
    std::map<ObjectRef, StoredObject> copiedObjects_;
    Version copiedRevision_;
    std::vector<Watch> watches_;
};

} // namespace pimentostage
