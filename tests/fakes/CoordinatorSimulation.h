#pragma once

#include "pimentostage/backend/ShardCoordinator.h"
#include "tests/fakes/DriftingClock.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeRecordStore.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimentostage {

/// Runs the coordinators of a keyed service in simulated time: successive coordinators, a store
/// that can fail and a network that delays and loses messages. Derived classes simulate the lease
/// holders.
class CoordinatorSimulation
{
public:
    using PlacementStore = FakeRecordStore<Placement>;

    virtual ~CoordinatorSimulation() = default;

    /// Runs for @p duration; calls check() after each event.
    void run(Duration duration);

    /// Replaces the current coordinator by a new one with a higher epoch.
    void changeCoordinator();

    void setTakesNewWork(const BackendName &backend, bool takes);
    void setHotKeys(std::vector<std::string> keys);

    /// @return whether requests for @p key are served at the current time.
    virtual bool isServed(const std::string &key) = 0;
    bool areAllServed();

    [[nodiscard]] BackendName ownerOfKey(const std::string &key) const;

    EventQueue events_;
    PlacementStore store_;
    std::size_t maxOwners_ = 0; ///< of one key at the same time, counted by check()
    bool losesMessages_ = false;
    std::vector<Placement> history_; ///< every placement that the store has held
    std::vector<std::string> keys_;

protected:
    /// The owner of a key in a placement, with the unit and epoch that cover the key there.
    struct Assignment
    {
        BackendName backend_;
        UnitName unit_;
        Epoch epoch_;

        auto operator<=>(const Assignment &) const = default;
    };

    explicit CoordinatorSimulation(Service service);

    /// Starts the first coordinator; called at the end of the derived class's constructor.
    void begin();

    virtual void transmit(const SendGrant &) { }
    virtual void transmit(const SendRouterGrant &) { }
    virtual void transmit(const ProbeBackend &) { }
    /// Performs the periodic work of the derived class.
    virtual void tick() = 0;
    /// Updates maxOwners_ with the number of current owners of each key.
    virtual void check() = 0;

    /// Updates the state of @p backend and passes it to the coordinator.
    void setBackend(const BackendName &backend, const CoordinatedBackend &backendState);
    void setRouters(const std::set<Member> &routers);

    /// Runs @p deliver after the network delay, unless the message is lost.
    void send(std::function<void()> deliver);
    /// Runs @p report as send() does, unless @p coordinator has been replaced by then.
    void reply(ShardCoordinator *coordinator, std::function<void(ShardCoordinator &)> report);

    /// @return the assignments of @p key in all placements that the store has held.
    [[nodiscard]] const std::set<Assignment> &assignments(const std::string &key);
    /// @return the assignment of @p key in @p placement.
    static Assignment assignmentOf(const Placement &placement, const std::string &key);
    [[nodiscard]] TimePoint now() const { return clock_.at(events_.now()); }
    [[nodiscard]] ShardCoordinator *coordinator() const { return coordinator_.get(); }

private:
    void scheduleTick();
    void performAll(const CoordinatorActions &actions);
    void perform(const ReadPlacement &);
    void perform(const WritePlacement &write);
    void perform(const SendGrant &grant) { transmit(grant); }
    void perform(const SendRouterGrant &grant) { transmit(grant); }
    void perform(const ProbeBackend &probe) { transmit(probe); }
    void perform(const MoveDecided &) { }
    void recordHistory();

    const Service service_;
    DriftingClock clock_ { Duration::zero(), 0 };
    Epoch roleEpoch_;
    std::vector<std::unique_ptr<ShardCoordinator>> retired_;
    std::unique_ptr<ShardCoordinator> coordinator_;
    std::map<BackendName, CoordinatedBackend> backends_;
    std::set<Member> routers_;
    std::vector<std::string> hotKeys_;
    std::map<std::string, std::set<Assignment>> assignments_;
    std::uint64_t messages_ = 0;
};

} // namespace pimentostage
