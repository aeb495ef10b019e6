#include "pimentostage/backend/AdmissionOrder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace pimentostage {

namespace {

// Answers are worth 2 and 1 at neighbouring priorities in the deployments of docs/HARD-LOAD.md.
constexpr double kValueRatioOfPriorities = 2;

bool isUnknown(const WaitingRequest &request)
{
    return request.work_ == Duration::zero();
}

/// @return whether @p request misses its objective even if it starts at @p now.
bool isLate(const WaitingRequest &request, TimePoint now)
{
    return request.objective_ < now + request.work_;
}

/// @return the seconds until @p request must start, to meet its objective or else its deadline.
double slack(const WaitingRequest &request, TimePoint now)
{
    const TimePoint end = isLate(request, now) ? request.deadline_ : request.objective_;
    return toSeconds(end - now - request.work_);
}

class FirstCome : public AdmissionOrder
{
public:
    AdmissionRank rank(const WaitingRequest &request, TimePoint) const override
    {
        return { 0, false, 0, request.since_ };
    }
};

class StrictPriority : public AdmissionOrder
{
public:
    AdmissionRank rank(const WaitingRequest &request, TimePoint) const override
    {
        return { request.priority_, false, 0, request.since_ };
    }
};

class LeastSlack : public AdmissionOrder
{
public:
    AdmissionRank rank(const WaitingRequest &request, TimePoint now) const override
    {
        if (isUnknown(request))
            return { 0, false, static_cast<double>(request.priority_), request.since_ };
        return { 0, isLate(request, now), slack(request, now), request.since_ };
    }
};

class ValuePerWork : public AdmissionOrder
{
public:
    AdmissionRank rank(const WaitingRequest &request, TimePoint now) const override
    {
        if (isUnknown(request))
            return { 0, false, static_cast<double>(request.priority_), request.since_ };
        const double valuePerSecond = estimatedValue(request) / toSeconds(request.work_);
        return { 0, isLate(request, now), -valuePerSecond, request.since_ };
    }
};

class UrgencyThenSlack : public AdmissionOrder
{
public:
    AdmissionRank rank(const WaitingRequest &request, TimePoint now) const override
    {
        if (isUnknown(request))
            return { request.priority_, false, 0, request.since_ };
        return { request.priority_, isLate(request, now), slack(request, now), request.since_ };
    }
};

} // namespace

AdmissionRule admissionRuleFor(const std::optional<AdmissionRule> &setting, bool hasTeams)
{
    return setting.value_or(hasTeams ? AdmissionRule::TeamShares : kRuleWithoutTeams);
}

const AdmissionOrder &orderFor(AdmissionRule rule)
{
    static const FirstCome firstCome;
    static const StrictPriority strictPriority;
    static const LeastSlack leastSlack;
    static const ValuePerWork valuePerWork;
    static const UrgencyThenSlack urgencyThenSlack;
    // Indexed by AdmissionRule.
    static const std::array<const AdmissionOrder *, kEnumCount<AdmissionRule>> orders {
        &firstCome, &firstCome, &strictPriority, &leastSlack, &valuePerWork, &urgencyThenSlack
    };
    return *orders.at(static_cast<std::size_t>(rule));
}

double estimatedValue(const WaitingRequest &request)
{
    return request.share_
           * std::pow(kValueRatioOfPriorities, -static_cast<double>(request.priority_));
}

bool isCheaperToRefuse(const WaitingRequest &a, const WaitingRequest &b)
{
    const auto cost = [](const WaitingRequest &request) {
        return std::tuple(-static_cast<double>(request.priority_),
                          -toSeconds(request.work_) / estimatedValue(request),
                          -request.since_.time_since_epoch().count());
    };
    return cost(a) < cost(b);
}

} // namespace pimentostage
