#pragma once

#include "pimentostage/platform/ObjectStore.h"

#include <functional>
#include <map>

namespace pimentostage {

/// In-memory ObjectStore that calls back before the call returns and fails on demand.
class FakeObjectStore : public ObjectStore
{
public:
    bool isDown_ = false; ///< list() and watch() fail
    int listCalls_ = 0; ///< number of calls to list() and watch()
    int failReads_ = 0; ///< number of next reads that fail
    int loseWrites_ = 0; ///< number of next writes that fail without effect
    int loseAnswers_ = 0; ///< number of next writes that take effect but return an error
    std::function<void()> beforeWrite_; ///< called before each write

    /// Writes an object as another operator, without a condition.
    void set(const ObjectRef &ref, const std::string &value)
    {
        revision_ = revision_.next();
        objects_[ref] = StoredObject { ref, revision_, false, value };
    }

    void list(Done<StoreListing> done) override
    {
        ++listCalls_;
        if (isDown_) {
            done(error(Step::ReadStore));
            return;
        }
        StoreListing listing;
        listing.revision_ = revision_;
        for (const auto &[ref, object] : objects_)
            listing.objects_.push_back(object);
        done(listing);
    }

    void watch(Version, Duration, Done<StoreListing> done) override { list(std::move(done)); }

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
        write(StoredObject { ref, Version {}, false, value }, expected, done);
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
    static Error error(Step step)
    {
        return Error { step, Peer { PeerKind::Platform, "fake" }, ErrorCode::Timeout, "lost" };
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
};

} // namespace pimentostage
