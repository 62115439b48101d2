#include "standin/engine.h"

#include <charconv>

#include "standin/run_later.h"

namespace figmill::standin {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxPublishedEvents = 10'000;
constexpr double kPerRandomStep = 1.0 / 18446744073709551616.0;  // 2^-64
constexpr std::string_view kStreams = "/engine/streams/";
constexpr std::string_view kKv = "/engine/kv/";

HttpResponse JsonAnswer(const Json& json) {
  return HttpResponse{.body = json.dump()};
}

std::uint64_t NumberOr(const std::optional<std::string>& text, std::uint64_t fallback) {
  std::uint64_t number = fallback;
  if (text) std::from_chars(text->data(), text->data() + text->size(), number);
  return number;
}

// Errors: kBadRequest.
Result<EngineOrder> ParseOrder(std::string_view body) {
  EngineOrder order;
  try {
    const Json json = Json::parse(body);
    json.at("kind").get_to(order.kind);
    json.at("subject").get_to(order.subject);
    order.version = json.value("version", "");
    json.at("fence").get_to(order.fence);
  } catch (const Json::exception& failure) {
    return Error{ErrorKind::kBadRequest, failure.what()};
  }
  for (const char* kind :
       {"load-model", "unload-model", "load-adapter", "unload-adapter", "role"}) {
    if (order.kind == kind) return order;
  }
  return Error{ErrorKind::kBadRequest, "there is no order '" + order.kind + "'"};
}

// "name" or "name@version".
std::pair<std::string, std::string> NameAndVersion(const std::string& text) {
  const std::size_t at = text.find('@');
  if (at == std::string::npos) return {text, "1"};
  return {text.substr(0, at), text.substr(at + 1)};
}

std::vector<std::string> Versioned(const std::map<std::string, std::string>& names) {
  std::vector<std::string> result;
  result.reserve(names.size());
  for (const auto& [name, version] : names) {
    std::string& text = result.emplace_back(name);
    text += '@';
    text += version;
  }
  return result;
}

}  // namespace

bool SetFault(EngineFaults& faults, const std::string& name, const Json& value) {
  if (name == "delay_ms") {
    value.get_to(faults.delay_ms);
  } else if (name == "swap_answers") {
    value.get_to(faults.swap_answers);
  } else if (name == "drop_cache_events") {
    value.get_to(faults.drop_cache_events);
  } else if (name == "lose_order_answers") {
    value.get_to(faults.lose_order_answers);
  } else {
    return SetFault(faults.backend, name, value);
  }
  return true;
}

Json ToJson(const EngineFaults& faults) {
  Json json = ToJson(faults.backend);
  json["delay_ms"] = faults.delay_ms;
  json["swap_answers"] = faults.swap_answers;
  json["drop_cache_events"] = faults.drop_cache_events;
  json["lose_order_answers"] = faults.lose_order_answers;
  return json;
}

Engine::Engine(Loop& loop, const EngineSettings& settings, RandomBits random)
    : loop_(loop),
      settings_(settings),
      random_(std::move(random)),
      streams_(loop, settings.costs, settings.cancel_on_disconnect) {
  for (const std::string& model : settings_.models) models_.insert(NameAndVersion(model));
  load_timer_ =
      loop_.Every(settings_.load_lag, [this] { reported_load_ = streams_.model().load(); });
  cache_timer_ = loop_.Every(settings_.cache_event_lag, [this] { PublishCacheEvents(); });
}

void Engine::Handle(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  if (request.path.starts_with("/standin/")) return HandleAdmin(request, reply);
  if (faults_.backend.hang) return void_.Swallow(reply);
  if (faults_.backend.down) {
    return reply->Send(ProblemOf(Error{ErrorKind::kOverloaded, "the engine is down"}));
  }
  const bool chat = request.path == "/v1/chat/completions";
  if (chat || request.path == "/v1/completions") {
    if (request.method == "POST") return Complete(request, chat, reply);
    return reply->Send(ProblemOf(Error{ErrorKind::kMethodNotAllowed, "POST is expected"}));
  }
  HandleEngine(request, reply);
}

void Engine::HandleAdmin(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  if (request.path == "/standin/executions") {
    return reply->Send(
        HttpResponse{.content_type = "application/x-ndjson", .body = streams_.executions()});
  }
  if (request.path != "/standin/faults") {
    return reply->Send(ProblemOf(Error{ErrorKind::kNotFound, "there is no such call"}));
  }
  // The streams count these down themselves.
  faults_.swap_answers = streams_.faults().swap_answers;
  faults_.backend.truncate_answers = streams_.faults().truncate_answers;
  faults_.backend.fail_answers = streams_.faults().fail_answers;
  reply->Send(HandleFaults(request, faults_));
  ApplyFaults();
}

void Engine::ApplyFaults() {
  StreamFaults& streams = streams_.faults();
  streams.delay = std::chrono::milliseconds(faults_.delay_ms);
  streams.swap_answers = faults_.swap_answers;
  streams.truncate_answers = faults_.backend.truncate_answers;
  streams.fail_answers = faults_.backend.fail_answers;
  streams_.model().set_extra_step_time(std::chrono::milliseconds(faults_.backend.slow_ms));
}

void Engine::HandleEngine(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  const std::string& path = request.path;
  if (path.starts_with(kStreams)) {
    return HandleStream(path.substr(kStreams.size()), request, reply);
  }
  if (path.starts_with(kKv)) return HandleKv(path.substr(kKv.size()), request, reply);
  if (path == "/engine/orders" && request.method == "POST") return Order(request, reply);
  if (path == "/engine/state") return reply->Send(State());
  if (path == "/engine/load") return reply->Send(Load());
  if (path == "/engine/cache-events") {
    return reply->Send(CacheEvents(NumberOr(request.QueryValue("after"), 0)));
  }
  reply->Send(ProblemOf(Error{ErrorKind::kNotFound, "there is no such call"}));
}

