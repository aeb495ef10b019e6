#pragma once

#include <array>
#include <cmath>
#include <cstddef>
#include <limits>
#include <vector>

namespace pimentostage {

/// Evidence against a hypothesis that may be looked at after every step (an e-process).
///
/// A mixture of likelihood ratios over alternatives and over starting times; the latter let it
/// react to a change after a long good time. If the expectation of exp(gain) is at most 1 for each
/// step and alternative under the hypothesis, the probability that value() ever exceeds log(1 /
/// alpha) is at most alpha (Ville's inequality).
template <std::size_t kAlternatives>
class SequentialEvidence
{
public:
    /// Log likelihood ratio of one step for each alternative.
    using Gains = std::array<double, kAlternatives>;

    /// @param maxGain limit of each gain, so that one disturbed step does not decide alone.
    explicit SequentialEvidence(double maxGain)
        : maxGain_(maxGain)
    { }

    /// Adds one step.
    void add(const Gains &gains)
    {
        if (steps_ % kStartPeriod == 0)
            start();
        ++steps_;
        for (Start &start : starts_) {
            for (std::size_t i = 0; i < kAlternatives; ++i)
                start.sums_[i] += limited(gains[i]);
        }
    }

    /// @param open gains of a step that has not ended.
    /// @return logarithm of the evidence, including @p open.
    [[nodiscard]] double value(const Gains &open = {}) const
    {
        double sum = 0;
        for (const Start &start : starts_) {
            for (std::size_t i = 0; i < kAlternatives; ++i)
                sum += start.weight_ / kAlternatives * std::exp(start.sums_[i] + limited(open[i]));
        }
        return sum > 0 ? std::log(sum) : -std::numeric_limits<double>::infinity();
    }

    /// Steps between two starting times.
    static constexpr std::size_t kStartPeriod = 4;
    /// Starting times kept, the first and the latest; dropping others only lowers the evidence.
    static constexpr std::size_t kMaxStarts = 32;

private:
    /// Sums of the gains since one starting time, for each alternative.
    struct Start
    {
        double weight_;
        Gains sums_;
    };

    [[nodiscard]] double limited(double gain) const { return gain < maxGain_ ? gain : maxGain_; }

    /// Half of the weight belongs to the first starting time; the others have half of 1 / (k (k +
    /// 1)), which sums up to the other half.
    void start()
    {
        const std::size_t number = steps_ / kStartPeriod;
        const auto k = static_cast<double>(number);
        starts_.push_back({ k == 0 ? 0.5 : 0.5 / (k * (k + 1)), {} });
        if (starts_.size() > kMaxStarts)
            starts_.erase(starts_.begin() + 1);
    }

    const double maxGain_;
    std::size_t steps_ = 0;
    std::vector<Start> starts_;
};

} // namespace pimentostage
