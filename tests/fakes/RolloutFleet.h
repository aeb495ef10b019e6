#pragma once

#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/platform/ConfigState.h"
#include "src/daemon/RolloutControl.h"
#include "src/daemon/RolloutHost.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/RecordingLog.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// A store that also keeps the status of roll-outs.
class RolloutStore : public FakeObjectStore
{
public:
    struct Status
    {
        RolloutStatus status_;
        std::string target_;
        bool operator==(const Status &) const = default;
    };

    void putRolloutStatus(const ServiceName &, RolloutStatus status, const std::string &target,
                          Done<WriteResult> done) override
    {
        if (isStatusDown_) {
            done(Error { Step::WriteStore, Peer { PeerKind::Platform, "fake" }, ErrorCode::Timeout,
                         "down" });
            return;
        }
        statuses_.push_back({ status, target });
        if (onStatus_)
            onStatus_(statuses_.back());
        done(WriteResult { true, Version {}, std::nullopt });
    }

    bool isStatusDown_ = false;
    std::vector<Status> statuses_;
    std::function<void(const Status &)> onStatus_;
};

/// Simulates the roll-outs of one service over several hosts: their control classes, traffic and
/// messages, with back ends of several versions and a store.
class RolloutFleet
{
public:
    /// How the back ends of one version answer.
    struct Behaviour
    {
        double failureShare_ = 0;
        Duration latency_ = std::chrono::milliseconds(50);
    };

    RolloutFleet(std::size_t hosts, const RolloutLimits &limits, bool isKeyed = false);
    ~RolloutFleet();

    void addBackends(const std::string &version, std::size_t count, const Behaviour &behaviour);
    void order(const std::string &target, Duration duration);
    void withdrawOrder();
    /// Makes @p host the holder of the role; the former one is gone without a word.
    void setHolder(std::size_t host);
    void loseHolder() { holder_.reset(); }
    /// Isolates a host from the others and from changes of the configuration, or reconnects it.
    void cut(std::size_t host, bool isCut);
    /// Replaces the process of a host by a new one.
    void restart(std::size_t host);
    void setStoreDown(bool isDown);
    void run(Duration duration);

    [[nodiscard]] Duration now() const { return events_.now(); }
    RolloutStore &store() { return store_; }
    [[nodiscard]] const RecordingLog &log() const { return log_; }
    [[nodiscard]] bool wantsRole(std::size_t host) const;
    /// @return the requests sent to @p version so far, by @p host or by all.
    [[nodiscard]] std::uint64_t sentTo(const std::string &version,
                                       std::optional<std::size_t> host = {}) const;
    [[nodiscard]] std::uint64_t requests() const { return requests_; }
    /// @return the number of requests that run at @p version.
    [[nodiscard]] std::uint64_t runningAt(const std::string &version) const;
    /// @return the state in the store, or nothing.
    [[nodiscard]] std::optional<RolloutState> state() const;
    /// @return the time at which @p phase was first stored, or nothing.
    [[nodiscard]] std::optional<Duration> storedAt(RolloutPhase phase) const;

    inline static const ServiceName kService { "huts" };
    static constexpr Duration kRequestPeriod = std::chrono::milliseconds(20);

private:
    struct Host;
    class Links;

    void startHost(std::size_t index);
    void scheduleTick(const std::shared_ptr<Host> &host);
    void scheduleRequest(const std::shared_ptr<Host> &host);
    void updateConfig(Host &host);
    void sendRequest(const std::shared_ptr<Host> &host);
    [[nodiscard]] TimePoint time() const
    {
        return TimePoint(std::chrono::hours(1) + events_.now());
    }
    void noteState();

    const RolloutLimits limits_;
    EventQueue events_;
    RolloutStore store_;
    RecordingLog log_;
    Random random_ { 20'261'206 };
    std::vector<std::shared_ptr<Host>> hosts_;
    std::map<std::string, Behaviour> behaviours_;
    std::optional<std::size_t> holder_;
    Epoch epoch_;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t requests_ = 0;
    std::map<std::string, std::map<std::size_t, std::uint64_t>> sent_;
    std::map<std::string, std::uint64_t> running_;
    std::map<RolloutPhase, Duration> storedAt_;
};

} // namespace pimentostage
