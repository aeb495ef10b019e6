#pragma once

#include "pimentostage/backend/ExposureAllocator.h"
#include "pimentostage/backend/ExposureBudget.h"
#include "pimentostage/base/Random.h"

#include <memory>
#include <vector>

namespace pimentostage {

/// Hosts and holders of one roll-out, with a network that loses, delays, repeats and reorders
/// messages, and processes that end. Former holders go on to answer.
class ExposureFleet
{
public:
    ExposureFleet(std::size_t hosts, const RolloutLimits &limits, std::uint64_t seed);

    /// Requests of the service arrive at a host; each goes to the target if its budget allows it.
    void arrive(std::size_t host, std::size_t requests);
    /// A host reports to the latest holder or, if it has not heard of that, to a former one.
    void report(std::size_t host);
    /// The oldest message, or one chosen at random, arrives, and may arrive again later.
    void deliver(bool isInOrder, bool isRepeated);
    /// A message chosen at random is lost.
    void lose();
    /// A host's process ends and another starts.
    void restartHost(std::size_t host);
    /// Another host becomes the holder.
    void changeHolder();
    /// Sets the verdict of the latest holder.
    void setVerdict(const RolloutVerdict &verdict);
    void advance(Duration duration) { now_ += duration; }

    [[nodiscard]] std::size_t hostCount() const { return hosts_.size(); }
    [[nodiscard]] TimePoint now() const { return now_; }
    [[nodiscard]] std::uint64_t requests() const { return requests_; }
    [[nodiscard]] std::uint64_t sentToTarget() const { return sentToTarget_; }
    [[nodiscard]] std::uint64_t sentToCurrent() const { return sentToCurrent_; }
    [[nodiscard]] std::size_t messageCount() const { return messages_.size(); }
    /// @return whether a request went to the target although its host's process had applied no
    /// lease
    ///         that began within kExposureLease.
    [[nodiscard]] bool wasSentOutOfTouch() const { return wasSentOutOfTouch_; }
    /// @return whether a request could go to neither version although its host's process had
    /// started
    ///         before the order and had no lease yet, or had applied only leases that began within
    ///         kCurrentLease.
    [[nodiscard]] bool wasRefusedInTouch() const { return wasRefusedInTouch_; }
    /// @return whether the latest holder may declare that no host uses the version in force.
    [[nodiscard]] bool hasEveryHostLeft() const;

private:
    struct Host
    {
        HostName name_;
        Incarnation incarnation_ { 1 };
        Epoch knownEpoch_ { 1 };
        std::unique_ptr<ExposureBudget> budget_;
        bool isLate_ = false; ///< the process started after the order
        TimePoint newestLeaseSince_ {}; ///< newest begin of a lease that it has applied
        TimePoint oldestLeaseSince_ = TimePoint::max(); ///< oldest begin of such a lease
    };

    /// A report or the lease that answers it.
    struct Message
    {
        std::size_t host_ = 0;
        TimePoint reportedAt_ {};
        std::optional<ExposureUse> use_;
        ExposureLease lease_;
    };

    void receive(const Message &message);
    void receiveReport(const Message &message);
    void receiveLease(const Message &message);

    const RolloutLimits limits_;
    Random random_;
    TimePoint now_ { std::chrono::hours(1) };
    std::vector<Host> hosts_;
    std::vector<std::unique_ptr<ExposureAllocator>> holders_; ///< of epochs 1 and on
    std::vector<bool> hasLeft_; ///< hosts whose report of that the latest holder has
    std::vector<Message> messages_;
    std::uint64_t requests_ = 0;
    std::uint64_t sentToTarget_ = 0;
    std::uint64_t sentToCurrent_ = 0;
    bool wasSentOutOfTouch_ = false;
    bool wasRefusedInTouch_ = false;
};

} // namespace pimentostage
