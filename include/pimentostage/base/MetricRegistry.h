#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pimentostage {

/// A monotonically increasing count.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ { 0 };
};

/// A value that can increase and decrease.
class Gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_ { 0 };
};

/// Histogram of durations with fixed buckets. Thread-safe.
class DurationHistogram
{
public:
    /// Upper bounds of the buckets, in seconds.
    static constexpr double kBounds[] = { 0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032,
                                          0.064,  0.128, 0.256, 0.512, 1.0,   2.0,   4.0 };
    static constexpr std::size_t kBucketCount = std::size(kBounds);

    /// Adds a sample of @p seconds.
    void record(double seconds);
    /// @return the number of samples that are not greater than kBounds[@p bucket].
    [[nodiscard]] std::uint64_t countUpTo(std::size_t bucket) const;
    [[nodiscard]] std::uint64_t count() const { return count_.load(std::memory_order_relaxed); }
    [[nodiscard]] double sum() const { return sum_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> buckets_[kBucketCount] {};
    std::atomic<std::uint64_t> count_ { 0 };
    std::atomic<double> sum_ { 0 };
};

/// One label of a metric.
struct Label
{
    std::string name_;
    std::string value_;

    auto operator<=>(const Label &) const = default;
};

using Labels = std::vector<Label>;

/// All metrics of one process. A metric is created once and lives as long as the registry.
/// Thread-safe.
class MetricRegistry
{
public:
    /// @param name name of the metric, with its unit as a suffix.
    /// @param help one sentence that describes the metric to operators.
    /// @return the counter with this name and these labels, created on first use.
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    /// As counter(), for a gauge.
    Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    /// As counter(), for a histogram of seconds.
    DurationHistogram &histogram(const std::string &name, const std::string &help,
                                 const Labels &labels = {});

    /// @return all metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    template <typename Metric>
    struct Family
    {
        std::string help_;
        std::map<Labels, std::unique_ptr<Metric>> metrics_;
    };
    template <typename Metric>
    using Families = std::map<std::string, Family<Metric>>;

    template <typename Metric>
    Metric &findOrCreate(Families<Metric> &families, const std::string &name,
                         const std::string &help, const Labels &labels);

    mutable std::mutex mutex_;
    Families<Counter> counters_;
    Families<Gauge> gauges_;
    Families<DurationHistogram> histograms_;
};

} // namespace pimentostage
