#include "src/daemon/RolloutControl.h"

#include "pimentostage/platform/CoordinationCodec.h"
#include "src/daemon/RolloutHost.h"

#include <algorithm>
#include <utility>

namespace pimentostage {

namespace {

// A write of the state or of the status that failed is repeated after this time.
constexpr Duration kRetryPeriod = std::chrono::milliseconds(500);
// While a roll-out is observed, the store is read once in this time.
constexpr Duration kStoreCheckPeriod = std::chrono::seconds(1);
// Switching is not begun if the store has not replied for this long: two checks in a row failed.
constexpr Duration kMaxStoreSilence = 2 * kStoreCheckPeriod + std::chrono::milliseconds(500);
// A message on its way when the last lease was given.
constexpr Duration kMessageDelay = std::chrono::milliseconds(250);

ObjectRef refOf(const ServiceName &service)
{
    return ObjectRef { ObjectKind::RolloutState, service.str() };
}

/// @param share of the traffic that the target had.
/// @return the time after a roll-back until the last leases for the target have run out.
Duration leaseEnd(double share)
{
    return kMessageDelay + (share < 1 ? kExposureLease : kCurrentLease);
}

} // namespace

RolloutControl::RolloutControl(const RolloutLimits &limits, ObjectStore &store,
                               SiblingSender &hosts, Clock clock, Holds holds, VersionOf versionOf,
                               LogSink &log, MetricRegistry &metrics, OnOwnWrite onOwnWrite)
    : limits_(limits)
    , store_(store)
    , hosts_(hosts)
    , clock_(std::move(clock))
    , holds_(std::move(holds))
    , versionOf_(std::move(versionOf))
    , log_(log)
    , onOwnWrite_(std::move(onOwnWrite))
    , reports_(metrics.counter("pimento_rollout_reports_total",
                               "Reports of outcomes received as holder of the roll-outs."))
    , leases_(metrics.counter("pimento_rollout_leases_total",
                              "Leases of exposure given as holder of the roll-outs."))
    , completed_(metrics.counter("pimento_rollouts_completed_total",
                                 "Roll-outs that this host completed as their holder."))
    , rolledBack_(metrics.counter("pimento_rollouts_rolled_back_total",
                                  "Roll-outs that this host rolled back as their holder."))
{ }

void RolloutControl::onConfig(const std::shared_ptr<const Configuration> &configuration,
                              const ServiceVersions &versions, TimePoint now)
{
    if (limits_.maxShare_ <= 0)
        return;
    orders_.update(configuration, versions, now);
    for (auto &[service, running] : running_)
        updateBackends(service, running);
}

std::set<RoleName> RolloutControl::roles() const
{
    return orders_.openServices().empty() ? std::set<RoleName> {}
                                          : std::set<RoleName> { kRolloutRole };
}

void RolloutControl::onRoleGained(const RoleName &role, Epoch epoch)
{
    if (role != kRolloutRole)
        return;
    epoch_ = epoch;
    running_.clear();
}

void RolloutControl::onRoleLost(const RoleName &role)
{
    if (role != kRolloutRole)
        return;
    epoch_.reset();
    running_.clear();
}

bool RolloutControl::mayAct(TimePoint now) const
{
    return epoch_ && holds_(kRolloutRole, now);
}

RolloutControl::Running *RolloutControl::find(const ServiceName &service, Epoch epoch)
{
    const auto found = running_.find(service);
    return epoch_ == epoch && found != running_.end() ? &found->second : nullptr;
}

void RolloutControl::tick(TimePoint now)
{
    if (!mayAct(now))
        return;
    std::erase_if(running_, [&](const auto &entry) {
        const Running &running = entry.second;
        const bool hasEnded = running.state_.isReported_ && running.isRecorded_;
        return !running.isWriting_ && (hasEnded || !orders_.isOpen(entry.first));
    });
    for (const ServiceName &service : orders_.openServices()) {
        // A reply that arrives at once may end the role or a roll-out.
        if (!mayAct(now) || !orders_.isOpen(service))
            continue;
        if (!running_.contains(service))
            adopt(service, now);
        const auto found = running_.find(service);
        if (found != running_.end())
            advance(service, found->second, now);
    }
}

// A roll-out that a former holder began is continued, or its end is reported; else the order is
// begun.
void RolloutControl::adopt(const ServiceName &service, TimePoint now)
{
    const RolloutState *state = orders_.openState(service);
    if (!state) {
        begin(service, *orders_.find(service), now);
        return;
    }
    Running &running = running_[service];
    running.state_ = *state;
    running.version_ = versionOf_(refOf(service));
    running.isRecorded_ = true;
    running.verdict_.phase_ = state->phase_;
    running.verdict_.share_ = state->share_;
    if (state->isEnded())
        running.reportFrom_ = now + leaseEnd(1); // its share before the end is not recorded
    else
        makeDecision(service, running, false, now);
    log_.write(LogLine(Severity::Info, "rollout-continued")
                   .add("service", service.str())
                   .add("target", state->rollout_.order_.target_)
                   .add("phase", toString(state->phase_))
                   .add("epoch", epoch_->value_)
                   .add("former_epoch", state->roleEpoch_.value_));
}

void RolloutControl::begin(const ServiceName &service, const Rollout &order, TimePoint now)
{
    Running &running = running_[service];
    running.state_.rollout_ = order;
    running.state_.orderedAt_ = versionOf_({ ObjectKind::Rollout, service.str() });
    running.state_.current_ = orders_.versionInForce(service);
    running.version_ = orders_.state(service) ? versionOf_(refOf(service)) : Version {};
    // The target may be in force already, after a restart with an empty store.
    if (order.order_.target_ == running.state_.current_) {
        running.state_.phase_ = RolloutPhase::Complete;
        running.verdict_.phase_ = RolloutPhase::Complete;
    } else {
        makeDecision(service, running, true, now);
    }
    log_.write(LogLine(Severity::Info, "rollout-begun")
                   .add("service", service.str())
                   .add("current", running.state_.current_)
                   .add("target", order.order_.target_)
                   .add("duration_ms", toMilliseconds(order.order_.duration_))
                   .add("epoch", epoch_->value_));
}

void RolloutControl::makeDecision(const ServiceName &service, Running &running, bool isFirstHolder,
                                  TimePoint now)
{
    const RolloutOrder &order = running.state_.rollout_.order_;
    RolloutLimits limits = limits_;
    const Configuration &configuration = orders_.configuration();
    const auto object = configuration.services_.find(service);
    // Back ends of the target may register after the order.
    if (object != configuration.services_.end()) {
        limits.startPerS_
            = object->second.coldRate_ * std::max(1U, countBackends(service, order.target_));
        limits.warmup_ = object->second.coldTime_;
    }
    // A host that was started after the order knows its age from the state only.
    const TimePoint orderedAt
        = std::min(orders_.orderedAt(service, now), now - running.state_.elapsed_);
    running.storeCheckedAt_ = now;
    running.nextStoreCheck_ = now + kStoreCheckPeriod;
    if (object != configuration.services_.end() && object->second.keyed_) {
        running.keyed_ = std::make_unique<KeyedRollout>(order, orderedAt);
        if (!isFirstHolder)
            running.keyed_->resume(running.state_.phase_, running.state_.share_, now);
        return;
    }
    running.decision_ = std::make_unique<RolloutDecision>(order, limits, orderedAt);
    running.allocator_ = std::make_unique<ExposureAllocator>(limits, *epoch_, isFirstHolder);
    if (!isFirstHolder)
        running.decision_->resume(running.state_.phase_, now);
    running.allocator_->onVerdict(running.verdict_, now);
    updateBackends(service, running);
}

std::uint32_t RolloutControl::countBackends(const ServiceName &service,
                                            const std::string &version) const
{
    const auto &backends = orders_.configuration().backends_;
    return static_cast<std::uint32_t>(
        std::count_if(backends.begin(), backends.end(), [&](const auto &entry) {
            return entry.second.service_ == service && entry.second.version_ == version;
        }));
}

void RolloutControl::updateBackends(const ServiceName &service, Running &running) const
{
    if (!running.decision_)
        return;
    const std::uint32_t current = countBackends(service, running.state_.current_);
    const std::uint32_t target = countBackends(service, running.state_.rollout_.order_.target_);
    const std::uint32_t backends = std::max(1U, std::min(current, target));
    if (backends == std::exchange(running.backends_, backends))
        return;
    running.decision_->setBackends(backends);
    log_.write(LogLine(Severity::Info, "rollout-back-ends")
                   .add("service", service.str())
                   .add("current", std::uint64_t { current })
                   .add("target", std::uint64_t { target })
                   .add("back_ends", std::uint64_t { backends }));
}

RolloutVerdict RolloutControl::verdictFor(const ServiceName &service, Running &running,
                                          TimePoint now) const
{
    const Rollout *order = orders_.find(service);
    const bool isWanted = order && order->isSameOrder(running.state_.rollout_);
    const bool isStoreUp = now < running.storeCheckedAt_ + kMaxStoreSilence;
    if (running.keyed_) {
        if (!isWanted)
            running.keyed_->abort();
        running.keyed_->allowSwitching(isStoreUp);
        return running.keyed_->decide(
            keyedProgress(orders_.configuration(), running.state_.rollout_.order_), now);
    }
    if (!isWanted)
        running.decision_->abort();
    running.decision_->allowSwitching(isStoreUp);
    return running.decision_->decide(now);
}

void RolloutControl::advance(const ServiceName &service, Running &running, TimePoint now)
{
    if ((running.decision_ || running.keyed_) && !running.state_.isEnded()) {
        checkStore(service, running, now);
        if (running.decision_)
            updateHosts(running, now);
        decide(service, running, now);
    }
    if (!running.isRecorded_)
        write(service, running, now);
    else
        reportStatus(service, running, now);
}

// Complete waits for each host in the view. One that is not in the view any more may have failed;
// it counts as long as it may still act on a lease.
void RolloutControl::updateHosts(Running &running, TimePoint now)
{
    for (const HostName &host : runningHosts_) {
        const auto [record, isNew] = running.hosts_.try_emplace(host);
        record->second.seenAt_ = now;
        if (isNew)
            running.decision_->addSender(host);
    }
    for (const auto &[host, record] : running.hosts_) {
        const bool isGone = now >= record.seenAt_ + kClockDrift.stretched(kCurrentLease);
        if (isGone || running.allocator_->hasCurrentLeaseExpired(host, now))
            running.decision_->onCurrentLeft(host);
    }
}

void RolloutControl::decide(const ServiceName &service, Running &running, TimePoint now)
{
    const RolloutVerdict verdict = verdictFor(service, running, now);
    if (verdict != running.verdict_)
        applyVerdict(service, running, verdict, now);
}

void RolloutControl::applyVerdict(const ServiceName &service, Running &running,
                                  const RolloutVerdict &verdict, TimePoint now)
{
    const bool isNewPhase = verdict.phase_ != running.verdict_.phase_;
    const double formerShare = std::exchange(running.verdict_, verdict).share_;
    const bool isRollBack = verdict.phase_ == RolloutPhase::RolledBack;
    const bool isInForce = running.isRecorded_ && verdict.phase_ == running.state_.phase_;
    if (running.allocator_ && (isRollBack || isInForce))
        running.allocator_->onVerdict(verdict, now);
    // The coordinator of a keyed service reads from the state how many keys are to move.
    if (!isNewPhase && !running.keyed_)
        return;
    if (isRollBack) {
        running.reportFrom_ = now + leaseEnd(formerShare);
        revokeLeases(service, running);
    }
    running.state_.phase_ = verdict.phase_;
    running.state_.share_ = verdict.share_;
    running.isRecorded_ = false;
    logPhase(service, running);
}

// A lost message does no harm: the reply to the host's next report revokes its lease too.
void RolloutControl::revokeLeases(const ServiceName &service, Running &running)
{
    if (!running.allocator_)
        return;
    const std::string &target = running.state_.rollout_.order_.target_;
    for (const auto &[host, record] : running.hosts_) {
        if (const auto lease = running.allocator_->revoke(host))
            hosts_.send(host, ExposureLeases { service, target, record.reportSentAt_, *lease });
    }
}

void RolloutControl::logPhase(const ServiceName &service, const Running &running) const
{
    const RolloutVerdict &verdict = running.verdict_;
    const bool isRollBack = verdict.phase_ == RolloutPhase::RolledBack;
    log_.write(LogLine(isRollBack ? Severity::Warning : Severity::Info, "rollout-phase")
                   .add("service", service.str())
                   .add("target", running.state_.rollout_.order_.target_)
                   .add("phase", toString(verdict.phase_))
                   .add("reason", toString(verdict.reason_))
                   .add("route", verdict.route_.str())
                   .add("share", verdict.share_)
                   .add("lent", running.allocator_ ? running.allocator_->lent() : 0)
                   .add("epoch", epoch_->value_));
}

void RolloutControl::write(const ServiceName &service, Running &running, TimePoint now)
{
    if (running.isWriting_ || now < running.retryAt_)
        return;
    running.isWriting_ = true;
    running.retryAt_ = now + kRetryPeriod;
    running.state_.roleEpoch_ = *epoch_;
    running.state_.elapsed_
        = std::max(running.state_.elapsed_, now - orders_.orderedAt(service, now));
    store_.put(refOf(service), formatRolloutState(running.state_), running.version_,
               [this, service, written = running.state_](const Reply<WriteResult> &reply) {
                   onWriteReply(service, written, reply);
               });
}

void RolloutControl::onWriteReply(const ServiceName &service, const RolloutState &written,
                                  const Reply<WriteResult> &reply)
{
    const TimePoint now = clock_();
    const auto *result = std::get_if<WriteResult>(&reply);
    Running *running = find(service, written.roleEpoch_);
    if (running) {
        running->isWriting_ = false;
        if (result)
            running->storeCheckedAt_ = now;
    }
    if (result && result->written_) {
        if (running) {
            running->version_ = result->version_;
            // The verdict may have changed since the write was sent.
            running->isRecorded_ = running->state_.phase_ == written.phase_
                                   && running->state_.share_ == written.share_
                                   && running->state_.isReported_ == written.isReported_;
            if (running->isRecorded_ && running->decision_) {
                running->decision_->onRecorded(now);
                running->allocator_->onVerdict(running->verdict_, now);
            }
            running->retryAt_ = now;
        }
        onOwnWrite_(
            StoredObject { refOf(service), result->version_, false, formatRolloutState(written) });
        return;
    }
    if (!result) {
        log_.write(LogLine(Severity::Warning, "rollout-not-recorded")
                       .add("service", service.str())
                       .add("phase", toString(written.phase_))
                       .add("error", std::get<Error>(reply).describe()));
    } else if (running && result->current_) {
        onConflict(service, *running, *result->current_);
    }
}

// An own write whose reply was lost, or the write of a former holder that was on its way when this
// host took over. A later holder's write shows that this host has lost the role.
void RolloutControl::onConflict(const ServiceName &service, Running &running,
                                const StoredObject &current)
{
    const bool exists = !current.deleted_;
    running.version_ = exists ? current.version_ : Version {};
    running.retryAt_ = clock_();
    log_.write(LogLine(Severity::Info, "rollout-conflict")
                   .add("service", service.str())
                   .add("version", running.version_.value_));
    if (!exists)
        return;
    const bool isOwn = valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(state, parseRolloutState(current.ref_.name_, current.value_));
            return state.roleEpoch_ == *epoch_;
        },
        [&](const Error &error) {
            log_.write(LogLine(Severity::Warning, "rollout-state-unreadable")
                           .add("service", service.str())
                           .add("version", current.version_.value_)
                           .add("error", error.describe()));
            return true; // it is overwritten
        });
    // What another holder wrote is read anew before anything else is done.
    if (!isOwn)
        running_.erase(service);
    onOwnWrite_(current);
}

