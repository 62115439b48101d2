#pragma once

// Exact quantiles of what a phase measured.

#include <algorithm>
#include <cmath>
#include <vector>

namespace figmill::bench {

class Samples {
 public:
  void Add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  void AddAll(const Samples& other) {
    values_.insert(values_.end(), other.values_.begin(), other.values_.end());
    sorted_ = false;
  }
  [[nodiscard]] std::size_t count() const { return values_.size(); }
  // The smallest value that at least `share` of the samples don't exceed; 0
  // without samples.
  [[nodiscard]] double Quantile(double share) {
    if (values_.empty()) return 0;
    if (!sorted_) std::sort(values_.begin(), values_.end());
    sorted_ = true;
    const double rank = std::ceil(share * static_cast<double>(values_.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return values_[std::min(index, values_.size() - 1)];
  }

 private:
  std::vector<double> values_;
  bool sorted_ = true;
};

}  // namespace figmill::bench
