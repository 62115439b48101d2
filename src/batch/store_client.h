#pragma once

// Store calls that report their results to callbacks and are retried while the store
// is down.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "figmill/batch.h"

namespace figmill::detail {

enum class Retry : std::uint8_t { kNo, kWhileDown };

class StoreClient {
 public:
  // After `deadline`, calls are no longer retried and callbacks receive the error.
  // Without it, they receive only errors other than an unavailable store.
  explicit StoreClient(std::optional<Time> deadline = std::nullopt) : deadline_(deadline) {}

  void Put(std::string key, std::string bytes, Retry retry, std::function<void(Result<Ok>)> done);
  void Get(std::string key, std::function<void(Result<std::string>)> done);
  void Read(std::string key, std::function<void(Result<std::optional<Row>>)> done);
  // Reads all rows with the prefix, page by page.
  void ScanAll(std::string prefix, std::function<void(Result<std::vector<Row>>)> done);
  // Not retried here: only the writer knows how to retry safely.
  void Commit(Transaction transaction, std::function<void(TransactionOutcome)> done);

  void Handle(const StoreResult& answer, Time now);
  void Tick(Time now);
  [[nodiscard]] std::vector<StoreCall> TakeCalls() { return std::exchange(out_, {}); }
  [[nodiscard]] Time now() const { return now_; }

 private:
  using Callback =
      std::variant<std::function<void(Result<Ok>)>, std::function<void(Result<std::string>)>,
                   std::function<void(Result<std::optional<Row>>)>,
                   std::function<void(Result<std::vector<Row>>)>,
                   std::function<void(TransactionOutcome)>>;
  struct Pending {
    StoreCall call;  // kept for retries
    Callback done;
    Retry retry = Retry::kNo;
    Duration backoff{0};
    Time retry_at;
    bool awaiting_retry = false;  // until retry_at
  };

  void Start(StoreCall call, Callback done, Retry retry);
  template <typename T>
  void Finish(OpId op, const Result<T>& result);
  void ScanPage(std::string prefix, std::vector<Row> rows,
                std::function<void(Result<std::vector<Row>>)> done);

  std::optional<Time> deadline_;
  Time now_;
  OpId last_op_ = 0;
  std::map<OpId, Pending> pending_;
  std::vector<StoreCall> out_;
};

}  // namespace figmill::detail
