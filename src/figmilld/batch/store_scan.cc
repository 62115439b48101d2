#include "figmilld/batch/store_scan.h"

#include <memory>

namespace figmill {
namespace {

constexpr std::uint32_t kPageRows = 1000;

class Scan : public std::enable_shared_from_this<Scan> {
 public:
  Scan(TableStore& store, std::string prefix, std::function<bool(std::span<const Row>)> take,
       std::function<void(Result<Ok>)> done)
      : store_(store), prefix_(std::move(prefix)), take_(std::move(take)), done_(std::move(done)) {}

  void Next(std::string after) {
    if (pages_++ == kMaxScanPages) {
      return done_(Error{ErrorKind::kTooLarge, "there is too much to look through; ask for less"});
    }
    store_.Scan({prefix_, std::move(after), kPageRows},
                [self = shared_from_this()](Result<std::vector<Row>> rows) {
                  self->OnPage(std::move(rows));
                });
  }

 private:
  void OnPage(Result<std::vector<Row>> result) {
    if (!IsOk(result)) return done_(ErrorOf(result));
    const std::vector<Row>& rows = ValueOf(result);
    const bool more = rows.size() == kPageRows;
    if (!take_(rows) || !more) return done_(Ok{});
    Next(rows.back().key);
  }

  TableStore& store_;
  std::string prefix_;
  std::function<bool(std::span<const Row>)> take_;
  std::function<void(Result<Ok>)> done_;
  int pages_ = 0;
};

}  // namespace

void ScanAll(TableStore& store, std::string prefix, std::string after,
             std::function<bool(std::span<const Row>)> take, std::function<void(Result<Ok>)> done) {
  std::make_shared<Scan>(store, std::move(prefix), std::move(take), std::move(done))
      ->Next(std::move(after));
}

void RowCollector::Add(query::TableRow row) {
  if (!wants_more() || !query::Meets(row, selection_)) return;
  table_.rows.push_back(std::move(row));
  overflowed_ = table_.rows.size() > kMaxRows;
}

bool RowCollector::wants_more() const {
  if (overflowed_) return false;
  return selection_.order || !selection_.limit || table_.rows.size() < *selection_.limit;
}

Result<query::Table> RowCollector::Take() {
  if (!overflowed_) return query::Select(std::move(table_), selection_);
  return Error{ErrorKind::kTooLarge, "more than " + std::to_string(kMaxRows) +
                                         " rows match; add conditions, or a limit without order"};
}

}  // namespace figmill
