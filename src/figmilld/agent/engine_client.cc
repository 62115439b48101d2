#include "figmilld/agent/engine_client.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>

#include "figmilld/traffic/sse.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

// Longer than any pause between two tokens of an engine that works.
constexpr Duration kLongestSilence{30'000'000};
constexpr Duration kControlTimeout{2'000'000};
// Loading weights takes its time.
constexpr Duration kOrderTimeout{600'000'000};
constexpr int kConflict = 409;         // the engine: the stream was cancelled
constexpr int kTooManyRequests = 429;  // the engine: its queue is full, nothing was started
constexpr std::string_view kEventStream = "text/event-stream";

std::string_view HeaderOf(const HttpHead& head, std::string_view name) {
  const auto same = [](char x, char y) { return std::tolower(x) == std::tolower(y); };
  for (const Header& header : head.headers) {
    if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(), same)) {
      return header.value;
    }
  }
  return {};
}

// One answer on its way in.
struct Incoming {
  RequestId request;
  BackendKind kind = BackendKind::kModel;
  std::function<void(AnswerEvent)> on_event;
  CancelCall cancel;
  AnswerHead head;
  bool events = false;
  bool held = false;  // a model engine's refusal, read to its end first
  std::string refusal;
  SseCutter cutter;
  bool over = false;
};

void Finish(Incoming& incoming, AnswerEvent last) {
  if (std::exchange(incoming.over, true)) return;
  if (incoming.cancel) incoming.cancel();
  incoming.on_event(std::move(last));
}

// What an engine's refusal means. Only what says so plainly counts as not run.
Error RefusalOf(int status, std::string_view body) {
  if (status == kTooManyRequests) {
    return Error{ErrorKind::kOverloaded, "the backend server takes no more", Ran::kNo};
  }
  if (status == kConflict) {
    return Error{ErrorKind::kNotFound, "the stream was cancelled", Ran::kUnknown};
  }
  const Json problem = Json::parse(body, nullptr, false);
  if (problem.is_object() && problem.contains("ran")) return ErrorFromProblem(status, body);
  return Error{ErrorKind::kBackendFailed, "the backend server answered " + std::to_string(status),
               Ran::kUnknown};
}

// A caller's mistake is the engine's answer; the rest is a failure.
bool IsAnswer(int status) {
  return status < 500 && status != kTooManyRequests && status != kConflict;
}

// A model engine checks a request before it begins with it.
bool IsCheckedBefore(int status) {
  constexpr std::array<int, 4> kStatuses = {400, 404, 413, 422};
  return std::find(kStatuses.begin(), kStatuses.end(), status) != kStatuses.end();
}

