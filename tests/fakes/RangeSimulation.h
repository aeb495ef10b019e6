#pragma once

#include "pimentostage/backend/RangeCoordinator.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeRecordStore.h"

#include <memory>
#include <string>
#include <vector>

namespace pimentostage {

/// Runs the coordinators of a service with ordered keys in simulated time: successive coordinators,
/// back ends that hold ranges, and a store that can fail.
class RangeSimulation
{
    EventQueue events_; // declared first, so that it is destroyed last

public:
    explicit RangeSimulation(std::size_t servers, std::uint64_t seed = 1);

    /// Runs for @p time and updates maxHolders_.
    void run(Duration time);

    /// Stops the current coordinator and starts another after @p gap.
    void changeCoordinator(Duration gap);
    /// Partitions the network: messages to and from the server are lost.
    void setPartitioned(std::size_t server, bool isPartitioned)
    {
        servers_[server].isPartitioned_ = isPartitioned;
    }
    /// Ends the server's process; connections to it are refused.
    void kill(std::size_t server);
    /// Replaces the server's process by a new one with the same name.
    void restart(std::size_t server);
    /// Replaces the server's process by a new one at the same address but with another name.
    void replace(std::size_t server);
    /// Lets the server close the coordinator's connection to it, which is idle.
    void closeIdleConnection(std::size_t server);
    void setTakesNewWork(std::size_t server, bool takes);
    /// Grants to the server get no reply and take effect @p delay after their arrival; zero
    /// restores replies.
    void setApplyDelay(std::size_t server, Duration delay) { servers_[server].applyDelay_ = delay; }
    /// Sets how long work continues after a release.
    void setDrainTime(Duration time) { drainTime_ = time; }
    /// Sets the load reported for a bucket, in requests per second.
    void setLoad(std::uint32_t bucket, double requests) { load_[bucket] = requests; }

    /// @return the servers that hold @p key at the current time.
    [[nodiscard]] std::vector<std::size_t> holdersOf(std::uint32_t key) const;
    /// @return whether each key of a sample has one holder, its owner in the stored placement, and
    ///         is not moving.
    [[nodiscard]] bool areAllServed() const;
    [[nodiscard]] const RangePlacement &stored() const { return *store_.record_; }
    [[nodiscard]] Duration now() const { return events_.now(); }

    FakeRecordStore<RangePlacement> store_;
    std::size_t maxHolders_ = 0; ///< of any sampled key at any time
    /// Whether a server took a key under an epoch not above all that other processes accepted for
    /// it. A grant that is applied after its hold has ended takes no key.
    bool hasEpochViolation_ = false;
    int endedGrants_ = 0; ///< accepted grants whose hold had ended when they were applied
    int handovers_ = 0; ///< accepted grants with a handover token from the previous holder

private:
    struct Hold
    {
        KeyRange range_;
        Epoch epoch_;
        Duration until_;
    };
    /// A process and its address.
    struct Server
    {
        BackendProcess process_;
        /// Former processes at this address whose entries are still in the store.
        std::vector<BackendProcess> formerProcesses_;
        ConnectionId connection_ = 0; ///< the coordinator's connection; 0 if there is none
        BackendProcess connectedProcess_; ///< to which connection_ leads
        bool isUp_ = true;
        bool isPartitioned_ = false;
        bool takesNewWork_ = true;
        Duration applyDelay_ {}; ///< see setApplyDelay()
        std::vector<Hold> holds_;
        std::vector<Hold> acceptedEpochs_; ///< epochs of accepted orders; until_ is unused
    };

    TimePoint coordinatorTime() const { return TimePoint(events_.now() + std::chrono::hours(1)); }
    void scheduleTick(std::uint64_t generation);
    void perform(const RangeActions &actions);
    void perform(const ReadRanges &read);
    void perform(const WriteRanges &write);
    void perform(const SendRangeGrant &grant);
    void perform(const SendRangeRelease &release);
    void perform(const RangeMoveDecided &) { }
    void replyToGrant(std::uint64_t generation, const SendRangeGrant &grant, RangeOutcome outcome,
                      ConnectionId connection);
    void disconnect(Server &server) const;
    RangeOutcome apply(Server &server, const RangeGrantOrder &order, Duration arrivedAt);
    /// @param takesKeys whether the hold of @p order is still open.
    void checkEpochs(const BackendProcess &process, const RangeGrantOrder &order, bool takesKeys);
    void dropHolds(Server &server, const KeyRange &range);
    /// @return the server at the address of @p process, which may have another process by now.
    Server &serverAt(const BackendProcess &process);
    /// Delivers @p grant to the process at the server's address and replies to it.
    void deliver(Server &server, const SendRangeGrant &grant, std::uint64_t generation);
    void updateBackends();
    void updateMaxHolders();

    Random random_;
    Duration drainTime_ {};
    std::map<std::uint32_t, double> load_;
    std::vector<Server> servers_;
    std::map<BackendName, std::size_t> addresses_; ///< index of the server, by name of a process
    ConnectionId lastConnection_ = 0;
    std::unique_ptr<RangeCoordinator> coordinator_;
    std::uint64_t generation_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    /// The highest epoch that each process accepted, by sampled key.
    std::map<std::uint32_t, std::map<BackendProcess, Epoch>> acceptedByKey_;
};

} // namespace pimentostage
