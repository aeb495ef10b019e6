#include "tests/fakes/FleetOracle.h"

#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A change must be in force on all hosts within this time.
constexpr Duration kPropagationTimeout = std::chrono::seconds(6);

std::optional<Placement> placementIn(const StoredObject &object)
{
    return valueOr(
        [&]() -> leaf::result<std::optional<Placement>> {
            BOOST_LEAF_AUTO(placement, parsePlacement(object.ref_.name_, object.value_));
            return std::optional<Placement>(std::move(placement));
        },
        [](const Error &) { return std::optional<Placement>(); });
}

/// @return whether every assignment in @p previous is kept or replaced under a higher epoch.
bool keepsAssignments(const Placement &previous, const Placement &next)
{
    if (next.roleEpoch_ < previous.roleEpoch_ || next.shards_.size() != previous.shards_.size())
        return false;
    for (std::size_t i = 0; i < next.shards_.size(); ++i) {
        const bool isKept = next.shards_[i] == previous.shards_[i];
        if (!isKept && next.shards_[i].epoch_ <= previous.shards_[i].epoch_)
            return false;
    }
    return true;
}

} // namespace

void FleetOracle::onWithdrawn(Rule rule, const std::string &name, bool isWithdrawn, Duration now)
{
    if (isWithdrawn)
        withdrawnSince_.try_emplace({ rule, name }, now);
    else
        withdrawnSince_.erase({ rule, name });
}

// Only a time in which no host can read the store extends the deadline for a change.
bool FleetOracle::isOverdue(Rule rule, const std::string &name, Duration now) const
{
    const auto found = withdrawnSince_.find({ rule, name });
    return found != withdrawnSince_.end()
           && now > std::max(found->second, storeFailedAt_) + kPropagationTimeout;
}

std::size_t FleetOracle::onRequest(bool idempotent)
{
    records_.push_back(RequestRecord { idempotent, 0, false });
    return records_.size() - 1;
}

void FleetOracle::onBegin(const std::string &zone, const std::string &backend,
                          const std::string &team, Duration now)
{
    if (isOverdue(Rule::ZoneOut, zone, now))
        recordViolation(Rule::ZoneOut);
    if (isOverdue(Rule::LeavingBackend, backend, now))
        recordViolation(Rule::LeavingBackend);
    if (isOverdue(Rule::OnlyTheKeysTeam, team, now))
        recordViolation(Rule::OnlyTheKeysTeam);
}

void FleetOracle::onExecuted(std::size_t request)
{
    RequestRecord &record = records_[request];
    ++record.executions_;
    if (record.reportedNotRun_)
        recordViolation(Rule::TrueNotRun);
    if (!record.idempotent_ && record.executions_ > 1)
        recordViolation(Rule::AtMostOnce);
}

void FleetOracle::onReportedNotRun(std::size_t request)
{
    RequestRecord &record = records_[request];
    record.reportedNotRun_ = true;
    if (record.executions_ > 0)
        recordViolation(Rule::TrueNotRun);
}

// Computes the level of a bucket that all spent tokens fill and that drains at the rate: a level
// above the burst is a violation.
void FleetOracle::onSpent(Duration now)
{
    const double kRounding = 1e-6;
    bucketLevel_ = std::max(0.0, bucketLevel_ - rate_ * toSeconds(now - spentAt_)) + 1;
    spentAt_ = now;
    if (bucketLevel_ > burst_ + kRounding)
        recordViolation(Rule::RateAndBurst);
}

void FleetOracle::onWrite(const StoredObject &object)
{
    if (object.ref_.kind_ != ObjectKind::Placement)
        return;
    const auto next = placementIn(object);
    const Placement *previous = placement(ServiceName(object.ref_.name_));
    if (!next || (previous && !keepsAssignments(*previous, *next)))
        recordViolation(Rule::AssignmentSurvives);
    if (next)
        placements_[ServiceName(object.ref_.name_)] = *next;
}

void FleetOracle::onVersionApplied(Version before, Version version)
{
    if (version < before)
        recordViolation(Rule::NeverReverts);
}

void FleetOracle::onOwners(std::size_t owners)
{
    if (owners > 1)
        recordViolation(Rule::OneOwner);
}

std::size_t FleetOracle::violations(Rule rule) const
{
    const auto found = violationCounts_.find(rule);
    return found == violationCounts_.end() ? 0 : found->second;
}

std::string FleetOracle::violationSummary() const
{
    std::string rules;
    for (const auto &[rule, count] : violationCounts_)
        rules += std::string(toString(rule)) + " x" + std::to_string(count) + ' ';
    return rules;
}

const Placement *FleetOracle::placement(const ServiceName &service) const
{
    const auto found = placements_.find(service);
    return found == placements_.end() ? nullptr : &found->second;
}

} // namespace pimentostage
