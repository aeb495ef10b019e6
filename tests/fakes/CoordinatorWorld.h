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

/// What tests of a keyed service's coordinators share: one coordinator after another, a store that
/// fails and a network that delays and loses messages. Those who hold leases are the derived
/// worlds' matter.
class CoordinatorWorld
{
public:
    using PlacementStore = FakeRecordStore<Placement>;

    virtual ~CoordinatorWorld() = default;

    /// Runs for @p duration; the oracle is asked after each event.
    void run(Duration duration);

    /// Puts another coordinator in the place of the present one.
    void changeCoordinator();

    void setTakesNewWork(const BackendName &backend, bool takes);
    void setHotKeys(std::vector<std::string> keys);

    /// @return whether requests for @p key are served now.
    virtual bool isServed(const std::string &key) = 0;
    bool areAllServed();

    [[nodiscard]] BackendName ownerOfKey(const std::string &key) const;

    EventQueue events_;
    PlacementStore store_;
    std::size_t mostOwners_ = 0; ///< of one key at once, as the oracle saw it
    bool losesMessages_ = false;
    std::vector<Placement> history_; ///< every placement that was in the store
    std::vector<std::string> keys_;

protected:
    /// The unit, under an epoch, by which a placement named a back end as owner of a key.
    struct Naming
    {
        BackendName backend_;
        UnitName unit_;
        Epoch epoch_;

        auto operator<=>(const Naming &) const = default;
    };

    explicit CoordinatorWorld(Service service);

    /// Installs the first coordinator; called once the derived world is complete.
    void begin();

    virtual void transmit(const SendGrant &) { }
    virtual void transmit(const SendRouterGrant &) { }
    virtual void transmit(const ProbeBackend &) { }
    /// Does what is due in every tick.
    virtual void tick() = 0;
    /// Raises mostOwners_ if a key has more owners than it had.
    virtual void check() = 0;

    /// Tells the coordinator what @p backends are.
    void setBackend(const BackendName &backend, const CoordinatedBackend &facts);
    void setRouters(const std::set<Member> &routers);

    /// Runs @p deliver after the network's delay, unless the message is lost.
    void send(std::function<void()> deliver);
    /// Runs @p report with the coordinator, if it is the present one still, as send() does.
    void reply(ShardCoordinator *coordinator, std::function<void(ShardCoordinator &)> report);

    /// @return every naming of @p key in any placement that was in the store.
    [[nodiscard]] const std::set<Naming> &namings(const std::string &key);
    /// @return the naming of @p key in @p placement.
    static Naming namingOf(const Placement &placement, const std::string &key);
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
    void noteHistory();

    const Service service_;
    DriftingClock clock_ { Duration::zero(), 0 };
    Epoch roleEpoch_;
    std::vector<std::unique_ptr<ShardCoordinator>> retired_;
    std::unique_ptr<ShardCoordinator> coordinator_;
    std::map<BackendName, CoordinatedBackend> facts_;
    std::set<Member> routers_;
    std::vector<std::string> hotKeys_;
    std::map<std::string, std::set<Naming>> namings_;
    std::uint64_t messages_ = 0;
};

} // namespace pimentostage
