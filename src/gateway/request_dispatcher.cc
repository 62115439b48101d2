#include "gateway/request_dispatcher.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "gateway/error_response.h"
#include "gateway/item_call.h"
#include "gateway/log_text.h"

namespace figmill {
namespace {

// Time that a call about a batch job may need: as long as the store takes, with retries.
constexpr Duration kJobCallTime{2'300'000};
// Retry delay before the first configuration: a process that starts has read it after about this
// time.
constexpr Duration kConfigurationRetryDelay{500'000};

// First-byte timeout of an idempotent request, in multiples of its route's latency goal; after it
// the request is sent to another backend server. Most first events arrive within a tenth of the
// goal.
constexpr int kFirstByteTimeoutFactor = 3;
// Timeout between bytes of a stream, in multiples of its route's target for the gap between events.
constexpr int kNextByteTimeoutFactor = 2;

std::optional<Duration> ParseDeadline(std::string_view text) {
  std::int64_t ms = 0;
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (failure != std::errc{} || end == text.data() || ms < 0) return std::nullopt;
  return std::chrono::milliseconds(ms);
}

bool IsReplacedHeader(const HeaderNames& names, std::string_view header) {
  for (const std::string_view each :
       {std::string_view("Connection"), std::string_view("Keep-Alive"),
        std::string_view("Transfer-Encoding"), std::string_view("Content-Length"),
        std::string_view("TE"), std::string_view("Trailer"), std::string_view("Upgrade"),
        std::string_view("Proxy-Connection"), std::string_view(names.deadline_ms),
        std::string_view(names.expect_backend), std::string_view(names.last_event_id)}) {
    if (SameHeaderName(header, each)) return true;
  }
  return false;
}

}  // namespace

RequestDispatcher::RequestDispatcher(RelayContext& context, const PlatformAdapter& adapter,
                                     JobRequestHandler& jobs, RandomBits random)
    : context_(context), adapter_(adapter), jobs_(jobs), random_(std::move(random)) {}

void RequestDispatcher::Update(std::shared_ptr<const FleetView> view) {
  const bool routes_changed = !view_ || view_->routes != view->routes;
  view_ = std::move(view);
  // Callers may set shorter deadlines under the new routes. Compared with the deadlines seen
  // before, all of their requests would be taken for retries.
  if (routes_changed) retry_detector_ = {};
}

void RequestDispatcher::RefuseTooLate() {
  std::vector<std::shared_ptr<RelayCall>> open;
  for (const auto& [number, weak] : calls_) {
    if (auto call = weak.lock()) open.push_back(std::move(call));
  }
  for (const auto& call : open) call->RefuseIfTooLate();
}

void RequestDispatcher::OnRequest(HttpRequest request, std::shared_ptr<HttpReply> reply) {
  if (!ready()) {
    return Refuse(request, *reply,
                  {ErrorKind::kNoBackend, "no configuration is known yet", Ran::kNo,
                   kConfigurationRetryDelay});
  }
  const std::optional<Result<JobCall>> call = adapter_.ParseJobCall(request);
  const Route* route = call ? nullptr : view_->routes->Find(request.HeaderOr("Host"), request.path);
  if (!call && route == nullptr) {
    return Refuse(request, *reply, {ErrorKind::kNotFound, "no route for this host and path"});
  }
  const Result<std::optional<TeamId>> identified = context_.teams.Identify(request, route);
  if (!IsOk(identified)) return Refuse(request, *reply, ErrorOf(identified));
  const auto& team = std::get<std::optional<TeamId>>(identified);
  if (call || route->kind == RouteKind::kBatch) {
    const auto why = ShutdownError(context_, Loop::Now() + kJobCallTime);
    if (why) return Refuse(request, *reply, *why);
  }
  if (call) {
    if (!IsOk(*call)) return Refuse(request, *reply, ErrorOf(*call));
    return jobs_.Call(ValueOf(*call), team, std::move(reply));
  }
  if (route->kind == RouteKind::kBatch) {
    return jobs_.Submit(*route, view_->routes->version(), team, std::move(request),
                        std::move(reply));
  }
  Relay(*route, team, std::move(request), std::move(reply));
}

void RequestDispatcher::Refuse(const HttpRequest& request, HttpReply& reply,
                               const Error& error) const {
  context_.metrics.RequestEnded("refused", Duration{0}, Duration{0});
  HttpResponse response = ErrorResponseFor(error);
  response.close = context_.shutdown.has_value();
  Log(LogLevel::kInfo, "request",
      {{"request", std::string(request.HeaderOr(context_.names.request_id))},
       {"outcome", "refused"},
       {"status", std::to_string(response.status)},
       {"ms", "0"},
       {"host", std::string(request.HeaderOr("Host"))},
       {"path", request.path},
       {"config", view_ && view_->routes ? std::to_string(view_->routes->version()) : "none"},
       {"config_age_ms", Milliseconds(context_.teams.config_age().value_or(Duration{0}))},
       {"why", error.detail}});
  reply.Send(std::move(response));
}

RelayPlan RequestDispatcher::MakePlan(const Route& route, const HttpRequest& request) const {
  RelayPlan plan;
  plan.request = RequestId{std::string(request.HeaderOr(context_.names.request_id))};
  plan.idempotent = IsIdempotent(route);
  plan.stream = route.kind == RouteKind::kStream;
  plan.resumable = route.resumable;
  plan.max_backends = route.max_backends;
  Duration time_left = route.timeout;
  if (const auto deadline = ParseDeadline(request.HeaderOr(context_.names.deadline_ms))) {
    time_left = std::min(time_left, *deadline);
  }
  plan.deadline = Loop::Now() + time_left;
  plan.first_byte_timeout = route.latency_goal * kFirstByteTimeoutFactor;
  plan.next_byte_timeout = route.event_gap * kNextByteTimeoutFactor;
  const std::string_view after = request.HeaderOr(context_.names.last_event_id);
  if (!after.empty()) plan.after_event = std::string(after);
  return plan;
}

std::vector<Header> RequestDispatcher::ForwardedHeaders(const std::optional<TeamId>& team,
                                                        std::vector<Header> headers) const {
  const HeaderNames& names = context_.names;
  const bool needs_keys = view_->routes->teams() != nullptr;
  std::erase_if(headers, [&names, needs_keys](const Header& header) {
    return IsReplacedHeader(names, header.name) || (needs_keys && IsTeamHeader(names, header.name));
  });
  if (team) headers.push_back({names.team, team->value});
  return headers;
}

int RequestDispatcher::RankOf(const Route& route, const std::optional<TeamId>& name) const {
  const TeamDirectory* teams = view_->routes->teams();
  const Team* team = teams != nullptr && name ? teams->Find(*name) : nullptr;
  return team == nullptr ? route.rank : team->rank.value_or(route.rank);
}

void RequestDispatcher::Relay(const Route& route, std::optional<TeamId> team, HttpRequest request,
                              std::shared_ptr<HttpReply> reply) {
  RelayPlan plan = MakePlan(route, request);
  if (const auto why = ShutdownError(context_, plan.deadline)) return Refuse(request, *reply, *why);
  RelayedRequest relayed;
  relayed.method = std::move(request.method);
  relayed.target = request.path;
  if (!request.query.empty()) relayed.target += "?" + request.query;
  relayed.goal_deadline = Loop::Now() + route.latency_goal;
  const Time now = Loop::Now();
  relayed.last_try = retry_detector_.IsRetry(route.name, plan.deadline - now, now);
  relayed.service = ChooseService(route, random_());
  relayed.route = route.name;
  relayed.config_version = view_->routes->version();
  for (const ServiceShare& share : route.split) relayed.services.push_back(share.service);
  if (plan.after_event) {
    const std::string_view began = request.HeaderOr(context_.names.resumes);
    relayed.resumes = began.empty() ? plan.request : RequestId{std::string(began)};
  }
  relayed.body = std::move(request.body);
  relayed.headers = ForwardedHeaders(team, std::move(request.headers));
  relayed.rank = RankOf(route, team);
  relayed.team = std::move(team);
  const std::uint64_t number = ++last_call_;
  const auto call =
      std::make_shared<RelayCall>(context_, std::move(plan), std::move(relayed), std::move(reply),
                                  [this, number] { calls_.erase(number); });
  calls_[number] = call;
  call->Start();
}

}  // namespace figmill
