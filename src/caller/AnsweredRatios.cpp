#include "pimentostage/caller/AnsweredRatios.h"

namespace pimentostage {

namespace {

constexpr double kRateTimeConstantSeconds = 10;
// Teams with a lower rate of requests, in cost per second, are ignored: their ratio is not
// meaningful.
constexpr double kMinRequestedRate = 0.1;

} // namespace

AnsweredRatios::TeamRates::TeamRates()
    : requested_(kRateTimeConstantSeconds)
    , answered_(kRateTimeConstantSeconds)
{ }

void AnsweredRatios::onRequestFinished(const TeamName &team, double cost, bool isAnswered,
                                       TimePoint now)
{
    const std::lock_guard lock(mutex_);
    TeamRates &rates = teams_[team];
    rates.requested_.add(cost, now);
    if (isAnswered)
        rates.answered_.add(cost, now);
}

std::optional<AnsweredRatios::TeamRatio> AnsweredRatios::lowest(TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    std::optional<TeamRatio> lowest;
    for (const auto &[name, team] : teams_) {
        const double requested = team.requested_.at(now);
        if (requested < kMinRequestedRate)
            continue;
        const double ratio = team.answered_.at(now) / requested;
        if (!lowest || ratio < lowest->ratio_)
            lowest = TeamRatio { name, ratio };
    }
    return lowest;
}

} // namespace pimentostage
