#include "tests/fakes/FleetOracle.h"

#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <algorithm>

namespace pimentostage {

namespace {

// A change must be in force everywhere within this time.
constexpr Duration kMostSpread = std::chrono::seconds(6);

std::optional<Placement> placementIn(const StoredObject &object)
{
    return valueOr(
        [&]() -> leaf::result<std::optional<Placement>> {
            BOOST_LEAF_AUTO(placement, parsePlacement(object.ref_.name_, object.value_));
            return std::optional<Placement>(std::move(placement));
        },
        [](const Error &) { return std::optional<Placement>(); });
}

/// @return whether every assignment in @p known is kept, or replaced under a higher epoch.
bool survives(const Placement &known, const Placement &next)
{
    if (next.roleEpoch_ < known.roleEpoch_ || next.shards_.size() != known.shards_.size())
        return false;
    for (std::size_t i = 0; i < next.shards_.size(); ++i) {
        const bool isKept = next.shards_[i] == known.shards_[i];
        if (!isKept && next.shards_[i].epoch_ <= known.shards_[i].epoch_)
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

// While nobody can read the store nobody can learn of a change; all else is no excuse.
bool FleetOracle::isOverdue(Rule rule, const std::string &name, Duration now) const
{
    const auto found = withdrawnSince_.find({ rule, name });
    return found != withdrawnSince_.end()
           && now > std::max(found->second, storeFailedAt_) + kMostSpread;
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
        breakRule(Rule::ZoneOut);
    if (isOverdue(Rule::LeavingBackend, backend, now))
        breakRule(Rule::LeavingBackend);
    if (isOverdue(Rule::OnlyTheKeysTeam, team, now))
        breakRule(Rule::OnlyTheKeysTeam);
}

void FleetOracle::onExecuted(std::size_t request)
{
    RequestRecord &record = records_[request];
    ++record.executions_;
    if (record.toldNotRun_)
        breakRule(Rule::TrueNotRun);
    if (!record.idempotent_ && record.executions_ > 1)
        breakRule(Rule::AtMostOnce);
}

void FleetOracle::onToldNotRun(std::size_t request)
{
    RequestRecord &record = records_[request];
    record.toldNotRun_ = true;
    if (record.executions_ > 0)
        breakRule(Rule::TrueNotRun);
}

// The smallest bucket that would have allowed all that was spent.
void FleetOracle::onSpent(Duration now)
{
    const double kRounding = 1e-6;
    owed_ = std::max(0.0, owed_ - rate_ * toSeconds(now - spentAt_)) + 1;
    spentAt_ = now;
    if (owed_ > burst_ + kRounding)
        breakRule(Rule::RateAndBurst);
}

void FleetOracle::onWrite(const StoredObject &object)
{
    if (object.ref_.kind_ != ObjectKind::Placement)
        return;
    const auto next = placementIn(object);
    const Placement *known = placement(ServiceName(object.ref_.name_));
    if (!next || (known && !survives(*known, *next)))
        breakRule(Rule::AssignmentSurvives);
    if (next)
        placements_[ServiceName(object.ref_.name_)] = *next;
}

void FleetOracle::onInForce(Version before, Version version)
{
    if (version < before)
        breakRule(Rule::NeverReverts);
}

void FleetOracle::onOwners(std::size_t owners)
{
    if (owners > 1)
        breakRule(Rule::OneOwner);
}

std::size_t FleetOracle::broken(Rule rule) const
{
    const auto found = broken_.find(rule);
    return found == broken_.end() ? 0 : found->second;
}

std::string FleetOracle::brokenRules() const
{
    std::string rules;
    for (const auto &[rule, count] : broken_)
        rules += std::string(toString(rule)) + " x" + std::to_string(count) + ' ';
    return rules;
}

const Placement *FleetOracle::placement(const ServiceName &service) const
{
    const auto found = placements_.find(service);
    return found == placements_.end() ? nullptr : &found->second;
}

} // namespace pimentostage
