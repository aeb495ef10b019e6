#include "src/daemon/RolloutOrders.h"

#include <algorithm>

namespace pimentostage {

namespace {

// Time from the write of an order until this host sees it: one watch of a reader and the hops to
// the other hosts. The duration of a roll-out counts from the write.
constexpr Duration kOrderDelay = std::chrono::milliseconds(300);

} // namespace

RolloutOrders::RolloutOrders()
    : configuration_(std::make_shared<const Configuration>())
{ }

void RolloutOrders::update(const std::shared_ptr<const Configuration> &configuration,
                           const ServiceVersions &versions, TimePoint now)
{
    configuration_ = configuration;
    versionsInForce_.clear();
    for (const auto &[service, allowed] : versions.services())
        versionsInForce_[service] = allowed.inForce_;
    for (const auto &[service, order] : configuration->rollouts_) {
        const auto seen = seen_.find(service);
        if (seen == seen_.end() || !seen->second.rollout_.isSameOrder(order))
            seen_.insert_or_assign(service, SeenOrder { order, now });
    }
    trackDeletions();
}

// An order that equals the former one is a new order only if that one was deleted in between.
void RolloutOrders::trackDeletions()
{
    std::erase_if(seen_, [&](const auto &entry) {
        const bool isDeleted = !find(entry.first);
        if (isDeleted)
            deleted_.insert(entry.first);
        return isDeleted;
    });
    std::erase_if(deleted_, [&](const ServiceName &service) {
        const RolloutState *last = state(service);
        if (find(service) && last)
            renewed_[service] = last->orderedAt_;
        return find(service) != nullptr;
    });
}

const Rollout *RolloutOrders::find(const ServiceName &service) const
{
    const auto order = configuration_->rollouts_.find(service);
    return order == configuration_->rollouts_.end() ? nullptr : &order->second;
}

const RolloutState *RolloutOrders::state(const ServiceName &service) const
{
    const auto state = configuration_->rolloutStates_.find(service);
    return state == configuration_->rolloutStates_.end() ? nullptr : &state->second;
}

const RolloutState *RolloutOrders::openState(const ServiceName &service) const
{
    const RolloutState *last = state(service);
    return last && !(last->isEnded() && last->isReported_) ? last : nullptr;
}

bool RolloutOrders::isOpen(const ServiceName &service) const
{
    if (openState(service))
        return true;
    const Rollout *order = find(service);
    const RolloutState *last = state(service);
    if (!order || !last || !last->rollout_.isSameOrder(*order))
        return order != nullptr;
    const auto renewed = renewed_.find(service);
    return renewed != renewed_.end() && renewed->second == last->orderedAt_;
}

std::set<ServiceName> RolloutOrders::openServices() const
{
    std::set<ServiceName> services;
    const auto addIfOpen = [&](const auto &entry) {
        if (isOpen(entry.first))
            services.insert(entry.first);
    };
    std::for_each(configuration_->rollouts_.begin(), configuration_->rollouts_.end(), addIfOpen);
    std::for_each(configuration_->rolloutStates_.begin(), configuration_->rolloutStates_.end(),
                  addIfOpen);
    return services;
}

std::string RolloutOrders::versionInForce(const ServiceName &service) const
{
    const auto version = versionsInForce_.find(service);
    return version == versionsInForce_.end() ? "" : version->second;
}

TimePoint RolloutOrders::orderedAt(const ServiceName &service, TimePoint now) const
{
    const auto seen = seen_.find(service);
    return (seen == seen_.end() ? now : seen->second.seenAt_) - kOrderDelay;
}

} // namespace pimentostage
