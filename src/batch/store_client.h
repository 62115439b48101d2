#pragma once

// Store calls with answers as callbacks, repeated while the store is down.

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
  // After `give_up` errors reach the callbacks; without it only final ones do.
  explicit StoreClient(std::optional<Time> give_up = std::nullopt) : give_up_(give_up) {}

  void Put(std::string key, std::string bytes, Retry retry, std::function<void(Result<Ok>)> done);
  void Get(std::string key, std::function<void(Result<std::string>)> done);
  void Read(std::string key, std::function<void(Result<std::optional<Row>>)> done);
  // All rows of the prefix, page by page.
  void ScanAll(std::string prefix, std::function<void(Result<std::vector<Row>>)> done);
  // Never repeated here: only the writer knows how to.
  void Commit(Transaction transaction, std::function<void(TransactionOutcome)> done);

  void Handle(const StoreAnswer& answer, Time now);
  void Tick(Time now);
  [[nodiscard]] std::vector<StoreCall> Take() { return std::exchange(out_, {}); }
  [[nodiscard]] Time now() const { return now_; }

 private:
  using Callback =
      std::variant<std::function<void(Result<Ok>)>, std::function<void(Result<std::string>)>,
                   std::function<void(Result<std::optional<Row>>)>,
                   std::function<void(Result<std::vector<Row>>)>,
                   std::function<void(TransactionOutcome)>>;
  struct Pending {
    StoreCall call;  // kept for a repetition
    Callback done;
    Retry retry = Retry::kNo;
    Duration backoff{0};
    Time repeat_at;
    bool waiting = false;  // for repeat_at
  };

  void Start(StoreCall call, Callback done, Retry retry);
  template <typename T>
  void Finish(OpId op, const Result<T>& result);
  void ScanPage(std::string prefix, std::vector<Row> rows,
                std::function<void(Result<std::vector<Row>>)> done);

  std::optional<Time> give_up_;
  Time now_;
  OpId last_op_ = 0;
  std::map<OpId, Pending> pending_;
  std::vector<StoreCall> out_;
};

}  // namespace figmill::detail
