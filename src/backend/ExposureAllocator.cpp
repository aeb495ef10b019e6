#include "pimentostage/backend/ExposureAllocator.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

const std::array<ExposureAllocator::Grant, kEnumCount<RolloutPhase>> ExposureAllocator::kGrants {
    &ExposureAllocator::grantFromBudget,
    &ExposureAllocator::grantByShare,
    &ExposureAllocator::grantByShare,
    &ExposureAllocator::grantNothing,
};

ExposureAllocator::ExposureAllocator(const RolloutLimits &limits, Epoch epoch, bool isFirstHolder)
    : limits_(limits)
    , epoch_(epoch)
    , isFirstHolder_(isFirstHolder)
{
    verdict_.share_ = limits.maxShare_;
}

void ExposureAllocator::onVerdict(const RolloutVerdict &verdict, TimePoint now)
{
    if (!startedAt_)
        startedAt_ = now;
    if (verdict_.phase_ == RolloutPhase::Observing && verdict.phase_ == RolloutPhase::Switching) {
        // From here on the limit of a host follows its own requests.
        for (auto &[name, host] : hosts_)
            host.earned_ = static_cast<double>(host.limit_);
    }
    verdict_ = verdict;
}

std::optional<ExposureLease> ExposureAllocator::allocate(const HostName &host,
                                                         const ExposureUse &use, TimePoint now)
{
    if (use.epoch_ > epoch_)
        return std::nullopt;
    if (use.epoch_ < epoch_) {
        ExposureLease announcement;
        announcement.incarnation_ = use.incarnation_;
        announcement.epoch_ = epoch_;
        return announcement;
    }
    const auto known = hosts_.find(host);
    if (known != hosts_.end() && use.incarnation_ < known->second.incarnation_)
        return std::nullopt;
    if (known != hosts_.end() && use.incarnation_ > known->second.incarnation_)
        hosts_.erase(known);
    Host &entry = hostFor(host, use.used_, use.requests_, now);
    entry.incarnation_ = use.incarnation_;
    entry.hasLease_ = entry.hasLease_ || use.sequence_ > 0;
    return allocate(host, use.used_, use.requests_, now);
}

ExposureLease ExposureAllocator::allocate(const HostName &host, std::uint64_t used,
                                          std::uint64_t requests, TimePoint now)
{
    if (!startedAt_)
        startedAt_ = now;
    Host &entry = hostFor(host, used, requests, now);
    entry.used_ = std::max(entry.used_, used);
    countRequests(entry, requests, now);
    return leaseFor(entry, now);
}

ExposureAllocator::Host &ExposureAllocator::hostFor(const HostName &name, std::uint64_t used,
                                                    std::uint64_t requests, TimePoint now)
{
    const auto [entry, isNew] = hosts_.try_emplace(name);
    Host &host = entry->second;
    if (isNew) {
        host.used_ = used;
        host.limit_ = used;
        host.earned_ = static_cast<double>(used);
        host.reportedAt_ = now;
        // An earlier holder may have lent for the requests so far.
        host.requests_ = isFirstHolder_ ? 0 : requests;
    }
    return host;
}

void ExposureAllocator::countRequests(Host &host, std::uint64_t requests, TimePoint now)
{
    if (requests <= host.requests_)
        return;
    const std::uint64_t added = requests - host.requests_;
    host.requests_ = requests;
    newRequests_ += added;
    host.earned_ += verdict_.share_ * static_cast<double>(added);
    const double seconds = toSeconds(now - host.reportedAt_);
    host.reportedAt_ = now;
    if (seconds > 0)
        host.perSecond_ += kRateWeight * (static_cast<double>(added) / seconds - host.perSecond_);
}

double ExposureAllocator::allowance(TimePoint now) const
{
    const Duration elapsed = now - *startedAt_;
    double allowed = limits_.maxShare_ * static_cast<double>(newRequests_);
    if (isFirstHolder_) {
        const double part = std::min(1.0, toSeconds(elapsed) / toSeconds(kExtraPeriod));
        allowed += kExtraLent * static_cast<double>(limits_.maxExtra_) * part;
    }
    if (limits_.startPerS_ > 0 && elapsed < limits_.warmup_)
        allowed = std::min(allowed, limits_.startPerS_ * toSeconds(elapsed));
    return allowed;
}

double ExposureAllocator::headroom(const Host &host) const
{
    return std::ceil(verdict_.share_ * host.perSecond_ * toSeconds(kHeadroom));
}

std::uint64_t ExposureAllocator::grantFromBudget(const Host &host, TimePoint now) const
{
    const auto allowed = static_cast<std::uint64_t>(allowance(now));
    if (allowed <= lent_)
        return 0;
    const auto wanted = static_cast<std::uint64_t>(headroom(host));
    const std::uint64_t unused = host.limit_ - std::min(host.used_, host.limit_);
    return unused < wanted ? std::min(wanted - unused, allowed - lent_) : 0;
}

std::uint64_t ExposureAllocator::grantByShare(const Host &host, TimePoint) const
{
    const auto limit = static_cast<std::uint64_t>(host.earned_ + headroom(host));
    return limit > host.limit_ ? limit - host.limit_ : 0;
}

std::uint64_t ExposureAllocator::grantNothing(const Host &, TimePoint) const
{
    return 0;
}

std::optional<ExposureLease> ExposureAllocator::revoke(const HostName &host)
{
    const auto entry = hosts_.find(host);
    if (entry == hosts_.end())
        return std::nullopt;
    ExposureLease lease;
    lease.incarnation_ = entry->second.incarnation_;
    lease.epoch_ = epoch_;
    lease.sequence_ = ++sequence_;
    lease.currentFor_ = kCurrentLease;
    return lease;
}

ExposureLease ExposureAllocator::leaseFor(Host &host, TimePoint now)
{
    const Grant grant = kGrants.at(static_cast<std::size_t>(verdict_.phase_));
    const std::uint64_t granted = (this->*grant)(host, now);
    host.limit_ += granted;
    lent_ += granted;

    ExposureLease lease;
    lease.incarnation_ = host.incarnation_;
    lease.epoch_ = epoch_;
    lease.sequence_ = ++sequence_;
    lease.currentFor_ = kCurrentLease;
    if (verdict_.phase_ == RolloutPhase::RolledBack)
        return lease;
    lease.isCurrentAllowed_ = verdict_.share_ < 1;
    if (lease.isCurrentAllowed_) {
        host.currentUntil_ = now + kClockDrift.stretched(kCurrentLease);
        lease.limit_ = host.limit_;
        lease.targetFor_ = kExposureLease;
    } else {
        // The host has no other version left, so that the lease lasts while a new holder is
        // elected.
        lease.limit_ = ExposureLease::kUnlimited;
        lease.targetFor_ = std::min(kCurrentLease, limits_.rollback_ / 2);
    }
    return lease;
}

bool ExposureAllocator::hasCurrentLeaseExpired(const HostName &host, TimePoint now) const
{
    const auto entry = hosts_.find(host);
    return entry != hosts_.end() && entry->second.hasLease_ && now >= entry->second.currentUntil_;
}

} // namespace pimentostage
