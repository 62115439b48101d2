#include "batch/store_client.h"

#include <algorithm>

namespace figmill::detail {
namespace {

constexpr Duration kInitialBackoff{100'000};
constexpr Duration kMaxBackoff{2'000'000};
constexpr std::uint32_t kPageRows = 1000;

void SetOp(StoreCall& call, OpId op) {
  std::visit([op](auto& c) { c.op = op; }, call);
}

}  // namespace

void StoreClient::Start(StoreCall call, Callback done, Retry retry) {
  const OpId op = ++last_op_;
  SetOp(call, op);
  out_.push_back(call);
  Pending pending{{}, std::move(done), retry, Duration{0}, {}, false};
  if (retry == Retry::kWhileDown) pending.call = std::move(call);
  pending_.emplace(op, std::move(pending));
}

void StoreClient::Put(std::string key, std::string bytes, Retry retry,
                      std::function<void(Result<Ok>)> done) {
  Start(BatchPut{0, std::move(key), std::move(bytes)}, std::move(done), retry);
}

void StoreClient::Get(std::string key, std::function<void(Result<std::string>)> done) {
  Start(BatchGet{0, std::move(key)}, std::move(done), Retry::kWhileDown);
}

void StoreClient::Read(std::string key, std::function<void(Result<std::optional<Row>>)> done) {
  Start(BatchRead{0, std::move(key)}, std::move(done), Retry::kWhileDown);
}

void StoreClient::ScanAll(std::string prefix, std::function<void(Result<std::vector<Row>>)> done) {
  ScanPage(std::move(prefix), {}, std::move(done));
}

void StoreClient::ScanPage(std::string prefix, std::vector<Row> rows,
                           std::function<void(Result<std::vector<Row>>)> done) {
  RowRange range{prefix, rows.empty() ? std::string() : rows.back().key, kPageRows};
  auto on_page = [this, prefix = std::move(prefix), rows = std::move(rows),
                  done = std::move(done)](Result<std::vector<Row>> page) mutable {
    if (!IsOk(page)) return done(ErrorOf(page));
    std::vector<Row>& more = ValueOf(page);
    const bool last = more.size() < kPageRows;
    rows.insert(rows.end(), std::make_move_iterator(more.begin()),
                std::make_move_iterator(more.end()));
    if (last) return done(std::move(rows));
    ScanPage(std::move(prefix), std::move(rows), std::move(done));
  };
  Start(BatchScan{0, std::move(range)},
        std::function<void(Result<std::vector<Row>>)>(std::move(on_page)), Retry::kWhileDown);
}

void StoreClient::Commit(Transaction transaction, std::function<void(TransactionOutcome)> done) {
  Start(BatchCommit{0, std::move(transaction)}, std::move(done), Retry::kNo);
}

template <typename T>
void StoreClient::Finish(OpId op, const Result<T>& result) {
  const auto found = pending_.find(op);
  if (found == pending_.end()) return;
  Pending& pending = found->second;
  const bool down = !IsOk(result) && ErrorOf(result).kind == ErrorKind::kStoreUnavailable;
  const bool before_deadline = !deadline_ || now_ < *deadline_;
  if (down && before_deadline && pending.retry == Retry::kWhileDown) {
    pending.backoff = std::clamp(pending.backoff * 2, kInitialBackoff, kMaxBackoff);
    pending.retry_at = now_ + pending.backoff;
    pending.awaiting_retry = true;
    return;
  }
  Callback done = std::move(pending.done);
  pending_.erase(found);
  if (auto* callback = std::get_if<std::function<void(Result<T>)>>(&done)) (*callback)(result);
}

void StoreClient::Handle(const StoreResult& answer, Time now) {
  now_ = now;
  std::visit(Overloaded{
                 [this](const BatchCommitResult& a) {
                   const auto found = pending_.find(a.op);
                   if (found == pending_.end()) return;
                   Callback done = std::move(found->second.done);
                   pending_.erase(found);
                   std::get<std::function<void(TransactionOutcome)>>(done)(a.outcome);
                 },
                 [this](const BatchReadResult& a) { Finish(a.op, a.row); },
                 [this](const BatchScanResult& a) { Finish(a.op, a.rows); },
                 [this](const BatchPutResult& a) { Finish(a.op, a.result); },
                 [this](const BatchGetResult& a) { Finish(a.op, a.bytes); },
             },
             answer);
}

void StoreClient::Tick(Time now) {
  now_ = now;
  for (auto& [op, pending] : pending_) {
    if (!pending.awaiting_retry || now < pending.retry_at) continue;
    pending.awaiting_retry = false;
    out_.push_back(pending.call);
  }
}

}  // namespace figmill::detail
