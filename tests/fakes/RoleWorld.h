#pragma once

#include "pimentostage/sibling/PromiseLedger.h"
#include "pimentostage/sibling/RoleKeeper.h"
#include "pimentostage/sibling/RoleTiming.h"
#include "tests/fakes/DriftingClock.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeRecordStore.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pimentostage {

/// Several hosts with one role between them, a store and a network that fails.
class RoleWorld
{
public:
    explicit RoleWorld(std::size_t hosts)
        : store_(events_)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            start(i);
        for (std::size_t i = 0; i < hosts; ++i)
            scheduleTick(i);
    }

    void run(Duration duration)
    {
        events_.runUntil(events_.now() + duration, [this] { checkOneHolder(); });
    }

    /// The oracle.
    void checkOneHolder()
    {
        std::size_t holders = 0;
        for (const auto &host : hosts_)
            holders += isActing(*host) ? 1 : 0;
        mostHolders_ = std::max(mostHolders_, holders);
    }

    std::optional<std::size_t> holder() const
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (isActing(*hosts_[i]))
                return i;
        }
        return std::nullopt;
    }

    void pause(std::size_t host, bool paused) { hosts_[host]->paused_ = paused; }
    void cut(std::size_t host, bool isCut) { hosts_[host]->isCut_ = isCut; }
    void cutFromStore(std::size_t host, bool isCut) { hosts_[host]->isCutFromStore_ = isCut; }
    void vouchLost(std::size_t host)
    {
        vouched_[hosts_[host]->self_.host_] = hosts_[host]->self_.incarnation_;
    }

    void setStrongest(std::size_t host) { strongest_ = { hosts_[host]->self_ }; }

    void kill(std::size_t host) { hosts_[host]->isDead_ = true; }

    void restart(std::size_t host)
    {
        hosts_[host]->isDead_ = true;
        retired_.push_back(std::move(hosts_[host]));
        start(host);
        scheduleTick(host);
    }

    void resign(std::size_t index)
    {
        Host &host = *hosts_[index];
        host.hasLeft_ = true;
        perform(host, host.keeper_->resign());
    }

    EventQueue events_;
    FakeRecordStore<RoleRecord> store_;
    std::size_t mostHolders_ = 0;
    bool losesMessages_ = false;

