#pragma once

#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/base/Random.h"
#include "src/daemon/AllowanceControl.h"
#include "src/daemon/LocalTokenBuckets.h"
#include "tests/fakes/DriftingClock.h"
#include "tests/fakes/EventQueue.h"

#include <memory>
#include <vector>

namespace pimentostage {

/// Simulates AllowanceControl on several hosts for one team, over a network that delays and loses
/// messages.
///
/// Times are simulated time; each host's clock drifts. Records the offered requests and their
/// results.
class AllowanceFleet
{
public:
    /// Properties of the simulated network.
    struct Network
    {
        Duration delay_ = std::chrono::microseconds(500); ///< one-way
        Duration jitter_ {}; ///< maximum random delay in addition
        double loss_ = 0; ///< fraction of messages that are lost
    };

    /// An offered request and its result.
    struct OfferedRequest
    {
        Duration at_ {};
        double tokens_ = 1;
        SpendResult result_ = SpendResult::Waiting;
        Duration decidedAt_ {};
    };

    AllowanceFleet(std::size_t hosts, const RateLimit &limit, std::uint64_t seed);
    ~AllowanceFleet();

    /// Offers a request of @p tokens tokens at @p host now.
    void offer(std::size_t host, double tokens = 1);

    /// Advances the simulation by @p duration.
    void run(Duration duration);

    /// Makes @p host the holder of the account; the former holder stops immediately.
    /// @param gap time without a holder.
    void changeHolder(std::size_t host, Duration gap);

    /// Stops or restores a host. A dead host neither sends nor receives.
    void setDead(std::size_t host, bool isDead) { hosts_[host]->isDead_ = isDead; }
    /// Pauses or resumes a host's processing; its clock continues to run.
    void setPaused(std::size_t host, bool paused) { hosts_[host]->isPaused_ = paused; }

    [[nodiscard]] std::size_t holder() const { return holder_; }
    [[nodiscard]] Duration now() const { return events_.now(); }
    [[nodiscard]] std::size_t hostCount() const { return hosts_.size(); }
    [[nodiscard]] const std::vector<OfferedRequest> &offered() const { return offered_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

    /// @return the maximum excess of tokens spent in any period over rate * period + burst.
    [[nodiscard]] double maxExcess() const;

    Network network_;

private:
    class Sender;
    struct Host
    {
        HostName name_;
        DriftingClock clock_ { Duration::zero(), 0 };
        LocalTokenBuckets tokenBuckets_;
        std::unique_ptr<Sender> sender_;
        std::unique_ptr<AllowanceControl> control_;
        bool isDead_ = false;
        bool isPaused_ = false;
    };

    void deliver(std::size_t from, std::size_t to, const SiblingMessage &message);
    void receive(std::size_t from, std::size_t to, const SiblingMessage &message);
    void scheduleTick(std::size_t host);
    void publish();
    [[nodiscard]] std::size_t indexOf(const HostName &name) const;

    EventQueue events_;
    Random random_;
    const RateLimit limit_;
    const TeamName team_ { "caxias" };
    MetricRegistry metrics_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::size_t holder_ = 0;
    bool hasHolder_ = false;
    Epoch epoch_;
    std::vector<OfferedRequest> offered_;
    std::uint64_t messages_ = 0;
};

} // namespace pimentostage
