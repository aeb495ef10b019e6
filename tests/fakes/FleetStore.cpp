#include "tests/fakes/FleetStore.h"

namespace pimentostage {

namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(10);

Error unreachable()
{
    return Error { Step::ReadStore, Peer { PeerKind::Platform, "fleet" }, ErrorCode::Timeout,
                   "store is unreachable" };
}

} // namespace

Version FleetStore::set(const ObjectRef &ref, const std::string &value)
{
    write(StoredObject { ref, Version {}, false, value });
    return revision_;
}

Version FleetStore::erase(const ObjectRef &ref)
{
    write(StoredObject { ref, Version {}, true, {} });
    return revision_;
}

StoredObject FleetStore::find(const ObjectRef &ref) const
{
    const auto found = objects_.find(ref);
    const bool exists = found != objects_.end() && !found->second.deleted_;
    return exists ? found->second : StoredObject { ref, Version {}, true, {} };
}

void FleetStore::write(StoredObject next)
{
    revision_ = revision_.next();
    next.version_ = revision_;
    objects_[next.ref_] = next;
    if (onWrite_)
        onWrite_(next);
}

StoreListing FleetStore::changesSince(Version since) const
{
    StoreListing listing;
    listing.revision_ = revision_;
    for (const auto &[ref, object] : objects_) {
        if (object.version_ > since)
            listing.objects_.push_back(object);
    }
    return listing;
}

template <typename T>
void FleetStore::Port::call(std::function<Reply<T>()> act, Done<T> done)
{
    const Duration delay = store_.faults_.delay_;
    store_.events_.after(delay, [this, act = std::move(act), done = std::move(done), delay] {
        const bool isLost = store_.faults_.down_ || isCut_;
        const Reply<T> reply = isLost ? Reply<T>(unreachable()) : act();
        store_.events_.after(delay, [this, reply, done] {
            runAtHost_([this, reply, done] { done(isCut_ ? Reply<T>(unreachable()) : reply); });
        });
    });
}

void FleetStore::Port::list(Done<StoreListing> done)
{
    call<StoreListing>(
        [this] {
            StoreListing listing = store_.changesSince(Version {});
            std::erase_if(listing.objects_,
                          [](const StoredObject &object) { return object.deleted_; });
            return Reply<StoreListing>(listing);
        },
        std::move(done));
}

void FleetStore::Port::watch(Version since, Duration wait, Done<StoreListing> done)
{
    poll(since, wait, done);
}

void FleetStore::Port::poll(Version since, Duration left, const Done<StoreListing> &done)
{
    const bool isOver
        = store_.faults_.down_ || isCut_ || store_.revision_ > since || left <= Duration::zero();
    if (!isOver) {
        store_.events_.after(kPollPeriod,
                             [this, since, left, done] { poll(since, left - kPollPeriod, done); });
        return;
    }
    call<StoreListing>([this, since] { return Reply<StoreListing>(store_.changesSince(since)); },
                       done);
}

void FleetStore::Port::get(const ObjectRef &ref, Done<StoredObject> done)
{
    call<StoredObject>([this, ref] { return Reply<StoredObject>(store_.find(ref)); },
                       std::move(done));
}

void FleetStore::Port::put(const ObjectRef &ref, const std::string &value, Version expected,
                           Done<WriteResult> done)
{
    write(StoredObject { ref, Version {}, false, value }, expected, done);
}

void FleetStore::Port::remove(const ObjectRef &ref, Version expected, Done<WriteResult> done)
{
    write(StoredObject { ref, Version {}, true, {} }, expected, done);
}

void FleetStore::Port::write(StoredObject next, Version expected, const Done<WriteResult> &done)
{
    call<WriteResult>(
        [this, next, expected]() -> Reply<WriteResult> {
            const StoredObject current = store_.find(next.ref_);
            if (current.version_ != expected)
                return WriteResult { false, Version {}, current };
            store_.write(next);
            if (store_.faults_.losesAnswers_)
                return unreachable();
            return WriteResult { true, store_.revision_, std::nullopt };
        },
        done);
}

void FleetStore::Port::hosts(Done<std::vector<ListedHost>> done)
{
    call<std::vector<ListedHost>>([this] { return Reply<std::vector<ListedHost>>(store_.hosts_); },
                                  std::move(done));
}

} // namespace pimentostage
