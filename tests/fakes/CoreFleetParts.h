#pragma once

#include "tests/fakes/CoreFleet.h"

#include <map>
#include <memory>
#include <string>

namespace pimentostage {

/// Time of one message on a network without faults.
inline constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);

/// @return what a host serves by before it knows anything.
inline std::shared_ptr<const TrafficView> emptyView()
{
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = std::make_shared<Configuration>();
    view->routing_ = std::make_shared<RoutingTable>();
    return view;
}

/// A request on its way to and at a back end.
struct CoreFleet::Work
{
    std::size_t request_ = 0;
    std::size_t team_ = 0;
    ServiceName service_;
    std::string key_;
    UnitName unit_;
    Epoch epoch_;
    Duration length_ {};
    Duration deadline_ {}; ///< true time, counted by the back end from the request's arrival
    std::uint64_t term_ = 0;
};

/// A host's way to the other hosts.
class CoreFleet::Links : public SiblingSender
{
public:
    Links(CoreFleet &fleet, Host &host)
        : fleet_(fleet)
        , host_(host)
    { }

    void send(const HostName &host, const SiblingMessage &message) override
    {
        fleet_.deliver(host_, host, message);
    }

private:
    CoreFleet &fleet_;
    Host &host_;
};

/// A host's way to the back ends, for grants and probes.
class CoreFleet::Servers : public BackendLink
{
public:
    Servers(CoreFleet &fleet, Host &host)
        : fleet_(fleet)
        , host_(host)
    { }

    void grant(const Address &address, const Grant &grant, OnGrantReply done) override;
    void probe(const Address &address, OnProbeReply done) override;

private:
    void reply(std::function<void()> task);

    CoreFleet &fleet_;
    Host &host_;
};

struct CoreFleet::Host : public std::enable_shared_from_this<Host>
{
    Host()
        : routing_(std::make_shared<RoutingTable>())
        , views_(emptyView())
    { }

    MemberUpdate self_;
    std::size_t index_ = 0;
    DriftingClock clock_ { Duration::zero(), 0 };
    Counters counters_;
    SnapshotPublisher<RoutingTable> routing_;
    SnapshotPublisher<TrafficView> views_;
    std::unique_ptr<FleetStore::Port> store_;
    std::unique_ptr<Links> links_;
    std::unique_ptr<Servers> servers_;
    std::unique_ptr<ControlCore> core_;
    std::shared_ptr<const TrafficView> firstView_; ///< the first that served
    ShareBudget retries_ { 0.1, 10 };
    ShareBudget hedges_ { 0.05, 10 };
    std::map<ObjectRef, Version> seen_;
    bool paused_ = false;
    bool isCut_ = false;
    bool isDead_ = false;
};

/// One request at a host; performs what its RequestExecution decides.
class CoreFleet::Run : public std::enable_shared_from_this<Run>
{
public:
    Run(CoreFleet &fleet, std::shared_ptr<Host> host, std::shared_ptr<const TrafficView> view,
        RoutedRequest routed, const Work &work)
        : fleet_(fleet)
        , host_(std::move(host))
        , view_(std::move(view))
        , routed_(std::move(routed))
        , work_(work)
        , execution_(policy(), host_->retries_, host_->hedges_)
    { }

    void start() { perform(execution_.start(now())); }

private:
    TimePoint now() const { return host_->clock_.at(fleet_.events_.now()); }

    ExecutionPolicy policy() const;

    void perform(const ExecutionActions &actions);

    void perform(const SendAttempt &send);

    void perform(const CancelAttempt &) { }
    void perform(const WakeAt &wake);
    void perform(const AwaitRoom &);
    void perform(const DeliverAnswer &) { ++fleet_.answered_; }
    void perform(const GiveUp &giveUp);

    struct Flight
    {
        AttemptNumber attempt_ = 0;
        BackendName backend_;
        std::shared_ptr<BackendStats> stats_;
        std::shared_ptr<RoutingFence> fence_;
        UnitName unit_;
        Epoch epoch_;
        TimePoint begunAt_;
        bool isEnded_ = false;
    };

    void sendFirstByte(const std::shared_ptr<Flight> &flight);

    void onEnd(const std::shared_ptr<Flight> &flight, AttemptState state);

    void end(const std::shared_ptr<Flight> &flight, AttemptState state, AttemptFailure failure);

    CoreFleet &fleet_;
    const std::shared_ptr<Host> host_;
    const std::shared_ptr<const TrafficView> view_; ///< keeps what routed_ points to
    const RoutedRequest routed_;
    const Work work_;
    RequestExecution execution_;
};

} // namespace pimentostage
