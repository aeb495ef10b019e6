#pragma once

#include "pimentostage/base/MetricRegistry.h"

#include <array>
#include <cstdint>

namespace pimentostage {

/// Length and refusals of all admission queues of a host, by priority. Thread-safe.
class AdmissionMetrics
{
public:
    explicit AdmissionMetrics(MetricRegistry &metrics);

    /// Counts requests that begin to wait, or that no longer do if @p change is negative.
    void onWaiting(std::uint32_t priority, int change) { row(priority).waiting_->add(change); }
    /// Counts a request that a queue refused.
    void onRefused(std::uint32_t priority) { row(priority).refused_->add(); }

private:
    struct Row
    {
        Gauge *waiting_ = nullptr;
        Counter *refused_ = nullptr;
    };

    /// Higher priorities are counted with the last one, which bounds the number of metrics.
    static constexpr std::uint32_t kRows = 4;

    Row &row(std::uint32_t priority);

    std::array<Row, kRows> rows_;
};

} // namespace pimentostage
