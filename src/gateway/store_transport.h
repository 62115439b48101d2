#pragma once

// Sends calls to the table service over the path that StorePaths chooses, and forwards
// calls for other entries.

#include <functional>
#include <memory>
#include <vector>

#include "figmill/exchange.h"
#include "figmill/gateway.h"
#include "figmill/store_paths.h"
#include "gateway/store_call_metrics.h"
#include "gateway/traffic_metrics.h"

namespace figmill {

class StoreTransport final : public TableTransport {
 public:
  StoreTransport(Loop& loop, NoRetryHttpClient& client, Address store, TrafficMetrics& traffic,
                 StoreCallMetrics& call_metrics)
      : loop_(loop),
        client_(client),
        store_(std::move(store)),
        traffic_(traffic),
        call_metrics_(call_metrics) {}

  void Fetch(TableCall call, std::function<void(Result<HttpResponse>)> done) override;
  void SetPeers(std::vector<Address> peers) { paths_.SetPeers(std::move(peers)); }

  // A call that another entry forwards to this one.
  [[nodiscard]] static bool IsForwarded(const HttpRequest& request);
  void Forward(HttpRequest request, std::shared_ptr<HttpReply> reply);

 private:
  // Paths tried after one that refused the call. Where the store refuses a third of the hosts, it
  // refuses one call in nine on two paths, and one in 243 on five.
  static constexpr int kMaxAlternatives = 4;

  void Send(TableCall call, const StorePaths::Path& path, int alternatives_left,
            std::function<void(Result<HttpResponse>)> done);
  [[nodiscard]] HttpCall CallFor(const TableCall& call, const StorePaths::Path& path) const;

  Loop& loop_;
  NoRetryHttpClient& client_;
  Address store_;
  TrafficMetrics& traffic_;
  StoreCallMetrics& call_metrics_;
  StorePaths paths_;
};

}  // namespace figmill
