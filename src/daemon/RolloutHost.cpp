#include "src/daemon/RolloutHost.h"

#include <algorithm>
#include <utility>

namespace pimentostage {

namespace {

/// @return a lease that allows nothing and is replaced by the first one of any holder.
ExposureLease noLease(Incarnation incarnation)
{
    ExposureLease lease;
    lease.incarnation_ = incarnation;
    lease.sequence_ = 1;
    return lease;
}

} // namespace

RolloutHost::RolloutHost(const Member &self, bool isOn, SiblingSender &hosts, RunningAt runningAt,
                         LogSink &log)
    : self_(self)
    , isOn_(isOn)
    , hosts_(hosts)
    , runningAt_(std::move(runningAt))
    , log_(log)
    , configuration_(std::make_shared<const Configuration>())
{ }

void RolloutHost::onConfig(const std::shared_ptr<const Configuration> &configuration, TimePoint now)
{
    if (!isOn_)
        return;
    configuration_ = configuration;
    versions_.update(*configuration);
    std::map<ServiceName, Running> former = std::move(running_);
    running_.clear();
    for (const auto &[service, versions] : versions_.services()) {
        logVersion(service, versions);
        const auto object = configuration->services_.find(service);
        const bool isBalanced = object != configuration->services_.end() && !object->second.keyed_;
        if (!versions.rollout_ || !isBalanced)
            continue;
        const RolloutState &state = *versions.rollout_;
        const auto found = former.find(service);
        if (found != former.end() && found->second.rollout_.isSameOrder(state.rollout_)) {
            running_[service] = std::move(found->second);
            continue;
        }
        Running &running = running_[service];
        running.rollout_ = state.rollout_;
        running.traffic_
            = std::make_shared<RolloutTraffic>(state.rollout_.order_.target_, self_.incarnation_);
        // The holder may already have all confirmations that it waits for, so a host that joins
        // during the switch sends nothing before its first lease.
        if (state.phase_ == RolloutPhase::Switching)
            running.traffic_->budget().apply(noLease(self_.incarnation_), now);
    }
}

void RolloutHost::logVersion(const ServiceName &service, const AllowedVersions &versions)
{
    const auto [entry, isNew] = loggedVersions_.try_emplace(service, versions.inForce_);
    if (!isNew && entry->second == versions.inForce_)
        return;
    entry->second = versions.inForce_;
    log_.write(LogLine(Severity::Info, "version-in-force")
                   .add("service", service.str())
                   .add("version", versions.inForce_));
}

void RolloutHost::addTo(FleetState &fleet) const
{
    fleet.rollouts_.clear();
    fleet.withheldBackends_.clear();
    if (!isOn_)
        return;
    fleet.withheldBackends_ = versions_.withheld(*configuration_);
    for (const auto &[service, running] : running_)
        fleet.rollouts_[service] = running.traffic_;
}

std::set<std::string> RolloutHost::withheldFromKeys() const
{
    return isOn_ ? versions_.withheldFromKeys(*configuration_) : std::set<std::string> {};
}

void RolloutHost::tick(TimePoint now)
{
    if (running_.empty() || now < nextReport_)
        return;
    nextReport_ = now + kReportPeriod;
    for (auto &[service, running] : running_)
        logExpiry(service, running, now);
    const auto role = configuration_->roles_.find(kRolloutRole);
    if (role == configuration_->roles_.end())
        return;
    for (auto &[service, running] : running_)
        hosts_.send(role->second.holder_.host_, report(service, running, role->second.epoch_, now));
}

void RolloutHost::logExpiry(const ServiceName &service, Running &running, TimePoint now)
{
    ExposureBudget &budget = running.traffic_->budget();
    const bool canUseCurrent = budget.mayUseCurrent(now);
    const bool couldUseCurrent = std::exchange(running.couldUseCurrent_, canUseCurrent);
    // A report for epoch 0 drops no lease. It tells whether the last lease forbids the version.
    if (canUseCurrent || !couldUseCurrent || budget.report(Epoch {}).hasLeftCurrent_)
        return;
    log_.write(LogLine(Severity::Warning, "rollout-lease-expired")
                   .add("service", service.str())
                   .add("target", running.traffic_->target())
                   .add("host", self_.host_.str()));
}

// A traffic thread may have chosen a back end of the version in force just before the lease forbade
// it, so that its request is not counted yet. It is by the next report.
VersionOutcomeReport RolloutHost::report(const ServiceName &service, Running &running, Epoch holder,
                                         TimePoint now) const
{
    VersionOutcomeReport report;
    report.service_ = service;
    report.target_ = running.traffic_->target();
    report.sentAt_ = now.time_since_epoch();
    report.use_ = running.traffic_->budget().report(holder);
    report.routes_ = running.traffic_->outcomes();
    const bool isIdle
        = report.use_.hasLeftCurrent_ && isIdleAtCurrent(service, running.traffic_->target());
    report.use_.hasLeftCurrent_ = isIdle && running.wasIdle_;
    running.wasIdle_ = isIdle;
    return report;
}

bool RolloutHost::isIdleAtCurrent(const ServiceName &service, const std::string &target) const
{
    return std::none_of(configuration_->backends_.begin(), configuration_->backends_.end(),
                        [&](const auto &entry) {
                            const Backend &backend = entry.second;
                            return backend.service_ == service && backend.version_ != target
                                   && runningAt_(backend.name_) > 0;
                        });
}

void RolloutHost::onMessage(const ExposureLeases &message)
{
    const auto found = running_.find(message.service_);
    if (found != running_.end() && found->second.traffic_->target() == message.target_)
        found->second.traffic_->budget().apply(message.lease_, TimePoint(message.sentAt_));
}

} // namespace pimentostage
