#pragma once

// Receives callers' requests, finds their route and dispatches them to a relay call or to the job
// API.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "figmill/gateway.h"
#include "figmill/overload.h"
#include "gateway/fleet_view.h"
#include "gateway/job_request_handler.h"
#include "gateway/relay_call.h"

namespace figmill {

class RequestDispatcher {
 public:
  RequestDispatcher(RelayContext& context, const PlatformAdapter& adapter, JobRequestHandler& jobs,
                    RandomBits random);

  void Update(std::shared_ptr<const FleetView> view);
  void OnRequest(HttpRequest request, std::shared_ptr<HttpReply> reply);
  // From now on responses close their connections, and requests that could not finish before the
  // process ends are refused.
  void SetLeaving(const ShutdownPlan& plan) { context_.shutdown = plan; }
  // Refuses those that wait to be sent and can't finish any more.
  void RefuseTooLate();
  [[nodiscard]] bool ready() const { return view_ && view_->routes; }
  [[nodiscard]] std::size_t in_flight() const { return calls_.size(); }
  // 0 if no configuration is known yet.
  [[nodiscard]] std::uint64_t config_version() const {
    return ready() ? view_->routes->version() : 0;
  }

 private:
  void Relay(const Route& route, std::optional<TeamId> team, HttpRequest request,
             std::shared_ptr<HttpReply> reply);
  // The headers to forward to the backend server. If callers need keys, the key is removed, and the
  // team header is set from the key, whatever the caller sent in it.
  [[nodiscard]] std::vector<Header> ForwardedHeaders(const std::optional<TeamId>& team,
                                                     std::vector<Header> headers) const;
  // The rank of the team goes before that of the route.
  [[nodiscard]] int RankOf(const Route& route, const std::optional<TeamId>& name) const;
  void Refuse(const HttpRequest& request, HttpReply& reply, const Error& error) const;
  [[nodiscard]] RelayPlan MakePlan(const Route& route, const HttpRequest& request) const;

  RelayContext& context_;
  const PlatformAdapter& adapter_;
  JobRequestHandler& jobs_;
  RandomBits random_;
  std::shared_ptr<const FleetView> view_;
  RetryDetector retry_detector_;
  std::map<std::uint64_t, std::weak_ptr<RelayCall>> calls_;  // without a final answer yet
  std::uint64_t last_call_ = 0;
};

}  // namespace figmill
