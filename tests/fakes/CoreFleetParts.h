#pragma once

#include "tests/fakes/CoreFleet.h"

#include <map>
#include <memory>
#include <string>

namespace pimentostage {

/// Delay of a message on a network without faults.
inline constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);

/// @return the view of a host before its first configuration.
inline std::shared_ptr<const TrafficView> emptyView()
{
    auto view = std::make_shared<TrafficView>();
    view->configuration_ = std::make_shared<Configuration>();
    view->routing_ = std::make_shared<RoutingTable>();
    return view;
}

/// A request in transit to or at a back end.
struct CoreFleet::Work
{
    std::size_t request_ = 0;
    std::size_t team_ = 0;
    ServiceName service_;
    std::string key_;
    UnitName unit_;
    Epoch epoch_;
    Duration duration_ {};
    Duration deadline_ {}; ///< in true time, measured by the back end from the request's arrival
    std::uint64_t term_ = 0;
};

/// A host's links to the other hosts.
class CoreFleet::FakeSiblingLinks : public SiblingSender
{
public:
    FakeSiblingLinks(CoreFleet &fleet, Host &host)
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

/// A host's links to the back ends, for grants and probes.
class CoreFleet::FakeBackendLinks : public BackendLink
{
public:
    FakeBackendLinks(CoreFleet &fleet, Host &host)
        : fleet_(fleet)
        , host_(host)
    { }

    void grant(const Address &address, const Grant &grant, OnGrantReply done) override;
    void probe(const Address &address, OnProbeReply done) override;

private:
    void sendReply(std::function<void()> task);

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
    MetricRegistry metrics_;
    SnapshotPublisher<RoutingTable> routing_;
    SnapshotPublisher<TrafficView> views_;
    std::unique_ptr<FleetStore::Port> store_;
    std::unique_ptr<FakeSiblingLinks> links_;
    std::unique_ptr<FakeBackendLinks> backendLinks_;
    std::unique_ptr<ControlCore> core_;
    std::shared_ptr<const TrafficView> firstServingView_; ///< first view with all shards owned
    AttemptBudget retryBudget_ { 0.1, 10 };
    AttemptBudget hedgeBudget_ { 0.05, 10 };
    std::map<ObjectRef, Version> lastVersions_;
    bool paused_ = false;
    bool isCut_ = false;
    bool isDead_ = false;
};

/// One request at a host; carries out the actions of its RequestExecution.
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
        , execution_(policy(), host_->retryBudget_, host_->hedgeBudget_)
    { }

    void start() { perform(execution_.start(now())); }

private:
    TimePoint now() const { return host_->clock_.at(fleet_.events_.now()); }

    ExecutionPolicy policy() const;

    void perform(const ExecutionActions &actions);

    void perform(const SendAttempt &send);

    void perform(const CancelAttempt &) { }
    void perform(const WakeAt &wake);
    void perform(const AwaitAdmission &);
    void perform(const DeliverAnswer &) { ++fleet_.answered_; }
    void perform(const GiveUp &giveUp);

    struct Attempt
    {
        AttemptNumber number_ = 0;
        BackendName backend_;
        std::shared_ptr<BackendStats> stats_;
        std::shared_ptr<RouterLease> routerLease_;
        UnitName unit_;
        Epoch epoch_;
        TimePoint begunAt_;
        bool isEnded_ = false;
    };

    void sendFirstByte(const std::shared_ptr<Attempt> &attempt);

    void onEnd(const std::shared_ptr<Attempt> &attempt, AttemptState state);

    void end(const std::shared_ptr<Attempt> &attempt, AttemptState state, AttemptFailure failure);

    CoreFleet &fleet_;
    const std::shared_ptr<Host> host_;
    const std::shared_ptr<const TrafficView> view_; ///< owns what routed_ points to
    const RoutedRequest routed_;
    const Work work_;
    RequestExecution execution_;
};

} // namespace pimentostage
