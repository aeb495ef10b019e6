#pragma once

#include "pimentostage/sibling/PromiseLedger.h"
#include "pimentostage/sibling/RoleElector.h"
#include "pimentostage/sibling/RoleTiming.h"
#include "pimentostage/sibling/TermRules.h"
#include "tests/fakes/DriftingClock.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeRecordStore.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pimentostage {

/// Simulates several hosts that compete for one role, with a store and a network that can fail.
class RoleSimulation
{
public:
    explicit RoleSimulation(std::size_t hosts)
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

    /// Records the maximum number of hosts that acted in the role at the same time.
    void checkOneHolder()
    {
        std::size_t holders = 0;
        for (const auto &host : hosts_)
            holders += isActing(*host) ? 1 : 0;
        maxHolders_ = std::max(maxHolders_, holders);
    }

    std::optional<std::size_t> holder() const
    {
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            if (isActing(*hosts_[i]))
                return i;
        }
        return std::nullopt;
    }

    void pause(std::size_t host, bool paused) { hosts_[host]->isPaused_ = paused; }
    void cut(std::size_t host, bool isCut) { hosts_[host]->isCut_ = isCut; }
    void cutFromStore(std::size_t host, bool isCut) { hosts_[host]->isCutFromStore_ = isCut; }
    /// Puts a host on one side of a partition between the hosts; all start on side 0.
    void setSide(std::size_t host, int side) { hosts_[host]->side_ = side; }
    /// Ends all pauses, partitions and faults of the store and the network. All hosts list the
    /// store again, as after a lost watch.
    void repairAll()
    {
        store_.faults_ = {};
        losesMessages_ = false;
        for (const auto &host : hosts_) {
            host->isPaused_ = false;
            host->isCut_ = false;
            host->isCutFromStore_ = false;
            host->side_ = 0;
        }
        scheduleWatchEvents();
    }

    void confirmLost(std::size_t host)
    {
        lostHosts_[hosts_[host]->self_.host_] = hosts_[host]->self_.incarnation_;
    }

    void setHighCapacityHost(std::size_t host) { highCapacity_ = { hosts_[host]->self_ }; }

    /// Ends a host's process; unless the host is restarted, it is lost for good.
    void kill(std::size_t host) { hosts_[host]->isDead_ = true; }
    [[nodiscard]] bool isDead(std::size_t host) const { return hosts_[host]->isDead_; }
    [[nodiscard]] std::size_t hosts() const { return hosts_.size(); }

    /// @return whether the hosts that are lost for good are too few to keep a term open whose
    ///         holder may be one of them.
    [[nodiscard]] bool canBeSucceeded() const
    {
        const std::vector<RoleTerm> terms = Succession::openTerms(store_.record_);
        return std::all_of(terms.begin(), terms.end(), [&](const RoleTerm &term) {
            const auto lost
                = std::count_if(term.members_.begin(), term.members_.end(),
                                [&](const Member &member) { return isLostForGood(member); });
            return static_cast<std::size_t>(lost)
                   < quorumAfterwards(term.rule_, term.members_.size());
        });
    }

    /// Adds a host to the fleet.
    void add()
    {
        start(hosts_.size());
        scheduleTick(hosts_.size() - 1);
    }

    void restart(std::size_t host)
    {
        hosts_[host]->isDead_ = true;
        retired_.push_back(std::move(hosts_[host]));
        start(host);
        scheduleTick(host);
    }

    /// Restores the store from its last copy. The hosts learn its generation, as from a watch; like
    /// ConfigState they do not accept the older record.
    void restoreStore()
    {
        store_.restore();
        events_.after(std::chrono::milliseconds(15), [this] {
            for (const auto &host : hosts_) {
                if (!store_.faults_.down_ && !host->isCutFromStore_)
                    host->storeGeneration_ = generationOf(store_.version_);
            }
        });
    }

    void resign(std::size_t index)
    {
        Host &host = *hosts_[index];
        host.hasLeft_ = true;
        perform(host, host.elector_->resign());
    }

    EventQueue events_;
    FakeRecordStore<RoleRecord> store_;
    std::size_t maxHolders_ = 0;
    bool losesMessages_ = false;

