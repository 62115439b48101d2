#pragma once

// Sends the table service's calls by the way that StorePaths chooses, and forwards
// those of other entries.

#include <functional>
#include <memory>
#include <vector>

#include "figmill/exchange.h"
#include "figmill/gateway.h"
#include "figmill/store_paths.h"
#include "gateway/traffic_metrics.h"

namespace figmill {

class StoreCaller final : public TableCalls {
 public:
  StoreCaller(Loop& loop, NoRetryHttpClient& client, Address store, TrafficMetrics& traffic)
      : loop_(loop), client_(client), store_(std::move(store)), traffic_(traffic) {}

  void Fetch(TableCall call, std::function<void(Result<HttpResponse>)> done) override;
  void SetPeers(std::vector<Address> peers) { paths_.SetPeers(std::move(peers)); }

  // A call that another entry forwards to this one.
  [[nodiscard]] static bool IsForwarded(const HttpRequest& request);
  void Forward(HttpRequest request, std::shared_ptr<HttpReply> reply);

 private:
  void Send(TableCall call, const StorePaths::Path& path, bool may_go_other_way,
            std::function<void(Result<HttpResponse>)> done);
  [[nodiscard]] HttpCall CallFor(const TableCall& call, const StorePaths::Path& path) const;

  Loop& loop_;
  NoRetryHttpClient& client_;
  Address store_;
  TrafficMetrics& traffic_;
  StorePaths paths_;
};

}  // namespace figmill
