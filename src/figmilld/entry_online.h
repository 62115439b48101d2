#pragma once

// Callers' online requests at an entry: read, held to their team's limit, and
// carried to an agent and back. What is keyed or may not be repeated goes
// through the once handler, which claims it durably before it is sent.

#include <functional>
#include <memory>
#include <unordered_set>

#include "figmill/runtime.h"
#include "figmilld/limit_shares.h"
#include "figmilld/online_call.h"

namespace figmill {

struct OnlineSettings {
  NodeId self;
  DataCentre data_centre;
};

class EntryOnline {
 public:
  // Takes keyed, not repeatable and respond-async requests; it answers `reply`,
  // and runs the work by Run with a claim.
  using OnceHandler = std::function<void(OnlineWork, std::shared_ptr<HttpReply>)>;

  EntryOnline(Loop& loop, HttpClient& client, RpcServer& rpc, Metrics& metrics, Tracer& tracer,
              OnlineSettings settings);
  ~EntryOnline();

  // At each change of configuration or members.
  void Update(std::shared_ptr<const Snapshot> snapshot);
  void SetOnceHandler(OnceHandler handler) { once_ = std::move(handler); }

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
  void Accept(Result<OnlineWork> parsed, std::shared_ptr<HttpReply> reply);

  OnlineParts parts_;
  LimitShares shares_;
  std::shared_ptr<const Snapshot> snapshot_ = std::make_shared<const Snapshot>();
  OnceHandler once_;
  std::unordered_set<std::shared_ptr<OnlineCall>> calls_;
};

// A sink that answers a caller: event streams as they come, the rest whole.
[[nodiscard]] OnlineSink SinkInto(std::shared_ptr<HttpReply> reply);

}  // namespace figmill