void RolloutControl::checkStore(const ServiceName &service, Running &running, TimePoint now)
{
    if (now < running.nextStoreCheck_ || running.state_.phase_ != RolloutPhase::Observing)
        return;
    running.nextStoreCheck_ = now + kStoreCheckPeriod;
    store_.get(refOf(service), [this, service, epoch = *epoch_](const Reply<StoredObject> &reply) {
        Running *checked = find(service, epoch);
        if (checked && std::holds_alternative<StoredObject>(reply))
            checked->storeCheckedAt_ = clock_();
    });
}

void RolloutControl::reportStatus(const ServiceName &service, Running &running, TimePoint now)
{
    const RolloutStatus status = statusOf(running.state_.phase_);
    const bool isDue = running.reported_ != status && !running.isReporting_
                       && !running.state_.isReported_ && now >= running.reportFrom_;
    if (!isDue)
        return;
    const Rollout rollout = running.state_.rollout_;
    // The operators deleted the order, so there is nothing that could hold its status.
    if (!orders_.find(service)) {
        onStatusReply(service, rollout, status, true);
        return;
    }
    running.isReporting_ = true;
    running.reportFrom_ = now + kRetryPeriod;
    store_.putRolloutStatus(
        service, status, rollout.order_.target_,
        [this, service, rollout, status, epoch = *epoch_](const Reply<WriteResult> &reply) {
            if (!find(service, epoch))
                return;
            const auto *error = std::get_if<Error>(&reply);
            if (error) {
                log_.write(LogLine(Severity::Warning, "rollout-not-reported")
                               .add("service", service.str())
                               .add("status", toString(status))
                               .add("error", error->describe()));
            }
            onStatusReply(service, rollout, status, !error);
        });
}

