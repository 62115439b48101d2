#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>

#include "figmill/observe.h"

namespace figmill {
namespace {

namespace acc = boost::accumulators;
using Accumulators =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};
// P-square keeps 2n+3 markers for n quantiles. Until each has had a sample the
// markers hold raw samples in order of arrival, so that a summary read early
// would show any of them as p99; up to there the samples are ranked exactly.
constexpr std::size_t kMarkers = 2 * kQuantiles.size() + 3;

double NearestRank(std::span<const double> sorted, double quantile) {
  const double rank = std::ceil(quantile * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

std::string NumberText(double value) {
  std::array<char, 32> text{};
  const auto [end, failure] = std::to_chars(text.data(), text.data() + text.size(), value);
  return failure == std::errc{} ? std::string(text.data(), end) : "NaN";
}

// HELP text ends at a line break, so that one in it would start a bogus line.
std::string EscapeHelp(std::string_view help) {
  std::string escaped;
  for (const char c : help) {
    if (c == '\\') {
      escaped += "\\\\";
    } else if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

void AppendHead(std::string& out, std::string_view name, std::string_view help,
                std::string_view type) {
  out.append("# HELP ").append(name).append(" ").append(EscapeHelp(help)).append("\n");
  out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void AppendSample(std::string& out, std::string_view name, std::string_view labels,
                  std::string_view value) {
  out.append(name);
  if (!labels.empty()) out.append("{").append(labels).append("}");
  out.append(" ").append(value).append("\n");
}

void AppendSummary(std::string& out, const std::string& name, const std::string& labels,
                   const Distribution::Summary& summary) {
  const auto sample = [&](std::string_view quantile, double value) {
    std::string all = "quantile=\"" + std::string(quantile) + "\"";
    if (!labels.empty()) all.insert(0, labels + ",");
    AppendSample(out, name, all, NumberText(value));
  };
  if (summary.count > 0) {
    sample("0.5", summary.p50);
    sample("0.95", summary.p95);
    sample("0.99", summary.p99);
  }
  AppendSample(out, name + "_sum", labels, NumberText(summary.sum));
  AppendSample(out, name + "_count", labels, std::to_string(summary.count));
}

void AppendHistogram(std::string& out, const std::string& name, const std::string& labels,
                     const Histogram::Counts& counts) {
  const auto bucket = [&](const std::string& up_to, std::uint64_t count) {
    std::string all = "le=\"" + up_to + "\"";
    if (!labels.empty()) all.insert(0, labels + ",");
    AppendSample(out, name + "_bucket", all, std::to_string(count));
  };
  for (const Histogram::Bucket& each : counts.buckets) bucket(NumberText(each.up_to), each.count);
  bucket("+Inf", counts.count);
  AppendSample(out, name + "_sum", labels, NumberText(counts.sum));
  AppendSample(out, name + "_count", labels, std::to_string(counts.count));
}

// The metric of this name and labels, made when it is new.
template <typename Families>
auto& FindOrMake(Families& families, std::string_view name, std::string_view help,
                 std::string_view labels) {
  auto family = families.find(name);
  if (family == families.end()) {
    family = families.emplace(std::string(name), typename Families::mapped_type{}).first;
    family->second.help = help;
  }
  auto& by_labels = family->second.by_labels;
  auto metric = by_labels.find(labels);
  if (metric == by_labels.end()) {
    using Pointer = typename std::remove_reference_t<decltype(by_labels)>::mapped_type;
    using Metric = typename Pointer::element_type;
    Pointer made;
    if constexpr (std::is_same_v<Metric, Histogram>) {
      made = std::make_unique<Metric>(kLatencyBounds);
    } else {
      made = std::make_unique<Metric>();
    }
    metric = by_labels.emplace(std::string(labels), std::move(made)).first;
  }
  return *metric->second;
}

}  // namespace

struct Distribution::Core {
  mutable std::mutex mutex;
  Accumulators all{acc::extended_p_square_probabilities = kQuantiles};
  std::array<double, kMarkers> first{};
};

Distribution::Distribution() : core_(std::make_unique<Core>()) {}
Distribution::~Distribution() = default;

void Distribution::Add(double value) {
  // One NaN would stay in every marker for good.
  if (!std::isfinite(value)) return;
  const std::scoped_lock lock(core_->mutex);
  const std::size_t count = acc::count(core_->all);
  if (count < kMarkers) core_->first[count] = value;
  core_->all(value);
}

Distribution::Summary Distribution::summary() const {
  const std::scoped_lock lock(core_->mutex);
  Summary summary;
  summary.count = acc::count(core_->all);
  if (summary.count == 0) return summary;
  summary.sum = acc::sum(core_->all);
  if (summary.count <= kMarkers) {
    std::array<double, kMarkers> sorted = core_->first;
    const std::span<double> used(sorted.data(), summary.count);
    std::sort(used.begin(), used.end());
    summary.p50 = NearestRank(used, kQuantiles[0]);
    summary.p95 = NearestRank(used, kQuantiles[1]);
    summary.p99 = NearestRank(used, kQuantiles[2]);
    return summary;
  }
  const auto markers = acc::extended_p_square(core_->all);
  summary.p50 = markers[0];
  summary.p95 = markers[1];
  summary.p99 = markers[2];
  return summary;
}

struct Histogram::Core {
  using Axis = boost::histogram::axis::variable<double>;
  explicit Core(std::span<const double> upper)
      : bounds(upper.begin(), upper.end()),
        counts(boost::histogram::make_histogram(Axis(bounds.begin(), bounds.end()))) {}
  std::vector<double> bounds;
  mutable std::mutex mutex;
  boost::histogram::histogram<std::tuple<Axis>> counts;
  double sum = 0;
};

Histogram::Histogram(std::span<const double> bounds) : core_(std::make_unique<Core>(bounds)) {}
Histogram::~Histogram() = default;

void Histogram::Add(double value) {
  if (!std::isfinite(value)) return;
  const std::scoped_lock lock(core_->mutex);
  core_->counts(value);
  core_->sum += value;
}

Histogram::Counts Histogram::counts() const {
  const std::scoped_lock lock(core_->mutex);
  Counts counts;
  counts.sum = core_->sum;
  // Index -1 holds what lies below the first bound, the last one what lies above all.
  const int ranges = static_cast<int>(core_->bounds.size());
  for (int i = -1; i < ranges; ++i) {
    counts.count += static_cast<std::uint64_t>(static_cast<double>(core_->counts.at(i)));
    if (i + 1 < ranges) {
      counts.buckets.push_back({core_->bounds[static_cast<std::size_t>(i) + 1], counts.count});
    }
  }
  return counts;
}

Counter& Metrics::counter(std::string_view name, std::string_view help, std::string_view labels) {
  const std::scoped_lock lock(mutex_);
  return FindOrMake(counters_, name, help, labels);
}

Gauge& Metrics::gauge(std::string_view name, std::string_view help, std::string_view labels) {
  const std::scoped_lock lock(mutex_);
  return FindOrMake(gauges_, name, help, labels);
}

Distribution& Metrics::distribution(std::string_view name, std::string_view help,
                                    std::string_view labels) {
  const std::scoped_lock lock(mutex_);
  return FindOrMake(distributions_, name, help, labels);
}

Histogram& Metrics::histogram(std::string_view name, std::string_view help,
                              std::string_view labels) {
  const std::scoped_lock lock(mutex_);
  return FindOrMake(histograms_, name, help, labels);
}

std::string Metrics::PrometheusText() const {
  const std::scoped_lock lock(mutex_);
  std::string out;
  for (const auto& [name, family] : counters_) {
    AppendHead(out, name, family.help, "counter");
    for (const auto& [labels, metric] : family.by_labels) {
      AppendSample(out, name, labels, std::to_string(metric->value()));
    }
  }
  for (const auto& [name, family] : gauges_) {
    AppendHead(out, name, family.help, "gauge");
    for (const auto& [labels, metric] : family.by_labels) {
      AppendSample(out, name, labels, NumberText(metric->value()));
    }
  }
  for (const auto& [name, family] : distributions_) {
    AppendHead(out, name, family.help, "summary");
    for (const auto& [labels, metric] : family.by_labels) {
      AppendSummary(out, name, labels, metric->summary());
    }
  }
  for (const auto& [name, family] : histograms_) {
    AppendHead(out, name, family.help, "histogram");
    for (const auto& [labels, metric] : family.by_labels) {
      AppendHistogram(out, name, labels, metric->counts());
    }
  }
  return out;
}

}  // namespace figmill
