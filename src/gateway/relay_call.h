#pragma once

// Executes the actions of a RelayStateMachine: calls the backend server and answers the caller.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figmill/exchange.h"
#include "figmill/fleet.h"
#include "figmill/gateway.h"
#include "figmill/relay.h"
#include "figmill/shutdown.h"
#include "gateway/crash_tracker.h"
#include "gateway/gateway_metrics.h"
#include "gateway/open_sends.h"
#include "gateway/slot_finder.h"
#include "gateway/stream_sources_client.h"
#include "gateway/team_access.h"
#include "gateway/traffic_metrics.h"

namespace figmill {

// Dependencies that all relay calls share. They outlive the calls.
struct RelayContext {
  Loop& loop;
  NoRetryHttpClient& client;
  BackendPool& backends;
  SlotFinder& slot_finder;
  StreamSourcesClient& stream_sources;
  OpenSends& open_sends;
  CrashTracker& crash_tracker;
  TeamAccess& teams;
  const HeaderNames& names;
  GatewayMetrics& metrics;
  TrafficMetrics& traffic;
  // Set while this process shuts down. Responses then close their connections.
  std::optional<ShutdownPlan> shutdown = std::nullopt;
};

// The error for a request that arrives too late to get its final answer before this process ends;
// nullopt if it is accepted. `deadline`: when it gets that answer at the latest.
[[nodiscard]] std::optional<Error> ShutdownError(const RelayContext& context, Time deadline);

// The counter for bytes exchanged with the backend server.
[[nodiscard]] Counter& BackendBytesCounter(RelayContext& context, TrafficKind kind,
                                           const BackendId& backend);

// One request as its caller sent it.
struct RelayedRequest {
  std::string method;
  std::string target;           // path and query
  std::vector<Header> headers;  // without hop-by-hop headers
  std::string body;
  ServiceName service;
  std::vector<ServiceName> services;  // to which the route leads
  std::optional<TeamId> team;         // the team of its key, if callers need keys
  std::string route;
  std::uint64_t config_version = 0;
  // The attempt that began the stream which this request resumes; empty if it resumes none.
  RequestId resumes;
  Time goal_deadline{};   // when its first byte is due by the latency goal
  bool last_try = false;  // the request is a retry of one that was refused
  int rank = 0;           // of the team, or of the route if the team has none
};

class RelayCall : public std::enable_shared_from_this<RelayCall> {
 public:
  RelayCall(RelayContext& context, RelayPlan plan, RelayedRequest request,
            std::shared_ptr<HttpReply> reply, std::function<void()> on_finished);

  void Start();
  // Refuses the request if it waits to be sent and can't end before this process does.
  void RefuseIfTooLate();

 private:
  void Step(const relay::Event& event);
  // Continues after the quota check of the request's team.
  void OnQuotaDecision(const Result<quota::Admitted>& decision);
  void Do(const relay::FindSource& action);
  void Do(const relay::ChooseBackend& action);
  void Do(const relay::Send& action);
  void Do(const relay::CloseSend& action);
  void Do(const relay::RecordSource& action);
  void Do(const relay::ForwardHead& action);
  void Do(relay::ForwardBytes& action);
  void Do(relay::ForwardAnswer& action);
  void Do(const relay::Finish& action);
  void Do(const relay::SendError& action);
  void Do(const relay::AbortAnswer& action);
  void Do(const relay::SetTimer& action);
  // Continues at the service that began the stream, or with the error.
  void OnSourceFound(const Result<OutputSource>& found);
  void OnHttpEvent(SendNumber send, HttpEvent event);
  void BeginSend(const relay::Send& action);
  void RecordEvents();
  // Continues with the backend server that was found, or with the error.
  void OnBackendFound(Result<BackendAddress> found);
  // Passes the failure to the state machine only after the check whether the backend server has
  // crashed. Otherwise a request that crashes backend servers would be retried on the next one.
  void OnConnectionLost(SendNumber send, std::string why);
  // Nothing but the close of its connection shows that the answer is whole.
  void OnEndByClose(SendNumber send, const HttpEnd& end);
  void OnWholeAnswer(int status);
  [[nodiscard]] std::optional<Error> CheckShutdown() const;
  [[nodiscard]] std::optional<Error> CheckQuarantine();
  // What may be to blame if a backend server crashes: the request, then the parts of its prompt.
  [[nodiscard]] const std::vector<Fingerprint>& Suspects();
  [[nodiscard]] std::vector<Fingerprint> PartSuspects() const;
  [[nodiscard]] LostSend MakeLostSend();
  void Complete(std::string_view outcome, const std::string& why);
  [[nodiscard]] HttpCall MakeHttpCall(const relay::Send& action) const;
  [[nodiscard]] HttpResponse MakeResponse(HttpHead head, std::string body) const;
  void ArmTimer();

  RelayContext& context_;
  RelayStateMachine state_machine_;
  RelayedRequest request_;
  std::shared_ptr<HttpReply> reply_;
  std::function<void()> on_finished_;
  CancelCall cancel_;
  AcquiredSlot slot_;
  RunTimer run_timer_;
  OpenSends::Id open_send_id_ = 0;
  std::shared_ptr<SlotFinder::Search> search_;
  std::shared_ptr<StreamSourcesClient::Search> source_search_;
  Timer timer_;
  Time timer_at_{};        // when timer_ fires
  Time timer_deadline_{};  // when the state machine wants it to fire
  bool timer_armed_ = false;
  Time started_at_{};
  Time sent_at_{};
  Duration suspended_before_send_{0};     // Loop::Suspended at sent_at_
  std::uint64_t events_before_send_ = 0;  // forwarded when the last send began
  bool parts_are_sound_ = false;          // the last send has shown it
  Time first_byte_at_{};
  int status_ = 0;
  Duration retry_after_{0};                 // sent in an error response
  std::optional<quota::Admitted> charged_;  // against its team's quota
  std::uint64_t quota_ticket_ = 0;
  Duration quota_patience_{0};  // how long it may wait for a credit of its team's quota
  Duration quota_wait_{0};
  BackendAddress sent_to_;             // backend server of the last send
  std::vector<Fingerprint> suspects_;  // computed on first use
};

}  // namespace figmill