void RolloutControl::onStatusReply(const ServiceName &service, const Rollout &rollout,
                                   RolloutStatus status, bool isWritten)
{
    const auto found = running_.find(service);
    if (found == running_.end() || !found->second.state_.rollout_.isSameOrder(rollout))
        return;
    Running &running = found->second;
    running.isReporting_ = false;
    if (!isWritten)
        return;
    running.reported_ = status;
    log_.write(LogLine(Severity::Info, "rollout-reported")
                   .add("service", service.str())
                   .add("target", rollout.order_.target_)
                   .add("status", toString(status)));
    if (status == RolloutStatus::Running)
        return;
    (status == RolloutStatus::Complete ? completed_ : rolledBack_).add();
    running.state_.isReported_ = true;
    running.isRecorded_ = false;
}

void RolloutControl::onMessage(const HostName &from, const VersionOutcomeReport &report,
                               TimePoint now)
{
    if (!mayAct(now))
        return;
    const auto found = running_.find(report.service_);
    const bool isCurrent = found != running_.end() && found->second.decision_
                           && found->second.state_.rollout_.order_.target_ == report.target_;
    if (!isCurrent)
        return;
    Running &running = found->second;
    HostRecord &record = running.hosts_[from];
    if (report.use_.incarnation_ < record.incarnation_)
        return;
    reports_.add();
    const bool isRestarted
        = record.incarnation_ != Incarnation {} && report.use_.incarnation_ > record.incarnation_;
    if (isRestarted)
        running.decision_->onHostRestarted(from);
    running.decision_->onOutcomes(from, report.routes_, now);
    if (report.use_.epoch_ == *epoch_ && report.use_.hasLeftCurrent_)
        running.decision_->onCurrentLeft(from);
    else
        running.decision_->addSender(from);
    if (!running.state_.isEnded())
        decide(report.service_, running, now);
    const auto lease = running.allocator_->allocate(from, report.use_, now);
    if (!lease)
        return;
    // A new holder repeats the steps, so that a host which has left may use that version again.
    if (lease->isCurrentAllowed_)
        running.decision_->addSender(from);
    record.incarnation_ = report.use_.incarnation_;
    record.seenAt_ = now;
    record.reportSentAt_ = report.sentAt_;
    leases_.add();
    hosts_.send(from, ExposureLeases { report.service_, report.target_, report.sentAt_, *lease });
}

} // namespace pimentostage
