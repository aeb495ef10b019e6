#pragma once

#include "pimentostage/base/Counters.h"
#include "pimentostage/base/Random.h"
#include "src/daemon/AllowanceControl.h"
#include "src/daemon/PurseBook.h"
#include "tests/fakes/DriftingClock.h"
#include "tests/fakes/EventQueue.h"

#include <memory>
#include <vector>

namespace pimentostage {

/// Several hosts' AllowanceControl with one team, over a network that delays and loses messages.
///
/// Time is true time; each host's clock drifts. Offered requests and what became of them are
/// recorded.
class AllowanceFleet
{
public:
    /// How the network behaves.
    struct Network
    {
        Duration delay_ = std::chrono::microseconds(500); ///< each way
        Duration jitter_ {}; ///< added at random
        double loss_ = 0; ///< part of the messages lost
    };

    /// One offered request.
    struct Offered
    {
        Duration at_ {};
        double tokens_ = 1;
        SpendResult result_ = SpendResult::Waiting;
        Duration decidedAt_ {};
    };

    AllowanceFleet(std::size_t hosts, const AllowanceTerms &terms, std::uint64_t seed);
    ~AllowanceFleet();

    /// Offers a request at host @p host now.
    void offer(std::size_t host, double tokens = 1);

    /// Lets @p duration pass.
    void run(Duration duration);

    /// Makes @p host the holder of the account; the former one stops at once.
    /// @param gap time without a holder.
    void changeHolder(std::size_t host, Duration gap);

    /// Kills or revives a host: it neither sends nor receives.
    void setDead(std::size_t host, bool isDead) { hosts_[host]->isDead_ = isDead; }
    /// Stops a host's clockwork without stopping its clock.
    void setPaused(std::size_t host, bool paused) { hosts_[host]->isPaused_ = paused; }

    [[nodiscard]] std::size_t holder() const { return holder_; }
    [[nodiscard]] Duration now() const { return events_.now(); }
    [[nodiscard]] std::size_t hostCount() const { return hosts_.size(); }
    [[nodiscard]] const std::vector<Offered> &offered() const { return offered_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

    /// @return the largest excess of tokens spent in any period over rate * period + burst.
    [[nodiscard]] double worstExcess() const;

    Network network_;

private:
    class Sender;
    struct Host
    {
        HostName name_;
        DriftingClock clock_ { Duration::zero(), 0 };
        PurseBook purses_;
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
    const AllowanceTerms terms_;
    const TeamName team_ { "caxias" };
    Counters counters_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::size_t holder_ = 0;
    bool hasHolder_ = false;
    Epoch epoch_;
    std::vector<Offered> offered_;
    std::uint64_t messages_ = 0;
};

} // namespace pimentostage
