#pragma once

#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/sibling/RoomDigest.h"
#include "tests/fakes/EventQueue.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace pimentostage {

/// What hosts do with resets of full back ends and with their observations.
enum class RoomMode {
    Undistinguished, ///< a reset counts as any failure and ejects; nothing is shared
    Alone, ///< full back ends are told apart; nothing is shared
    Shared,
};

/// A load on the back ends of one service, and what the hosts share.
struct RoomCase
{
    std::size_t hosts_ = 88;
    std::size_t backends_ = 130;
    double load_ = 0.7; ///< relative to the capacity of all back ends
    /// If not 0, each request may go to one back end only, and one in twenty of them gets this
    /// multiple of the others' requests.
    double hotOwners_ = 0;
    RoomMode mode_ = RoomMode::Shared;
    std::size_t deltasPerMessage_ = 34; ///< as RoomControl in a fleet below 500 hosts
    Duration period_ = std::chrono::milliseconds(100);
    std::size_t receivers_ = 2; ///< siblings to which a host sends in each period
    double partitioned_ = 0; ///< share of the hosts that exchange no messages with the others
    Duration reportersGoneAt_ = std::chrono::hours(1); ///< no messages from then on
    Duration duration_ = std::chrono::seconds(20);
    std::uint64_t seed_ = 1;
};

/// Counts of one run.
struct RoomResult
{
    std::uint64_t arrivals_ = 0; ///< requests of callers
    std::uint64_t answered_ = 0;
    std::uint64_t rejected_ = 0; ///< at back ends, each with an unknown outcome
    std::uint64_t refused_ = 0; ///< by hosts, before they were sent
    std::uint64_t refusedWithRoom_ = 0; ///< refused while there was a free slot, see hasRoom()
    double meanSeconds_ = 0; ///< from arrival at the host to the answer
    double p99Seconds_ = 0;
    double meanWaitSeconds_ = 0; ///< of those sent, in the host's queue
    double busiestOverMean_ = 0; ///< by time worked
    double deltasPerHostSecond_ = 0; ///< sent
};

/// Hosts with the real choice of back ends in front of simulated ones that close connections when
/// they are full. No network.
class RoomFleet
{
public:
    explicit RoomFleet(const RoomCase &roomCase);
    ~RoomFleet();

    RoomResult run();

private:
    struct Host;
    struct Worker;
    struct Request;

    void arrive();
    void trySend(Host &host, const std::shared_ptr<Request> &request, bool isQueued);
    void poll(Host &host, std::size_t queue);
    BackendChoice choose(Host &host, const Request &request);
    std::size_t drawOwner();
    void reach(Host &host, std::size_t worker, const std::shared_ptr<Request> &request);
    void work(std::size_t worker, Host &host, const std::shared_ptr<Request> &request);
    void finish(std::size_t worker, Host &host, const std::shared_ptr<Request> &request);
    void share(std::size_t host);
    void sendNext(Host &host, std::size_t queue);
    /// @return whether the owner, or without owners half of the back ends, have a free slot.
    [[nodiscard]] bool hasRoom(std::size_t owner) const;
    [[nodiscard]] TimePoint now() const { return TimePoint(std::chrono::hours(1)) + events_.now(); }

    const RoomCase case_;
    Random random_;
    EventQueue events_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::unordered_map<BackendNumber, std::size_t> indexByNumber_;
    double rate_ = 0; ///< arrivals/s
    RoomResult result_;
    std::vector<double> times_;
    double waits_ = 0;
};

} // namespace pimentostage
