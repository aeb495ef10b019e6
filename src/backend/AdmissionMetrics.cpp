#include "pimentostage/backend/AdmissionMetrics.h"

#include <algorithm>
#include <string>

namespace pimentostage {

AdmissionMetrics::AdmissionMetrics(MetricRegistry &metrics)
{
    for (std::uint32_t priority = 0; priority < kRows; ++priority) {
        const bool isLast = priority + 1 == kRows;
        const Labels labels { { "priority", std::to_string(priority) + (isLast ? "+" : "") } };
        rows_.at(priority).waiting_ = &metrics.gauge(
            "pimento_queue_requests", "Requests that wait for room at back ends.", labels);
        rows_.at(priority).refused_
            = &metrics.counter("pimento_queue_refused_total",
                               "Requests that a queue refused, at once or after a wait.", labels);
    }
}

AdmissionMetrics::Row &AdmissionMetrics::row(std::uint32_t priority)
{
    return rows_.at(std::min(priority, kRows - 1));
}

} // namespace pimentostage
