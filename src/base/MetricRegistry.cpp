#include "pimentostage/base/MetricRegistry.h"

#include <algorithm>
#include <sstream>

namespace pimentostage {

namespace {

void writeLabels(std::ostream &out, const Labels &labels)
{
    if (labels.empty())
        return;
    out << '{';
    const char *separator = "";
    for (const Label &label : labels) {
        out << separator << label.name_ << "=\"";
        for (const char c : label.value_) {
            if (c == '"' || c == '\\')
                out << '\\';
            out << (c == '\n' ? ' ' : c);
        }
        out << '"';
        separator = ",";
    }
    out << '}';
}

void writeHeading(std::ostream &out, const std::string &name, const std::string &help,
                  const char *type)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

void writeSample(std::ostream &out, const std::string &name, const Labels &labels, double value)
{
    out << name;
    writeLabels(out, labels);
    out << ' ' << value << '\n';
}

Labels withBucketBound(Labels labels, const std::string &bound)
{
    labels.push_back(Label { "le", bound });
    return labels;
}

void writeHistogram(std::ostream &out, const std::string &name, const Labels &labels,
                    const DurationHistogram &histogram)
{
    const auto count = static_cast<double>(histogram.count());
    for (std::size_t i = 0; i < DurationHistogram::kBucketCount; ++i) {
        std::ostringstream bound;
        bound << DurationHistogram::kBounds[i];
        writeSample(out, name + "_bucket", withBucketBound(labels, bound.str()),
                    static_cast<double>(histogram.countUpTo(i)));
    }
    writeSample(out, name + "_bucket", withBucketBound(labels, "+Inf"), count);
    writeSample(out, name + "_sum", labels, histogram.sum());
    writeSample(out, name + "_count", labels, count);
}

} // namespace

void DurationHistogram::record(double seconds)
{
    const auto *bound = std::lower_bound(std::begin(kBounds), std::end(kBounds), seconds);
    if (bound != std::end(kBounds))
        buckets_[bound - std::begin(kBounds)].fetch_add(1, std::memory_order_relaxed);
    count_.fetch_add(1, std::memory_order_relaxed);
    sum_.fetch_add(seconds, std::memory_order_relaxed);
}

std::uint64_t DurationHistogram::countUpTo(std::size_t bucket) const
{
    std::uint64_t total = 0;
    for (std::size_t i = 0; i <= bucket; ++i)
        total += buckets_[i].load(std::memory_order_relaxed);
    return total;
}

template <typename Metric>
Metric &MetricRegistry::findOrCreate(Families<Metric> &families, const std::string &name,
                                     const std::string &help, const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    Family<Metric> &family = families[name];
    family.help_ = help;
    std::unique_ptr<Metric> &metric = family.metrics_[labels];
    if (!metric)
        metric = std::make_unique<Metric>();
    return *metric;
}

Counter &MetricRegistry::counter(const std::string &name, const std::string &help,
                                 const Labels &labels)
{
    return findOrCreate(counters_, name, help, labels);
}

Gauge &MetricRegistry::gauge(const std::string &name, const std::string &help, const Labels &labels)
{
    return findOrCreate(gauges_, name, help, labels);
}

DurationHistogram &MetricRegistry::histogram(const std::string &name, const std::string &help,
                                             const Labels &labels)
{
    return findOrCreate(histograms_, name, help, labels);
}

std::string MetricRegistry::exposition() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto &[name, family] : counters_) {
        writeHeading(out, name, family.help_, "counter");
        for (const auto &[labels, metric] : family.metrics_)
            writeSample(out, name, labels, static_cast<double>(metric->value()));
    }
    for (const auto &[name, family] : gauges_) {
        writeHeading(out, name, family.help_, "gauge");
        for (const auto &[labels, metric] : family.metrics_)
            writeSample(out, name, labels, metric->value());
    }
    for (const auto &[name, family] : histograms_) {
        writeHeading(out, name, family.help_, "histogram");
        for (const auto &[labels, metric] : family.metrics_)
            writeHistogram(out, name, labels, *metric);
    }
    return out.str();
}

} // namespace pimentostage
