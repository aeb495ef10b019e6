#include "pimentostage/backend/ServerLease.h"

#include "pimentostage/base/Hash.h"

#include <algorithm>

namespace pimentostage {

std::uint64_t digestOf(const GrantedUnits &units)
{
    std::uint64_t digest = units.size();
    for (const auto &[unit, epoch] : units)
        digest = hash64(unit.str(), digest ^ epoch.value_);
    return digest;
}

GrantReply ServerLease::apply(const Grant &grant, TimePoint now)
{
    GrantReply reply;
    reply.result_ = check(grant, now);
    if (reply.result_ == GrantResult::Accepted) {
        term_ += now >= expiresAt_ ? 1 : 0;
        const bool isNewerCoordinator = grant.roleEpoch_ > roleEpoch_;
        roleEpoch_ = grant.roleEpoch_;
        sequence_ = grant.sequence_;
        if (grant.units_) {
            units_ = *grant.units_;
            digest_ = grant.unitsDigest_;
        }
        const TimePoint until = TimePoint(grant.stamp_.at_) + grant.lease_;
        expiresAt_ = isNewerCoordinator ? until : std::max(expiresAt_, until);
    }
    reply.stamp_ = ServerStamp { incarnation_, now.time_since_epoch() };
    reply.roleEpoch_ = roleEpoch_;
    reply.sequence_ = sequence_;
    reply.unitsDigest_ = digest_;
    return reply;
}

GrantResult ServerLease::check(const Grant &grant, TimePoint now) const
{
    if (grant.roleEpoch_ < roleEpoch_)
        return GrantResult::StaleRole;
    const bool isSameCoordinator = grant.roleEpoch_ == roleEpoch_;
    if (isSameCoordinator && grant.sequence_ <= sequence_)
        return GrantResult::StaleSequence;
    const bool isOwnStamp
        = grant.stamp_.incarnation_ == incarnation_ && TimePoint(grant.stamp_.at_) <= now;
    if (!isOwnStamp)
        return GrantResult::UnknownStamp;
    if (!grant.units_ && grant.unitsDigest_ != digest_)
        return GrantResult::UnknownUnits;
    return GrantResult::Accepted;
}

bool ServerLease::covers(const UnitName &unit, Epoch epoch, TimePoint now) const
{
    if (now >= expiresAt_)
        return false;
    const auto found = units_.find(unit);
    return found != units_.end() && found->second == epoch;
}

} // namespace pimentostage
