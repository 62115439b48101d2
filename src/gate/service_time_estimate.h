#pragma once

// Estimates the time an online request takes after its start, from completed ones.

#include <algorithm>
#include <cstdint>

#include "figmill/base.h"

namespace figmill::detail {

class ServiceTimeEstimate {
 public:
  void AddFirstToken(Duration wait) { Blend(first_token_us_, wait.count()); }
  // `max_tokens` is the request's limit on answer tokens, 0 when unknown.
  void AddEnded(Duration whole, std::uint64_t tokens, std::uint32_t max_tokens) {
    Blend(total_us_, whole.count());
    if (max_tokens > 0) Blend(used_token_share_, static_cast<double>(tokens) / max_tokens);
  }
  [[nodiscard]] Duration whole() const { return Duration(static_cast<std::int64_t>(total_us_)); }
  // Expected time of a request that may generate up to `max_tokens`, assuming that it
  // uses the same share of its limit as completed requests did.
  [[nodiscard]] Duration Expect(std::uint32_t max_tokens, double gap_us) const {
    if (max_tokens == 0) return whole();
    return Duration(
        static_cast<std::int64_t>(first_token_us_ + max_tokens * used_token_share_ * gap_us));
  }

 private:
  static constexpr double kNewestWeight = 0.05;  // weight of the newest sample
  static void Blend(double& mean, auto value) {
    mean += kNewestWeight * (static_cast<double>(value) - mean);
  }
  double first_token_us_ = 50'000;
  double total_us_ = 1'000'000;
  double used_token_share_ = 1;
};

}  // namespace figmill::detail
