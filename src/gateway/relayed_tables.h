#pragma once

// Wraps SharedTables and follows tables at the relays of this data centre where there are any. All
// other calls, and the feeds that no relay serves, go to the store.

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "figmill/exchange.h"
#include "figmill/feeds.h"
#include "figmill/runtime.h"
#include "figmill/tables.h"
#include "gateway/traffic_metrics.h"

namespace figmill {

class RelayedTables final : public SharedTables {
 public:
  // A relay responds within kRelayWait even if nothing has changed; the margin allows for the round
  // trip and a busy host. A relay that stalls delays a change by their sum at most, after which the
  // store is asked.
  static constexpr Duration kRelayWait{500'000};
  static constexpr Duration kRelayMargin{300'000};
  static constexpr Duration kConnectTimeout{150'000};

  RelayedTables(SharedTables& store, NoRetryHttpClient& client, Metrics& metrics,
                TrafficMetrics& traffic);
  RelayedTables(const RelayedTables&) = delete;
  RelayedTables& operator=(const RelayedTables&) = delete;

  void SetRelays(std::vector<Address> relays) { selector_.SetRelays(std::move(relays)); }
  void SetDirectInterval(Duration interval) { selector_.SetDirectInterval(interval); }

  void Commit(TableTransaction transaction, std::function<void(TableOutcome)> done) override {
    store_.Commit(std::move(transaction), std::move(done));
  }
  void Read(TableRange range, std::function<void(Result<TablePage>)> done) override {
    store_.Read(std::move(range), std::move(done));
  }
  void ListParts(std::string table, std::string after,
                 std::function<void(Result<std::vector<std::string>>)> done) override {
    store_.ListParts(std::move(table), std::move(after), std::move(done));
  }
  void Follow(std::string table, RowVersion after, Duration wait,
              std::function<void(FeedOutcome)> done) override;

 private:
  SharedTables& store_;
  NoRetryHttpClient& client_;
  TrafficMetrics& traffic_;
  Counter& relayed_;
  Counter& failed_;
  FeedSourceSelector selector_;
};

}  // namespace figmill
