#include "pimentostage/backend/RolloutDecision.h"

#include <algorithm>

namespace pimentostage {

const std::array<RolloutDecision::Advance, kEnumCount<RolloutPhase>> RolloutDecision::kAdvance {
    &RolloutDecision::observe,
    &RolloutDecision::switchTraffic,
    &RolloutDecision::stay,
    &RolloutDecision::stay,
};

RolloutDecision::RolloutDecision(const RolloutOrder &order, const RolloutLimits &limits,
                                 TimePoint orderedAt)
    : order_(order)
    , limits_(limits)
    , orderedAt_(orderedAt)
    , comparison_(limits.backends_, orderedAt + limits.warmup_)
{
    verdict_.share_ = limits.maxShare_;
}

void RolloutDecision::resume(RolloutPhase phase, TimePoint now)
{
    verdict_.phase_ = phase;
    if (limits_.warmup_ > Duration::zero() && !isHealthy_)
        comparison_.compareLatencyFrom(std::max(orderedAt_ + limits_.warmup_, now + kTakeover));
    if (phase == RolloutPhase::Switching) {
        verdict_.reason_ = RolloutReason::Passed;
        switchingSince_ = now;
    } else if (phase == RolloutPhase::Complete) {
        verdict_ = { phase, 1, RolloutReason::Confirmed };
    } else if (phase == RolloutPhase::RolledBack) {
        verdict_ = { phase, 0, RolloutReason::Aborted };
    }
}

void RolloutDecision::onOutcomes(const HostName &host, const std::vector<RouteOutcomes> &outcomes,
                                 TimePoint)
{
    Host &entry = hosts_[host];
    for (const RouteOutcomes &route : outcomes)
        applyOutcomes(entry, route);
}

void RolloutDecision::applyOutcomes(Host &host, const RouteOutcomes &outcomes)
{
    auto known
        = std::find_if(host.outcomes_.begin(), host.outcomes_.end(),
                       [&](const RouteOutcomes &route) { return route.route_ == outcomes.route_; });
    if (known == host.outcomes_.end()) {
        host.outcomes_.push_back({ outcomes.route_, {}, {} });
        known = std::prev(host.outcomes_.end());
    }
    const RouteOutcomes before = *known;
    known->current_.raiseTo(outcomes.current_);
    known->target_.raiseTo(outcomes.target_);
    RouteOutcomes &total = totals_[outcomes.route_];
    total.route_ = outcomes.route_;
    total.current_ += known->current_.since(before.current_);
    total.target_ += known->target_.since(before.target_);
}

void RolloutDecision::onHostRestarted(const HostName &host)
{
    hosts_[host] = {};
}

void RolloutDecision::addSender(const HostName &host)
{
    hosts_[host].maySendToCurrent_ = true;
}

void RolloutDecision::onCurrentLeft(const HostName &host, std::size_t running)
{
    Host &entry = hosts_[host];
    entry.maySendToCurrent_ = false;
    entry.runningAtCurrent_ = running;
}

void RolloutDecision::judgeByHealth(bool isHealthy)
{
    isHealthy_ = isHealthy;
    comparison_.compareLatencyFrom(TimePoint::max());
    if (verdict_.phase_ == RolloutPhase::Observing)
        verdict_.share_ = 0;
    else if (verdict_.phase_ == RolloutPhase::Switching && !isHealthy)
        rollBack({ RolloutReason::Unhealthy });
}

void RolloutDecision::abort()
{
    if (verdict_.phase_ == RolloutPhase::Observing || verdict_.phase_ == RolloutPhase::Switching)
        rollBack({ RolloutReason::Aborted });
}

RolloutVerdict RolloutDecision::decide(TimePoint now)
{
    (this->*kAdvance.at(static_cast<std::size_t>(verdict_.phase_)))(now);
    return verdict_;
}

void RolloutDecision::observe(TimePoint now)
{
    if (const auto finding = comparison_.check(totals_, now)) {
        rollBack(*finding);
        return;
    }
    if (now < latestMoment()) {
        checkEarly(now);
        return;
    }
    if (!hasPassed_ || isHealthy_) {
        if (const auto finding = judge()) {
            rollBack(*finding);
            return;
        }
        hasPassed_ = true;
    }
    if (isSwitchingAllowed_)
        beginSwitching(now);
    else if (now >= orderedAt_ + order_.duration_)
        rollBack({ RolloutReason::NotSwitched });
}

void RolloutDecision::checkEarly(TimePoint now)
{
    if (!earlyCheckAt_) {
        std::uint64_t answered = 0;
        for (const auto &[name, route] : totals_)
            answered += route.target_.answered_;
        if (answered >= kBadAnswers)
            earlyCheckAt_ = now + std::max(Duration::zero(), limits_.rollback_ - kRollbackMargin);
    }
    if (earlyCheckAt_ && now >= *earlyCheckAt_ && !isEarlyChecked_
        && now <= latestMoment() - kMinEarliness) {
        isEarlyChecked_ = true;
        passesOverall(kEarlyPart);
    }
}

std::optional<RolloutFinding> RolloutDecision::judge() const
{
    if (isHealthy_ && !*isHealthy_)
        return RolloutFinding { RolloutReason::Unhealthy };
    if (isHealthy_)
        return std::nullopt;
    if (!RolloutComparison::hasEnough(totals_))
        return RolloutFinding { RolloutReason::TooFewRequests };
    const double part = isEarlyChecked_ ? kLatestMomentPart : kLatestMomentPart + kEarlyPart;
    return comparison_.checkOverall(totals_, part);
}

void RolloutDecision::beginSwitching(TimePoint now)
{
    comparison_.beginSwitch(totals_);
    verdict_ = { RolloutPhase::Switching, limits_.maxShare_, RolloutReason::Passed };
    switchTraffic(now);
}

void RolloutDecision::onRecorded(TimePoint now)
{
    if (verdict_.phase_ == RolloutPhase::Switching && !switchingSince_)
        switchingSince_ = now;
}

void RolloutDecision::switchTraffic(TimePoint now)
{
    if (const auto finding = comparison_.check(totals_, now)) {
        rollBack(*finding);
        return;
    }
    if (!switchingSince_) {
        if (now >= orderedAt_ + order_.duration_)
            rollBack({ RolloutReason::NotSwitched });
        return;
    }
    if (verdict_.share_ >= 1 && hasEveryHostLeft(now)) {
        if (!passesOverall(kCompletionPart))
            return;
        verdict_ = { RolloutPhase::Complete, 1, RolloutReason::Confirmed };
        return;
    }
    const std::int64_t steps = (now - *switchingSince_) / kStepPeriod + 1;
    if (steps == steps_ || verdict_.share_ >= 1)
        return;
    steps_ = steps;
    if (passesOverall(kStepPart))
        verdict_.share_ = std::min(1.0, verdict_.share_ + kMaxStep);
}

bool RolloutDecision::passesOverall(double part)
{
    const auto finding = comparison_.checkOverall(totals_, part);
    if (finding)
        rollBack(*finding);
    return !finding;
}

void RolloutDecision::stay(TimePoint) { }

void RolloutDecision::rollBack(const RolloutFinding &finding)
{
    verdict_ = { RolloutPhase::RolledBack, 0, finding.reason_, finding.route_ };
}

bool RolloutDecision::hasEveryHostLeft(TimePoint now) const
{
    const bool isWaiting = now < orderedAt_ + order_.duration_ - kCompletionMargin;
    return !hosts_.empty() && std::all_of(hosts_.begin(), hosts_.end(), [&](const auto &entry) {
        const Host &host = entry.second;
        return !host.maySendToCurrent_ && (host.runningAtCurrent_ == 0 || !isWaiting);
    });
}

TimePoint RolloutDecision::latestMoment() const
{
    const Duration beforeSwitch = std::max(Duration::zero(), order_.duration_ - kSwitchDuration);
    return orderedAt_
           + (isHealthy_ ? std::min(beforeSwitch, order_.duration_ / kHealthDivisor)
                         : beforeSwitch);
}

} // namespace pimentostage