// The engine's words with what figmill's own refusals say: passed on as they are, they would
// leave the caller in doubt whether its work ran.
std::string RefusalWithRan(std::string_view body) {
  Json refusal = Json::parse(body, nullptr, false);
  if (!refusal.is_object()) refusal = {{"error", {{"message", std::string(body)}}}};
  refusal["ran"] = std::string(ToString(Ran::kNo));
  return refusal.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void OnHead(Incoming& incoming, const HttpHead& head) {
  // What goes wrong: the backend server crosses two answers. The id that it
  // names shows it, and the right answer is asked for by the request's own id.
  const std::string_view named = HeaderOf(head, "X-Request-Id");
  if (!named.empty() && named != incoming.request.value) {
    Finish(incoming, AnswerFailed{Error{ErrorKind::kBrokenAnswer,
                                        "the answer names another request", Ran::kUnknown}});
    return;
  }
  incoming.head = {head.status, std::string(HeaderOf(head, "Content-Type"))};
  incoming.events = incoming.head.content_type.starts_with(kEventStream);
  incoming.held = incoming.kind == BackendKind::kModel && !incoming.events;
  if (!incoming.held) incoming.on_event(incoming.head);
}

void OnBytes(Incoming& incoming, std::string_view bytes) {
  if (incoming.held) {
    incoming.refusal.append(bytes);
    return;
  }
  if (!incoming.events) {
    incoming.on_event(AnswerBytes{std::string(bytes)});
    return;
  }
  std::string events = incoming.cutter.Feed(bytes);
  if (!events.empty()) incoming.on_event(AnswerBytes{std::move(events)});
  if (incoming.cutter.done()) Finish(incoming, AnswerEnd{});
}

void OnEnd(Incoming& incoming) {
  if (incoming.over) return;
  if (incoming.events) {
    Finish(incoming, AnswerFailed{Error{ErrorKind::kBrokenAnswer,
                                        "the stream ended without its marker", Ran::kYes}});
    return;
  }
  if (!incoming.held) return Finish(incoming, AnswerEnd{});
  if (!IsAnswer(incoming.head.status)) {
    return Finish(incoming, AnswerFailed{RefusalOf(incoming.head.status, incoming.refusal)});
  }
  if (IsCheckedBefore(incoming.head.status)) {
    incoming.refusal = RefusalWithRan(incoming.refusal);
    incoming.head.content_type = "application/json";
  }
  incoming.on_event(incoming.head);
  incoming.on_event(AnswerBytes{std::move(incoming.refusal)});
  Finish(incoming, AnswerEnd{});
}

void OnFailure(Incoming& incoming, const HttpFailure& failure) {
  Finish(incoming,
         AnswerFailed{failure.sent ? Error{ErrorKind::kBrokenAnswer, failure.why, Ran::kUnknown}
                                   : Error{ErrorKind::kBackendFailed, failure.why, Ran::kNo}});
}

// Resuming: the engine doesn't have the stream.
void MarkGone(AnswerEvent& event) {
  auto* failed = std::get_if<AnswerFailed>(&event);
  if (failed != nullptr && failed->error.kind != ErrorKind::kBrokenAnswer &&
      failed->error.kind != ErrorKind::kNotFound) {
    failed->error.ran = Ran::kUnknown;  // of the resume, not of the run
  }
}

}  // namespace

EngineClient::EngineClient(HttpClient& client, const Address& backend, BackendKind kind)
    : client_(client), backend_(backend), kind_(kind) {}

HttpCall EngineClient::CallTo(std::string method, std::string target) const {
  HttpCall call;
  call.method = std::move(method);
  call.to = backend_;
  call.target = std::move(target);
  return call;
}

CancelCall EngineClient::StartAnswer(HttpCall call, RequestId request,
                                     std::function<void(AnswerEvent)> on_event) {
  auto incoming = std::make_shared<Incoming>();
  incoming->request = std::move(request);
  incoming->kind = kind_;
  incoming->on_event = std::move(on_event);
  call.idle_timeout = kLongestSilence;
  incoming->cancel = client_.Start(std::move(call), [incoming](HttpEvent event) {
    if (incoming->over) return;
    std::visit(Overloaded{
                   [&](const HttpHead& head) { OnHead(*incoming, head); },
                   [&](const HttpBytes& bytes) { OnBytes(*incoming, bytes.bytes); },
                   [&](const HttpEnd&) { OnEnd(*incoming); },
                   [&](const HttpFailure& failure) { OnFailure(*incoming, failure); },
               },
               event);
  });
  return [incoming] {
    incoming->over = true;
    incoming->cancel();
  };
}

CancelCall EngineClient::Call(BackendRequest request, std::function<void(AnswerEvent)> on_event) {
  HttpCall call = CallTo(std::move(request.method), std::move(request.path));
  call.headers = {{"Content-Type", std::move(request.content_type)},
                  {"X-Request-Id", request.request.value},
                  {"X-Repeatable", request.repeatable ? "true" : "false"}};
  for (auto& [name, value] : request.headers) call.headers.push_back({name, value});
  call.body = std::move(request.body);
  call.fresh_connection = !request.repeatable;
  return StartAnswer(std::move(call), std::move(request.request), std::move(on_event));
}