void Engine::HandleStream(const std::string& id, const HttpRequest& request,
                          const std::shared_ptr<HttpReply>& reply) {
  if (request.method == "DELETE") {
    const Result<Ok> cancelled = streams_.Cancel(id);
    return reply->Send(IsOk(cancelled) ? JsonAnswer({{"cancelled", id}})
                                       : ProblemOf(ErrorOf(cancelled)));
  }
  const Result<Ok> followed = streams_.Follow(id, NumberOr(request.QueryValue("from"), 0), reply);
  if (!IsOk(followed)) reply->Send(ProblemOf(ErrorOf(followed)));
}

void Engine::HandleKv(const std::string& id, const HttpRequest& request,
                      const std::shared_ptr<HttpReply>& reply) {
  if (request.method == "PUT") {
    const Result<std::uint64_t> token = streams_.Import(id, request.body);
    return reply->Send(IsOk(token) ? JsonAnswer({{"tokens", ValueOf(token)}})
                                   : ProblemOf(ErrorOf(token)));
  }
  const Result<std::string> exported = streams_.Export(id);
  reply->Send(IsOk(exported) ? HttpResponse{.body = ValueOf(exported)}
                             : ProblemOf(ErrorOf(exported)));
}

void Engine::Complete(const HttpRequest& request, bool chat,
                      const std::shared_ptr<HttpReply>& reply) {
  Result<CompletionRequest> parsed = ParseCompletion(request.body, chat);
  if (!IsOk(parsed)) {
    return reply->Send(HttpResponse{
        .status = 400, .body = OpenAiError("invalid_request_error", ErrorOf(parsed).detail)});
  }
  const std::string& model = ValueOf(parsed).model;
  if (!models_.contains(model) && !adapters_.contains(model)) {
    return reply->Send(HttpResponse{
        .status = 404,
        .body = OpenAiError("model_not_found", "the model '" + model + "' is not loaded")});
  }
  RunLabels labels{.request_id = std::string(request.HeaderOr("X-Request-Id")),
                   .item_key = std::string(request.HeaderOr("X-Item-Key")),
                   .repeatable = request.HeaderOr("X-Repeatable", "true") != "false"};
  if (labels.request_id.empty()) {
    labels.request_id = "unnamed-" + std::to_string(++unnamed_requests_);
  }
  streams_.Start(std::move(labels), std::move(ValueOf(parsed)), reply);
}

void Engine::Order(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
  const Result<EngineOrder> parsed = ParseOrder(request.body);
  if (!IsOk(parsed)) return reply->Send(ProblemOf(ErrorOf(parsed)));
  const EngineOrder& order = ValueOf(parsed);
  if (settings_.checks_fencing && order.fence < fence_) {
    return reply->Send(ProblemOf(Error{
        ErrorKind::kFenced, "an order with fence " + std::to_string(fence_) + " has come before"}));
  }
  fence_ = std::max(fence_, order.fence);
  subject_fences_[order.subject] = order.fence;
  if (!order.kind.starts_with("load-")) {
    CarryOut(order);
    return AnswerOrder(reply);
  }
  // Loading takes its time, and takes effect at its end, whatever was ordered
  // meanwhile: an engine that ignores fences can so revert to an older order.
  RunLater(loop_, settings_.load_model_time, [this, order, reply] {
    const bool newest = subject_fences_[order.subject] == order.fence;
    if (newest || !settings_.checks_fencing) CarryOut(order);
    AnswerOrder(reply);
  });
}

void Engine::CarryOut(const EngineOrder& order) {
  const std::string version = order.version.empty() ? "1" : order.version;
  if (order.kind == "load-model") models_[order.subject] = version;
  if (order.kind == "unload-model") models_.erase(order.subject);
  if (order.kind == "load-adapter") adapters_[order.subject] = version;
  if (order.kind == "unload-adapter") adapters_.erase(order.subject);
  if (order.kind == "role") role_ = order.subject;
}

void Engine::AnswerOrder(const std::shared_ptr<HttpReply>& reply) {
  if (faults_.lose_order_answers > 0) {
    --faults_.lose_order_answers;
    return void_.Swallow(reply);
  }
  reply->Send(State());
}

void Engine::PublishCacheEvents() {
  for (const CacheEvent& event : streams_.model().TakeCacheEvents()) {
    ++last_cache_event_;
    const double draw = static_cast<double>(random_()) * kPerRandomStep;
    if (faults_.drop_cache_events || draw < settings_.cache_event_loss) continue;
    cache_events_.push_back({last_cache_event_, event});
    if (cache_events_.size() > kMaxPublishedEvents) cache_events_.pop_front();
  }
}

HttpResponse Engine::CacheEvents(std::uint64_t after) const {
  Json events = Json::array();
  for (const PublishedEvent& each : cache_events_) {
    if (each.seq <= after) continue;
    const bool stored = each.event.change == CacheChange::kStored;
    events.push_back(
        {{"seq", each.seq}, {"kind", stored ? "stored" : "evicted"}, {"block", each.event.block}});
  }
  return JsonAnswer({{"events", std::move(events)}, {"last", last_cache_event_}});
}

HttpResponse Engine::State() const {
  return JsonAnswer({{"models", Versioned(models_)},
                     {"adapters", Versioned(adapters_)},
                     {"role", role_},
                     {"fence", settings_.checks_fencing ? fence_ : 0}});
}

HttpResponse Engine::Load() const {
  return JsonAnswer({{"running", reported_load_.running},
                     {"waiting", reported_load_.waiting},
                     {"kv_used", reported_load_.kv_used}});
}

}  // namespace figmill::standin
