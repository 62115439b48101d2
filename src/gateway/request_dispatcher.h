#pragma once

// Takes callers' requests, finds their route and passes them on.

#include <functional>
#include <memory>

#include "figmill/gateway.h"
#include "figmill/overload.h"
#include "gateway/fleet_view.h"
#include "gateway/job_desk.h"
#include "gateway/relay_call.h"

namespace figmill {

class RequestDispatcher {
 public:
  RequestDispatcher(RelayContext& context, const PlatformAdapter& adapter, JobDesk& jobs,
                    RandomBits random);

  void Update(std::shared_ptr<const FleetView> view);
  void OnRequest(HttpRequest request, std::shared_ptr<HttpReply> reply);
  // Answers end their connections from now on.
  void SetLeaving();
  // Requests from now on could not be finished before the process ends.
  void RefuseAll() { refusing_ = true; }
  [[nodiscard]] bool ready() const { return view_ && view_->routes; }
  [[nodiscard]] std::size_t in_flight() const { return in_flight_; }
  // 0: none is known yet.
  [[nodiscard]] std::uint64_t config_version() const {
    return ready() ? view_->routes->version() : 0;
  }

 private:
  void Relay(const Route& route, std::optional<TeamId> team, HttpRequest request,
             std::shared_ptr<HttpReply> reply);
  // What is sent on of a request's headers. With teams the caller's key stays here, and whose
  // request it is says the key, whatever the caller says.
  [[nodiscard]] std::vector<Header> ForwardedHeaders(const std::optional<TeamId>& team,
                                                     std::vector<Header> headers) const;
  void Refuse(const HttpRequest& request, HttpReply& reply, const Error& error) const;
  [[nodiscard]] RelayPlan MakePlan(const Route& route, const HttpRequest& request) const;

  RelayContext& context_;
  const PlatformAdapter& adapter_;
  JobDesk& jobs_;
  RandomBits random_;
  std::shared_ptr<const FleetView> view_;
  RetryDetector retry_detector_;
  std::size_t in_flight_ = 0;
  bool refusing_ = false;
};

}  // namespace figmill
