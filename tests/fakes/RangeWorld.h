#pragma once

#include "pimentostage/backend/RangeCoordinator.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeRecordStore.h"

#include <memory>
#include <string>
#include <vector>

namespace pimentostage {

/// Back ends that hold ranges, a store and one coordinator after the other, in simulated time.
class RangeWorld
{
    EventQueue events_; // outlives what runs in it

public:
    explicit RangeWorld(std::size_t servers, std::uint64_t seed = 1);

    /// Runs for @p time and keeps mostHolders_ up to date.
    void run(Duration time);

    /// Ends the present coordinator and begins another after @p gap.
    void changeCoordinator(Duration gap);
    /// Packets to and from the server are lost.
    void cut(std::size_t server, bool isCut) { servers_[server].isCut_ = isCut; }
    /// The server's process ends; connections to it are refused.
    void kill(std::size_t server);
    /// A new process stands in its place, under the same name.
    void restart(std::size_t server);
    void setTakesNewWork(std::size_t server, bool takes);
    /// Orders to the server get no answer and take effect @p delay after their arrival.
    void setAppliedLate(std::size_t server, Duration delay) { servers_[server].late_ = delay; }
    /// How long work runs on after a release.
    void setWorkTime(Duration time) { workTime_ = time; }
    /// Reports @p requests a second on the keys of one bucket.
    void setLoad(std::uint32_t bucket, double requests) { load_[bucket] = requests; }

    /// @return the servers that hold @p key now.
    [[nodiscard]] std::vector<std::size_t> holdersOf(std::uint32_t key) const;
    /// @return whether each of a sample of keys is held by the server that the store names.
    [[nodiscard]] bool areAllServed() const;
    [[nodiscard]] const RangePlacement &stored() const { return *store_.record_; }
    [[nodiscard]] Duration now() const { return events_.now(); }

    FakeRecordStore<RangePlacement> store_;
    std::size_t mostHolders_ = 0; ///< of any key at any moment
    bool hasEpochFallen_ = false; ///< a server took a key with an epoch not above others'
    int handovers_ = 0; ///< grants that came with the handover of the last holder

private:
    struct Hold
    {
        KeyRange range_;
        Epoch epoch_;
        Duration until_;
    };
    struct Server
    {
        BackendProcess process_;
        /// The process at the other end of the coordinator's connection; nobody without one.
        BackendProcess connected_;
        bool isUp_ = true;
        bool isCut_ = false;
        bool takesNewWork_ = true;
        Duration late_ {};
        std::vector<Hold> holds_;
        std::vector<Hold> seen_; ///< highest epochs; until_ is not used
    };

    TimePoint coordinatorTime() const { return TimePoint(events_.now() + std::chrono::hours(1)); }
    void tickLater(std::uint64_t generation);
    void perform(const RangeActions &actions);
    void perform(const ReadRanges &read);
    void perform(const WriteRanges &write);
    void perform(const SendRangeGrant &grant);
    void perform(const SendRangeRelease &release);
    void perform(const RangeMoveDecided &) { }
    void answerGrant(std::uint64_t generation, const SendRangeGrant &grant, RangeOutcome outcome);
    RangeOutcome apply(Server &server, const RangeGrantOrder &order, Duration arrivedAt);
    void dropHolds(Server &server, const KeyRange &range);
    Server *find(const BackendProcess &process);
    void updateBackends();
    void check();

    Random random_;
    Duration workTime_ {};
    std::map<std::uint32_t, double> load_;
    std::vector<Server> servers_;
    std::unique_ptr<RangeCoordinator> coordinator_;
    std::uint64_t generation_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    std::map<std::uint32_t, std::pair<Epoch, BackendProcess>> lastTaken_; ///< by sampled key
};

} // namespace pimentostage
