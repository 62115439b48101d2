#include <algorithm>
#include <memory>

#include "figmill/batch.h"
#include "figmilld/batch/store_scan.h"
#include "figmilld/traffic/work_tables.h"

namespace figmill {
namespace {

using query::Selection;
using query::Table;
using query::TableRow;

constexpr std::string_view kJobPrefix = "job/";
constexpr std::size_t kDoneColumn = 5;
constexpr std::size_t kFailedColumn = 6;

bool IsCounted(std::size_t column) {
  return column == kDoneColumn || column == kFailedColumn;
}

// Whether the answer depends on the counts, beyond showing them.
bool NeedsCounts(const Selection& selection) {
  const bool condition = std::any_of(selection.where.begin(), selection.where.end(),
                                     [](const auto& each) { return IsCounted(each.column); });
  return condition || (selection.order && IsCounted(selection.order->column));
}

// What can be selected before counting.
Selection BeforeCounts(Selection selection) {
  if (NeedsCounts(selection)) {
    selection.order.reset();
    selection.limit.reset();
  }
  std::erase_if(selection.where, [](const auto& each) { return IsCounted(each.column); });
  return selection;
}

TableRow RowOfJob(std::string_view key, const JobRow& job) {
  return {std::string(key.substr(kJobPrefix.size())),
          job.team.value,
          std::string(ToString(job.state)),
          job.due,
          static_cast<std::int64_t>(job.items),
          std::monostate{},
          std::monostate{},
          job.owner.value};
}

// Fills in the counts of one job after the other.
class Counter : public std::enable_shared_from_this<Counter> {
 public:
  Counter(TableStore& store, Table table, Selection selection, TableDone done)
      : store_(store),
        table_(std::move(table)),
        selection_(std::move(selection)),
        done_(std::move(done)) {}

  void Next() {
    if (at_ == table_.rows.size()) return done_(query::Select(std::move(table_), selection_));
    const JobId job{std::get<std::string>(table_.rows[at_].front())};
    auto counts = std::make_shared<JobProgress>();
    ScanAll(
        store_, ChunkPrefix(job), "",
        [counts](std::span<const Row> rows) {
          const JobProgress page = ProgressOf(rows);
          counts->succeeded += page.succeeded;
          counts->failed += page.failed;
          return true;
        },
        [self = shared_from_this(), counts](const Result<Ok>& scanned) {
          if (!IsOk(scanned)) return self->done_(ErrorOf(scanned));
          TableRow& row = self->table_.rows[self->at_++];
          row[kDoneColumn] = static_cast<std::int64_t>(counts->succeeded);
          row[kFailedColumn] = static_cast<std::int64_t>(counts->failed);
          self->Next();
        });
  }

 private:
  TableStore& store_;
  Table table_;
  Selection selection_;
  TableDone done_;
  std::size_t at_ = 0;
};

void Count(TableStore& store, Result<Table> jobs, const Selection& selection, TableDone done) {
  if (!IsOk(jobs)) return done(std::move(jobs));
  Table& table = ValueOf(jobs);
  if (table.rows.size() <= kMaxCountedJobs) {
    return std::make_shared<Counter>(store, std::move(table), selection, std::move(done))->Next();
  }
  if (!NeedsCounts(selection)) return done(std::move(table));
  done(Error{ErrorKind::kTooLarge, "more than " + std::to_string(kMaxCountedJobs) +
                                       " jobs would have to be counted; add conditions"});
}

}  // namespace

void ReadJobs(TableStore& table, const Selection& selection, TableDone done) {
  auto collector =
      std::make_shared<RowCollector>(query::EmptyTable(query::ShowJobs{}), BeforeCounts(selection));
  ScanAll(
      table, std::string(kJobPrefix), "",
      [collector](std::span<const Row> rows) {
        for (const Row& row : rows) {
          const Result<JobRow> job = ParseJobRow(row.value);
          if (IsOk(job)) collector->Add(RowOfJob(row.key, ValueOf(job)));
        }
        return collector->wants_more();
      },
      [&table, collector, selection, done = std::move(done)](const Result<Ok>& scanned) {
        if (!IsOk(scanned)) return done(ErrorOf(scanned));
        Count(table, collector->Take(), selection, done);
      });
}

}  // namespace figmill
