#pragma once

// Callers' online requests at an entry: read, held to their team's limit, and
// carried to an agent and back. What is keyed or may not be repeated goes
// through the once handler, which claims it durably before it is sent.

#include <functional>
#include <memory>
#include <unordered_set>

#include "figmill/runtime.h"
#include "figmilld/traffic/entry_once.h"
#include "figmilld/traffic/limit_shares.h"
#include "figmilld/traffic/online_call.h"

namespace figmill {

struct OnlineSettings {
  NodeId self;
  DataCentre data_centre;
};

class EntryOnline {
 public:
  EntryOnline(Loop& loop, HttpClient& client, RpcServer& rpc, Metrics& metrics, Tracer& tracer,
              OnlineSettings settings);
  ~EntryOnline();

  // At each change of configuration or members.
  void Update(std::shared_ptr<const RoutingSnapshot> snapshot);
  // Without it, keyed and unrepeatable work runs, but isn't remembered.
  void SetOnce(EntryOnce* once) { once_ = once; }

  // `POST /v1/completions`, `/v1/chat/completions`.
  void OnCompletion(HttpRequest request, std::shared_ptr<HttpReply> reply);
  // `/v1/services/{service}/{path}`.
  void OnServiceCall(HttpRequest request, std::shared_ptr<HttpReply> reply);

  // Runs work that was charged to its team already. The result stops it when the
  // caller has gone; without that call the work goes on to its end.
  std::function<void()> Run(OnlineWork work, OnlineSink sink, ClaimAttempt claim);

  // Requests without a final answer, for a shutdown that cuts none.
  [[nodiscard]] std::size_t in_flight() const { return calls_.size(); }
  [[nodiscard]] Router& router() { return parts_.router; }

 private:
  void Accept(HttpRequest request, Result<OnlineWork> parsed, std::shared_ptr<HttpReply> reply);
  void RunWith(std::shared_ptr<OnceTicket> ticket, OnlineWork work);

  OnlineParts parts_;
  LimitShares shares_;
  std::shared_ptr<const RoutingSnapshot> snapshot_ = std::make_shared<const RoutingSnapshot>();
  EntryOnce* once_ = nullptr;
  std::unordered_set<std::shared_ptr<OnlineCall>> calls_;
};

// A sink that answers a caller: event streams as they come, the rest whole.
[[nodiscard]] OnlineSink SinkInto(std::shared_ptr<HttpReply> reply);

}  // namespace figmill