CancelCall EngineClient::Resume(RequestId request, std::uint64_t from_token,
                                std::function<void(AnswerEvent)> on_event) {
  HttpCall call =
      CallTo("GET", "/engine/streams/" + request.value + "?from=" + std::to_string(from_token));
  return StartAnswer(
      std::move(call), std::move(request),
      [on_event = std::move(on_event), gone = false](AnswerEvent event) mutable {
        MarkGone(event);
        if (const auto* head = std::get_if<AnswerHead>(&event)) {
          gone = head->status >= 400;
          if (gone) {
            on_event(AnswerFailed{
                Error{ErrorKind::kNotFound, "the engine holds no such stream", Ran::kUnknown}});
          }
        }
        if (!gone) on_event(std::move(event));
      });
}

void EngineClient::FetchBody(HttpCall call, std::function<void(Result<std::string>)> done) {
  if (call.total_timeout.count() == 0) call.total_timeout = kControlTimeout;
  client_.Fetch(std::move(call), [done = std::move(done)](Result<HttpResponse> response) {
    if (!IsOk(response)) return done(ErrorOf(response));
    HttpResponse& answer = ValueOf(response);
    if (answer.status >= 400) return done(ErrorFromProblem(answer.status, answer.body));
    done(std::move(answer.body));
  });
}

void EngineClient::Cancel(RequestId request, std::function<void(Result<Ok>)> done) {
  FetchBody(CallTo("DELETE", "/engine/streams/" + request.value),
            [done = std::move(done)](const Result<std::string>& body) {
              if (!IsOk(body)) return done(ErrorOf(body));
              done(Ok{});
            });
}

void EngineClient::Order(EngineOrder order, std::function<void(Result<Ok>)> done) {
  HttpCall call = CallTo("POST", "/engine/orders");
  call.headers = {{"Content-Type", "application/json"}};
  call.body = Json{{"kind", order.kind},
                   {"subject", order.subject},
                   {"version", order.version},
                   {"fence", order.fence}}
                  .dump();
  call.total_timeout = kOrderTimeout;
  FetchBody(std::move(call), [done = std::move(done)](const Result<std::string>& body) {
    if (!IsOk(body)) return done(ErrorOf(body));
    done(Ok{});
  });
}

void EngineClient::State(std::function<void(Result<EngineState>)> done) {
  FetchBody(CallTo("GET", "/engine/state"),
            [done = std::move(done)](const Result<std::string>& body) {
              if (!IsOk(body)) return done(ErrorOf(body));
              try {
                const Json json = Json::parse(ValueOf(body));
                EngineState state;
                json.at("models").get_to(state.models);
                json.at("adapters").get_to(state.adapters);
                json.at("role").get_to(state.role);
                json.at("fence").get_to(state.fence);
                done(std::move(state));
              } catch (const Json::exception& failure) {
                done(Error{ErrorKind::kBackendFailed, failure.what(), Ran::kUnknown});
              }
            });
}

void EngineClient::Load(std::function<void(Result<EngineLoad>)> done) {
  FetchBody(CallTo("GET", "/engine/load"),
            [done = std::move(done)](const Result<std::string>& body) {
              if (!IsOk(body)) return done(ErrorOf(body));
              try {
                const Json json = Json::parse(ValueOf(body));
                EngineLoad load;
                json.at("running").get_to(load.running);
                json.at("waiting").get_to(load.waiting);
                json.at("kv_used").get_to(load.kv_used);
                done(load);
              } catch (const Json::exception& failure) {
                done(Error{ErrorKind::kBackendFailed, failure.what(), Ran::kUnknown});
              }
            });
}

void EngineClient::Export(const RequestId& request, std::function<void(Result<std::string>)> done) {
  FetchBody(CallTo("GET", "/engine/kv/" + request.value), std::move(done));
}

void EngineClient::Import(const RequestId& request, std::string exported,
                          std::function<void(Result<Ok>)> done) {
  HttpCall call = CallTo("PUT", "/engine/kv/" + request.value);
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::move(exported);
  FetchBody(std::move(call), [done = std::move(done)](const Result<std::string>& body) {
    if (!IsOk(body)) return done(ErrorOf(body));
    done(Ok{});
  });
}

}  // namespace figmill
