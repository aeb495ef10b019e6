#include "pimentostage/caller/ServedShares.h"

namespace pimentostage {

namespace {

constexpr double kRateSeconds = 10;
// Teams that ask for less than this, in cost a second, say nothing about service.
constexpr double kLeastAsked = 0.1;

} // namespace

ServedShares::Team::Team()
    : asked_(kRateSeconds)
    , answered_(kRateSeconds)
{ }

void ServedShares::onEnd(const TeamName &team, double cost, bool isAnswered, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    Team &counts = teams_[team];
    counts.asked_.add(cost, now);
    if (isAnswered)
        counts.answered_.add(cost, now);
}

std::optional<ServedShares::Worst> ServedShares::worst(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    std::optional<Worst> worst;
    for (const auto &[name, team] : teams_) {
        const double asked = team.asked_.at(now);
        if (asked < kLeastAsked)
            continue;
        const double share = team.answered_.at(now) / asked;
        if (!worst || share < worst->share_)
            worst = Worst { name, share };
    }
    return worst;
}

} // namespace pimentostage
