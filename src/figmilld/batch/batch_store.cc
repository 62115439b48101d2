#include "figmilld/batch/batch_store.h"

#include <iterator>

namespace figmill {
namespace {

constexpr std::uint32_t kPageRows = 1000;

struct Scan {
  std::string prefix;
  std::vector<Row> rows;
  std::function<void(Result<std::vector<Row>>)> done;
};

void NextPage(TableStore& table, const std::shared_ptr<Scan>& scan) {
  RowRange range{scan->prefix, scan->rows.empty() ? "" : scan->rows.back().key, kPageRows};
  table.Scan(std::move(range), [&table, scan](Result<std::vector<Row>> page) {
    if (!IsOk(page)) return scan->done(std::move(page));
    std::vector<Row>& rows = ValueOf(page);
    const bool last = rows.size() < kPageRows;
    std::move(rows.begin(), rows.end(), std::back_inserter(scan->rows));
    if (last) return scan->done(std::move(scan->rows));
    NextPage(table, scan);
  });
}

}  // namespace

void CarryStoreCall(BatchStore store, StoreCall call, std::function<void(StoreResult)> done) {
  std::visit(
      Overloaded{
          [&](BatchCommit& c) {
            store.table.Commit(std::move(c.transaction),
                               [op = c.op, done](TransactionOutcome outcome) {
                                 done(BatchCommitResult{op, std::move(outcome)});
                               });
          },
          [&](BatchRead& c) {
            store.table.Read(std::move(c.key), [op = c.op, done](Result<std::optional<Row>> row) {
              done(BatchReadResult{op, std::move(row)});
            });
          },
          [&](BatchScan& c) {
            store.table.Scan(std::move(c.range), [op = c.op, done](Result<std::vector<Row>> rows) {
              done(BatchScanResult{op, std::move(rows)});
            });
          },
          [&](BatchPut& c) {
            store.objects.Put(std::move(c.key), std::move(c.bytes),
                              [op = c.op, done](Result<Ok> result) {
                                done(BatchPutResult{op, std::move(result)});
                              });
          },
          [&](BatchGet& c) {
            store.objects.Get(std::move(c.key), [op = c.op, done](Result<std::string> bytes) {
              done(BatchGetResult{op, std::move(bytes)});
            });
          },
      },
      call);
}

void ScanAllRows(TableStore& table, std::string prefix,
                 std::function<void(Result<std::vector<Row>>)> done) {
  NextPage(table, std::make_shared<Scan>(Scan{std::move(prefix), {}, std::move(done)}));
}

}  // namespace figmill