private:
    static inline const RoleName kRole { "coordinator/permits" };
    static constexpr Duration kTick = std::chrono::milliseconds(10);

    struct Host
    {
        Member self_;
        DriftingClock clock_ { Duration::zero(), 0 };
        std::unique_ptr<RoleElector> elector_;
        PromiseLedger promises_;
        bool isPaused_ = false;
        bool isCut_ = false;
        bool isCutFromStore_ = false;
        int side_ = 0; ///< of a partition between the hosts
        bool isDead_ = false;
        bool hasLeft_ = false;
        Generation storeGeneration_; ///< the newest that a reply of the store had
    };

    void start(std::size_t index)
    {
        auto host = std::make_unique<Host>();
        host->self_ = Member { HostName("host-" + std::to_string(index)),
                               Incarnation { ++lastIncarnation_ } };
        const std::int64_t kMaxDrift = 400;
        const auto number = static_cast<std::int64_t>(index);
        host->clock_ = DriftingClock(std::chrono::seconds(1000 + 77 * number),
                                     index % 2 == 0 ? kMaxDrift : -kMaxDrift);
        host->elector_
            = std::make_unique<RoleElector>(kRole, host->self_, Random(lastIncarnation_));
        if (hosts_.size() <= index)
            hosts_.resize(index + 1);
        hosts_[index] = std::move(host);
    }

    bool isActing(const Host &host) const
    {
        return !host.isDead_ && !host.isPaused_
               && host.elector_->holds(host.clock_.at(events_.now()));
    }

    void scheduleTick(std::size_t index)
    {
        Host *host = hosts_[index].get();
        events_.after(kTick, [this, host, index] {
            if (host->isDead_)
                return;
            if (!host->isPaused_)
                perform(*host, host->elector_->tick(contextOf(*host), now(*host)));
            scheduleTick(index);
        });
    }

    TimePoint now(const Host &host) const { return host.clock_.at(events_.now()); }

    // The view of an ideal failure detector: the running hosts on the viewer's side of a partition.
    RoleContext contextOf(const Host &viewer) const
    {
        RoleContext context;
        for (const auto &host : hosts_) {
            const bool isSeen = host.get() == &viewer
                                || (!host->isDead_ && !host->isPaused_ && !host->hasLeft_
                                    && !areApart(*host, viewer));
            if (isSeen)
                context.view_.push_back(host->self_);
            if (host->hasLeft_ && !viewer.isCut_)
                context.stopped_.insert(host->self_);
            const bool reachesStore = host.get() != &viewer && isSeen && !host->isCutFromStore_
                                      && !store_.faults_.down_;
            context.othersReachStore_ = context.othersReachStore_ || reachesStore;
        }
        for (const auto &host : retired_) {
            if (!viewer.isCut_)
                context.stopped_.insert(host->self_);
        }
        context.fleetSize_ = hosts_.size();
        context.confirmedLost_ = lostHosts_;
        context.highCapacity_ = highCapacity_;
        context.storeGeneration_ = viewer.storeGeneration_;
        return context;
    }

    static bool areApart(const Host &one, const Host &other)
    {
        return one.isCut_ || other.isCut_ || one.side_ != other.side_;
    }

    bool isLostForGood(const Member &member) const
    {
        return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto &host) {
            return host->self_ == member && host->isDead_;
        });
    }

    Host *findHost(const Member &member)
    {
        for (const auto &host : hosts_) {
            if (host->self_ == member)
                return host.get();
        }
        return nullptr;
    }

    /// Runs @p task on host @p to, delayed while it is paused, unless the message is lost or cut
    /// off.
    void deliver(Host &from, Host &to, std::function<void()> task)
    {
        const bool isLost = &from != &to && losesMessages_ && ++messages_ % 3 == 0;
        events_.after(std::chrono::milliseconds(1), [this, &from, &to, task, isLost] {
            const bool isBlocked = &from != &to && areApart(from, to);
            if (!isLost && !isBlocked)
                runOnHost(to, task);
        });
    }

    void runOnHost(Host &host, const std::function<void()> &task)
    {
        if (host.isDead_)
            return;
        if (host.isPaused_)
            events_.after(std::chrono::milliseconds(20),
                          [this, &host, task] { runOnHost(host, task); });
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
            runOnHost(host, [this, &host, sentAt, result] {
                if (!result || host.isCutFromStore_) {
                    host.elector_->onReadFailed();
                    return;
                }
                host.storeGeneration_
                    = std::max(host.storeGeneration_, generationOf(result->second));
                perform(host, host.elector_->onRecordRead(result->first, result->second, sentAt,
                                                          now(host)));
            });
        });
    }

    void perform(Host &host, const WriteRole &write)
    {
        const TimePoint sentAt = now(host);
        if (host.isCutFromStore_) {
            host.elector_->onWriteFailed(write.record_.nonce_);
            return;
        }
        const std::string nonce = write.record_.nonce_;
        store_.write(
            write.record_, write.expected_,
            [this, &host, sentAt, nonce](FakeRecordStore<RoleRecord>::WriteOutcome outcome,
                                         Version version,
                                         const std::optional<RoleRecord> &current) {
                runOnHost(host, [this, &host, sentAt, nonce, outcome, version, current] {
                    if (outcome == FakeRecordStore<RoleRecord>::WriteOutcome::Written)
                        perform(host, host.elector_->onWritten(nonce, version, sentAt, now(host)));
                    else if (outcome == FakeRecordStore<RoleRecord>::WriteOutcome::Conflict)
                        perform(host, host.elector_->onConflict(nonce, current, version, sentAt,
                                                                now(host)));
                    else
                        host.elector_->onWriteFailed(nonce);
                });
            });
        scheduleWatchEvents();
    }

    // All hosts with a connection to the store get the change after a short delay, as from a watch.
    void scheduleWatchEvents()
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
                runOnHost(*target, [this, target, record, version] {
                    perform(*target, target->elector_->onRecord(record, version, now(*target)));
                });
            }
        });
    }

    void perform(Host &host, const RequestPromise &request)
    {
        Host *voter = findHost(request.member_);
        if (!voter)
            return;
        const TimePoint sentAt = now(host);
        deliver(host, *voter, [this, &host, voter, sentAt, request] {
            if (!voter->promises_.promise(kRole, request.epoch_, now(*voter)))
                return;
            deliver(*voter, host, [this, &host, sentAt, request] {
                host.elector_->onPromise(request.member_, request.epoch_, sentAt, now(host));
            });
        });
    }

    void perform(Host &host, const RequestRelease &request)
    {
        Host *voter = findHost(request.member_);
        if (!voter)
            return;
        deliver(host, *voter, [this, &host, voter, request] {
            const Duration remaining = voter->promises_.release(kRole, request.epoch_, now(*voter));
            deliver(*voter, host, [this, &host, request, remaining] {
                host.elector_->onReleased(request.member_, request.epoch_, remaining, now(host));
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
                target->elector_->onStepDown(host.self_, announcement.epoch_);
            });
        }
    }

    void perform(Host &, const RoleGained &) { }
    void perform(Host &, const RoleLost &) { }

    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<std::unique_ptr<Host>> retired_;
    std::map<HostName, Incarnation> lostHosts_;
    std::vector<Member> highCapacity_;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t messages_ = 0;
};

} // namespace pimentostage
