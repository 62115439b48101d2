#pragma once

// Long reads of the table, a page at a time.

#include <functional>
#include <span>
#include <string>

#include "figmill/platform.h"
#include "figmill/query.h"

namespace figmill {

// Gives every row of the prefix after the key `after` to `take`, a page at a
// time, until that returns false. Errors: kStoreUnavailable; kTooLarge after
// kMaxScanPages.
inline constexpr int kMaxScanPages = 200;
void ScanAll(TableStore& store, std::string prefix, std::string after,
             std::function<bool(std::span<const Row>)> take, std::function<void(Result<Ok>)> done);

// Collects the rows that meet a selection, so that an entry's memory is bounded
// by what is answered and not by what is there.
class RowCollector {
 public:
  // Most rows that one answer may hold before order and limit.
  static constexpr std::size_t kMaxRows = 10'000;

  RowCollector(query::Table empty, query::Selection selection)
      : table_(std::move(empty)), selection_(std::move(selection)) {}
  void Add(query::TableRow row);
  // Whether further rows could change the answer.
  [[nodiscard]] bool wants_more() const;
  // In order, cut at the limit. Errors: kTooLarge.
  [[nodiscard]] Result<query::Table> Take();

 private:
  query::Table table_;
  query::Selection selection_;
  bool overflowed_ = false;
};

}  // namespace figmill
