#pragma once

// How long an online request takes once it has started, from those that ended.

#include <algorithm>
#include <cstdint>

#include "figmill/base.h"

namespace figmill::detail {

class ServiceEstimate {
 public:
  void AddFirstToken(Duration wait) { Blend(first_token_us_, wait.count()); }
  // `allowed` is the request's bound on tokens, 0 when unknown.
  void AddEnded(Duration whole, std::uint64_t tokens, std::uint32_t allowed) {
    Blend(whole_us_, whole.count());
    if (allowed > 0) Blend(used_share_, static_cast<double>(tokens) / allowed);
  }
  [[nodiscard]] Duration whole() const { return Duration(static_cast<std::int64_t>(whole_us_)); }
  // For one request; a bound on tokens is used up only in part, as others did.
  [[nodiscard]] Duration Expect(std::uint32_t allowed, double gap_us) const {
    if (allowed == 0) return whole();
    return Duration(static_cast<std::int64_t>(first_token_us_ + allowed * used_share_ * gap_us));
  }

 private:
  static constexpr double kWeight = 0.05;  // of the newest
  static void Blend(double& mean, auto value) {
    mean += kWeight * (static_cast<double>(value) - mean);
  }
  double first_token_us_ = 50'000;
  double whole_us_ = 1'000'000;
  double used_share_ = 1;
};

}  // namespace figmill::detail
