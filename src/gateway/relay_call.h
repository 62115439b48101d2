#pragma once

// Carries out what a RelayRun decides: calls the backend server, answers the caller.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figmill/exchange.h"
#include "figmill/fleet.h"
#include "figmill/gateway.h"
#include "figmill/relay.h"
#include "gateway/crash_watch.h"
#include "gateway/gateway_metrics.h"
#include "gateway/open_sends.h"
#include "gateway/place_finder.h"
#include "gateway/team_access.h"
#include "gateway/traffic_metrics.h"

namespace figmill {

// What all calls share; it outlives them.
struct RelayTools {
  Loop& loop;
  NoRetryHttpClient& client;
  PlaceBook& places;
  PlaceFinder& finder;
  OpenSends& sends;
  CrashWatch& crashes;
  TeamAccess& teams;
  const WireNames& names;
  GatewayMetrics& metrics;
  TrafficMetrics& traffic;
  bool leaving = false;  // answers from now on end their connections
};

// Where a call's bytes to a backend server are counted.
[[nodiscard]] Counter& BytesOf(RelayTools& tools, TrafficKind kind, const BackendId& backend);

// One request as its caller sent it.
struct RelayedRequest {
  std::string method;
  std::string target;           // path and query
  std::vector<Header> headers;  // without those of one connection
  std::string body;
  ServiceName service;
  std::optional<TeamId> team;  // whose key it carried, if callers need keys
  std::string route;
  std::uint64_t config_version = 0;
  Time goal_at{};            // its first answer is late after this
  bool last_chance = false;  // its caller has been refused before
};

class RelayCall : public std::enable_shared_from_this<RelayCall> {
 public:
  RelayCall(RelayTools& tools, RelayPlan plan, RelayedRequest request,
            std::shared_ptr<HttpReply> reply, std::function<void()> finished);

  void Start();

 private:
  void Step(const relay::Event& event);
  // Its team has a request left, or none.
  void OnQuota(const Result<quota::Admitted>& verdict);
  void Do(const relay::AskPlace& action);
  void Do(const relay::Send& action);
  void Do(const relay::SendOver& action);
  void Do(const relay::PassHead& action);
  void Do(relay::PassBytes& action);
  void Do(relay::PassAnswer& action);
  void Do(const relay::Finish& action);
  void Do(const relay::Refuse& action);
  void Do(const relay::BreakOff& action);
  void Do(const relay::SetTimer& action);
  void OnHttp(SendNumber send, HttpEvent event);
  void BeginSend(const relay::Send& action);
  // A backend server was chosen, or there is none.
  void OnPlace(Result<BackendAddress> place);
  // Tells the run once it is known whether the backend server has crashed, so that it doesn't
  // go on to the next one with a request that crashes them.
  void OnConnectionLost(SendNumber send, std::string why);
  void OnWholeAnswer(int status);
  [[nodiscard]] std::optional<Error> Quarantined();
  [[nodiscard]] const RequestFingerprint& Fingerprint();
  [[nodiscard]] CrashWatch::LostSend LostSend();
  void Finished(std::string_view outcome, const std::string& why);
  [[nodiscard]] HttpCall CallFor(const relay::Send& action) const;
  [[nodiscard]] HttpResponse ResponseOf(HttpHead head, std::string body) const;
  void ArmTimer();

  RelayTools& tools_;
  RelayRun run_;
  RelayedRequest request_;
  std::shared_ptr<HttpReply> reply_;
  std::function<void()> finished_;
  CancelCall cancel_;
  TakenPlace place_;
  OpenSends::Number open_send_ = 0;
  std::shared_ptr<PlaceFinder::Search> search_;
  Timer timer_;
  Time timer_at_{};
  Time wanted_at_{};
  bool timer_armed_ = false;
  Time started_at_{};
  Time sent_at_{};
  Time first_byte_at_{};
  int status_ = 0;
  Duration retry_after_{0};                        // said in a refusal
  std::optional<quota::Admitted> charged_;         // to its team
  BackendAddress sent_to_;                         // by the last send
  std::optional<RequestFingerprint> fingerprint_;  // once it was asked for
};

}  // namespace figmill