private:
    static inline const RoleName kRole { "coordinator/permits" };
    static constexpr Duration kTick = std::chrono::milliseconds(10);

    struct Host
    {
        Member self_;
        DriftingClock clock_ { Duration::zero(), 0 };
        std::unique_ptr<RoleKeeper> keeper_;
        PromiseLedger promises_;
        bool paused_ = false;
        bool isCut_ = false;
        bool isCutFromStore_ = false;
        bool isDead_ = false;
        bool hasLeft_ = false;
    };

    void start(std::size_t index)
    {
        auto host = std::make_unique<Host>();
        host->self_ = Member { HostName("host-" + std::to_string(index)),
                               Incarnation { ++lastIncarnation_ } };
        const std::int64_t kMostDrift = 400;
        const auto number = static_cast<std::int64_t>(index);
        host->clock_ = DriftingClock(std::chrono::seconds(1000 + 77 * number),
                                     index % 2 == 0 ? kMostDrift : -kMostDrift);
        host->keeper_ = std::make_unique<RoleKeeper>(kRole, host->self_, Random(lastIncarnation_));
        if (hosts_.size() <= index)
            hosts_.resize(index + 1);
        hosts_[index] = std::move(host);
    }

    bool isActing(const Host &host) const
    {
        return !host.isDead_ && !host.paused_ && host.keeper_->holds(host.clock_.at(events_.now()));
    }

    void scheduleTick(std::size_t index)
    {
        Host *host = hosts_[index].get();
        events_.after(kTick, [this, host, index] {
            if (host->isDead_)
                return;
            if (!host->paused_)
                perform(*host, host->keeper_->tick(surroundings(*host), now(*host)));
            scheduleTick(index);
        });
    }

    TimePoint now(const Host &host) const { return host.clock_.at(events_.now()); }

    // Liveness as an ideal failure detector sees it: hosts on this side of a cut that run.
    RoleSurroundings surroundings(const Host &viewer) const
    {
        RoleSurroundings surroundings;
        for (const auto &host : hosts_) {
            const bool isSeen = host.get() == &viewer
                                || (!host->isDead_ && !host->paused_ && !host->hasLeft_
                                    && host->isCut_ == viewer.isCut_ && !viewer.isCut_);
            if (isSeen)
                surroundings.view_.push_back(host->self_);
            if (host->hasLeft_ && !viewer.isCut_)
                surroundings.stopped_.insert(host->self_);
            const bool hearsStore = host.get() != &viewer && isSeen && !host->isCutFromStore_
                                    && !store_.faults_.down_;
            surroundings.othersHearStore_ = surroundings.othersHearStore_ || hearsStore;
        }
        for (const auto &host : retired_) {
            if (!viewer.isCut_)
                surroundings.stopped_.insert(host->self_);
        }
        surroundings.vouchedLost_ = vouched_;
        surroundings.strongest_ = strongest_;
        return surroundings;
    }

    Host *findHost(const Member &member)
    {
        for (const auto &host : hosts_) {
            if (host->self_ == member)
                return host.get();
        }
        return nullptr;
    }

    /// Delivers @p task at @p to, later if it is paused, unless a cut or a loss prevents it.
    void deliver(Host &from, Host &to, std::function<void()> task)
    {
        const bool isLost = &from != &to && losesMessages_ && ++messages_ % 3 == 0;
        events_.after(std::chrono::milliseconds(1), [this, &from, &to, task, isLost] {
            const bool isBlocked = &from != &to && (from.isCut_ || to.isCut_);
            if (!isLost && !isBlocked)
                runAtHost(to, task);
        });
    }

    void runAtHost(Host &host, const std::function<void()> &task)
    {
        if (host.isDead_)
            return;
        if (host.paused_)
            events_.after(std::chrono::milliseconds(20),
                          [this, &host, task] { runAtHost(host, task); });
        else
            task();
    }

    void perform(Host &host, const RoleActions &actions)
    {
        for (const RoleAction &action : actions)
            std::visit([&](const auto &step) { perform(host, step); }, action);
    }

    void perform(Host &host, const ReadRole &)
    {
        const TimePoint sentAt = now(host);
        store_.read([this, &host, sentAt](const auto &result) {
            runAtHost(host, [this, &host, sentAt, result] {
                if (!result || host.isCutFromStore_) {
                    host.keeper_->onReadFailed();
                    return;
                }
                perform(host, host.keeper_->onRecordRead(result->first, result->second, sentAt,
                                                         now(host)));
            });
        });
    }

    void perform(Host &host, const WriteRole &write)
    {
        const TimePoint sentAt = now(host);
        if (host.isCutFromStore_) {
            host.keeper_->onWriteFailed(write.record_.nonce_);
            return;
        }
        const std::string nonce = write.record_.nonce_;
        store_.write(
            write.record_, write.expected_,
            [this, &host, sentAt, nonce](FakeRecordStore<RoleRecord>::WriteAnswer answer,
                                         Version version,
                                         const std::optional<RoleRecord> &current) {
                runAtHost(host, [this, &host, sentAt, nonce, answer, version, current] {
                    if (answer == FakeRecordStore<RoleRecord>::WriteAnswer::Written)
                        perform(host, host.keeper_->onWritten(nonce, version, sentAt, now(host)));
                    else if (answer == FakeRecordStore<RoleRecord>::WriteAnswer::Conflict)
                        perform(host, host.keeper_->onConflict(nonce, current, version, sentAt,
                                                               now(host)));
                    else
                        host.keeper_->onWriteFailed(nonce);
                });
            });
        watchLater();
    }

    // Every host hears of a change a little later, as from a watch.
    void watchLater()
    {
        events_.after(std::chrono::milliseconds(15), [this] {
            if (store_.faults_.down_)
                return;
            for (const auto &host : hosts_) {
                if (host->isCutFromStore_)
                    continue;
                Host *target = host.get();
                const auto record = store_.record_;
                const Version version = store_.version_;
                runAtHost(*target, [this, target, record, version] {
                    perform(*target, target->keeper_->onRecord(record, version, now(*target)));
                });
            }
        });
    }

    void perform(Host &host, const AskPromise &ask)
    {
        Host *giver = findHost(ask.member_);
        if (!giver)
            return;
        const TimePoint sentAt = now(host);
        deliver(host, *giver, [this, &host, giver, sentAt, ask] {
            if (!giver->promises_.promise(kRole, ask.epoch_, now(*giver)))
                return;
            deliver(*giver, host, [this, &host, sentAt, ask] {
                host.keeper_->onPromise(ask.member_, ask.epoch_, sentAt, now(host));
            });
        });
    }

    void perform(Host &host, const AskRelease &ask)
    {
        Host *giver = findHost(ask.member_);
        if (!giver)
            return;
        deliver(host, *giver, [this, &host, giver, ask] {
            const Duration remaining = giver->promises_.release(kRole, ask.epoch_, now(*giver));
            deliver(*giver, host, [this, &host, ask, remaining] {
                host.keeper_->onReleased(ask.member_, ask.epoch_, remaining, now(host));
            });
        });
    }

    void perform(Host &host, const AnnounceStepDown &announcement)
    {
        for (const auto &other : hosts_) {
            Host *target = other.get();
            if (target == &host)
                continue;
            deliver(host, *target, [target, &host, announcement] {
                target->keeper_->onStepDown(host.self_, announcement.epoch_);
            });
        }
    }

    void perform(Host &, const RoleGained &) { }
    void perform(Host &, const RoleLost &) { }

    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<std::unique_ptr<Host>> retired_;
    std::map<HostName, Incarnation> vouched_;
    std::vector<Member> strongest_;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t messages_ = 0;
};

} // namespace pimentostage
