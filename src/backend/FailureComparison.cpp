#include "pimentostage/backend/FailureComparison.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

/// @return the share of failures; 0 without answers.
double failureShare(const VersionOutcomes &outcomes)
{
    return outcomes.answered_ == 0
               ? 0
               : static_cast<double>(outcomes.failed_) / static_cast<double>(outcomes.answered_);
}

/// @return the probability that a Poisson variable with mean @p mean is at least @p count.
double poissonTail(std::uint64_t count, double mean)
{
    double term = std::exp(-mean);
    double below = 0;
    for (std::uint64_t i = 0; i < count; ++i) {
        below += term;
        term *= mean / static_cast<double>(i + 1);
    }
    return std::max(0.0, 1 - below);
}

} // namespace

FailureComparison::FailureComparison(std::uint32_t backends)
    : backends_(std::max(1U, backends))
{ }

void FailureComparison::setBackends(std::uint32_t backends)
{
    backends_ = std::max(1U, backends);
}

double FailureComparison::expectedShare(const VersionOutcomes &current) const
{
    const double measured
        = (static_cast<double>(current.failed_) + kPriorAnswers * kMinShare / kTolerance)
          / (static_cast<double>(current.answered_) + kPriorAnswers);
    double share = std::max(kMinShare, kTolerance * measured);
    if (!recent_.empty()) {
        const VersionOutcomes lately = current.since(recent_.front());
        if (lately.failed_ >= kDisturbance)
            share = std::max(share, kTolerance * failureShare(lately));
    }
    return std::min(share, 0.9);
}

bool FailureComparison::mayBeOneBackend(const VersionOutcomes &slot) const
{
    // Requests that one back end gets: the mean, and two standard deviations of a Poisson variable.
    const double mean = static_cast<double>(slot.answered_) / backends_;
    return static_cast<double>(slot.failed_) <= 1 + mean + 2 * std::sqrt(mean);
}

std::uint64_t FailureComparison::countedFailures(const RouteOutcomes &total) const
{
    std::uint64_t lately = 0;
    for (const Slot &slot : slots_)
        lately += slot.failures_;
    const std::uint64_t left = kMaxGroupFailures - std::min(kMaxGroupFailures, lately);
    return std::min(left, total.target_.failed_ - closed_.target_.failed_);
}

FailureComparison::Evidence::Gains FailureComparison::likelihoodGains(
    const RouteOutcomes &total) const
{
    const VersionOutcomes slot = total.target_.since(closed_.target_);
    const double expected = expectedShare(total.current_);
    const auto failed = static_cast<double>(slot.failed_);
    const double succeeded = static_cast<double>(slot.answered_) - failed;
    Evidence::Gains gains {};
    for (std::size_t i = 0; i < kAlternatives.size(); ++i) {
        const double alternative = kAlternatives[i];
        if (alternative > expected) {
            gains[i] = failed * std::log(alternative / expected)
                       + succeeded * std::log((1 - alternative) / (1 - expected));
        }
    }
    return gains;
}

FailureComparison::Evidence::Gains FailureComparison::gains(const RouteOutcomes &total) const
{
    Evidence::Gains gains = likelihoodGains(total);
    if (!mayBeOneBackend(total.target_.since(closed_.target_)))
        return gains;
    for (std::size_t i = 0; i < gains.size(); ++i) {
        double left = kMaxGroupGain;
        for (const Slot &slot : slots_)
            left -= std::max(0.0, slot.gains_[i]);
        gains[i] = std::min(gains[i], std::max(0.0, left));
    }
    return gains;
}

void FailureComparison::closeSlot(const RouteOutcomes &total)
{
    const Slot slot { gains(total), countedFailures(total) };
    evidence_.add(slot.gains_);
    countedFailures_ += slot.failures_;
    slots_.push_back(slot);
    if (slots_.size() >= kRecentSlots)
        slots_.pop_front();
    closed_ = total;
    recent_.push_back(total.current_);
    if (recent_.size() > kRecentSlots)
        recent_.pop_front();
}

bool FailureComparison::isWorse(const RouteOutcomes &total, double alpha) const
{
    return evidence_.value(gains(total)) >= -std::log(alpha);
}

bool FailureComparison::isWorseOverall(const RouteOutcomes &total, double alpha) const
{
    const double mean
        = expectedShare(total.current_) * static_cast<double>(total.target_.answered_);
    return poissonTail(countedFailures_ + countedFailures(total), mean) <= alpha;
}

double FailureComparison::excess(const RouteOutcomes &total) const
{
    return static_cast<double>(total.target_.failed_)
           - expectedShare(total.current_) * static_cast<double>(total.target_.answered_);
}

} // namespace pimentostage
