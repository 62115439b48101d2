#include "figmilld/agent/engine_client.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmilld/traffic/sse.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

// Longer than any pause between two tokens of a healthy engine.
constexpr Duration kIdleTimeout{30'000'000};
constexpr Duration kControlTimeout{2'000'000};
// Long, as an order may load model weights.
constexpr Duration kOrderTimeout{600'000'000};
constexpr int kConflict = 409;         // the stream was cancelled
constexpr int kTooManyRequests = 429;  // the engine's queue is full; nothing was started
constexpr std::string_view kEventStream = "text/event-stream";

std::string_view FindHeader(const HttpHead& head, std::string_view name) {
  const auto same = [](char x, char y) { return std::tolower(x) == std::tolower(y); };
  for (const Header& header : head.headers) {
    if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(), same)) {
      return header.value;
    }
  }
  return {};
}

// State of one answer while it is received.
struct IncomingAnswer {
  RequestId request;
  BackendKind kind = BackendKind::kModel;
  std::function<void(AnswerEvent)> on_event;
  CancelCall cancel;
  AnswerHead head;
  bool events = false;
  bool buffered = false;  // a model engine's response other than events is read to its end first
  std::string buffered_body;
  SseCutter cutter;
  bool finished = false;
};

void Finish(IncomingAnswer& incoming, AnswerEvent last) {
  if (std::exchange(incoming.finished, true)) return;
  if (incoming.cancel) incoming.cancel();
  incoming.on_event(std::move(last));
}

void FailAsBroken(IncomingAnswer& incoming, std::string why) {
  Finish(incoming, AnswerFailed{Error{ErrorKind::kBrokenAnswer, std::move(why), Ran::kUnknown}});
}

// Maps an engine's error response to an error. Only a response that says explicitly that
// the request didn't run counts as not run.
Error ErrorFromResponse(int status, std::string_view body) {
  if (status == kTooManyRequests) {
    return Error{ErrorKind::kOverloaded, "the backend server's queue is full", Ran::kNo};
  }
  if (status == kConflict) {
    return Error{ErrorKind::kNotFound, "the stream was cancelled", Ran::kUnknown};
  }
  const Json problem = ParseJson(body);
  if (problem.is_object() && problem.contains("ran")) return ErrorFromProblem(status, body);
  return Error{ErrorKind::kBackendFailed, "the backend server answered " + std::to_string(status),
               Ran::kUnknown};
}

// Client errors except 409 and 429 are passed on as the engine's answer; other errors are
// failures of the call.
bool IsForwardedStatus(int status) {
  return status < 500 && status != kTooManyRequests && status != kConflict;
}

// Statuses with which a model engine rejects a request when it validates it, before it runs.
bool IsValidationStatus(int status) {
  constexpr std::array<int, 4> kStatuses = {400, 404, 413, 422};
  return std::find(kStatuses.begin(), kStatuses.end(), status) != kStatuses.end();
}

// The engine's error body with the "ran" field that figmill's own errors have: without it
// the caller couldn't tell whether its request ran.
std::string AddNotRun(std::string_view body) {
  Json error_body = ParseJson(body);
  if (!error_body.is_object()) error_body = {{"error", {{"message", std::string(body)}}}};
  error_body["ran"] = std::string(ToString(Ran::kNo));
  return error_body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void OnHead(IncomingAnswer& incoming, const HttpHead& head) {
  // A faulty backend server can swap two answers. The request id in the response reveals it,
  // and the right answer is then requested by the request's own id.
  const std::string_view answered_id = FindHeader(head, "X-Request-Id");
  if (!answered_id.empty() && answered_id != incoming.request.value) {
    Finish(incoming, AnswerFailed{Error{ErrorKind::kBrokenAnswer,
                                        "the answer names another request", Ran::kUnknown}});
    return;
  }
  incoming.head = {head.status, std::string(FindHeader(head, "Content-Type"))};
  incoming.events = incoming.head.content_type.starts_with(kEventStream);
  incoming.buffered = incoming.kind == BackendKind::kModel && !incoming.events;
  if (!incoming.buffered) incoming.on_event(incoming.head);
}

void OnBytes(IncomingAnswer& incoming, std::string_view bytes) {
  if (incoming.buffered) {
    incoming.buffered_body.append(bytes);
    if (incoming.buffered_body.size() > kMaxBodyBytes) {
      FailAsBroken(incoming, "the answer is longer than one may be");
    }
    return;
  }
  if (!incoming.events) {
    incoming.on_event(AnswerBytes{std::string(bytes)});
    return;
  }
  std::string events = incoming.cutter.Feed(bytes);
  if (!events.empty()) incoming.on_event(AnswerBytes{std::move(events)});
  if (incoming.cutter.done()) return Finish(incoming, AnswerEnd{});
  if (incoming.cutter.too_long()) {
    FailAsBroken(incoming, "received bytes that are no event stream");
  }
}

void OnEnd(IncomingAnswer& incoming, const HttpEnd& end) {
  if (incoming.finished) return;
  if (incoming.events) {
    Finish(incoming, AnswerFailed{Error{ErrorKind::kBrokenAnswer,
                                        "the stream ended without its end marker", Ran::kYes}});
    return;
  }
  if (end.by_close && IsForwardedStatus(incoming.head.status)) {
    Finish(incoming, AnswerFailed{Error{ErrorKind::kBrokenAnswer,
                                        "nothing but the close of its connection ended the answer",
                                        Ran::kUnknown}});
    return;
  }
  if (!incoming.buffered) return Finish(incoming, AnswerEnd{});
  if (!IsForwardedStatus(incoming.head.status)) {
    return Finish(incoming,
                  AnswerFailed{ErrorFromResponse(incoming.head.status, incoming.buffered_body)});
  }
  if (IsValidationStatus(incoming.head.status)) {
    incoming.buffered_body = AddNotRun(incoming.buffered_body);
    incoming.head.content_type = "application/json";
  }
  incoming.on_event(incoming.head);
  incoming.on_event(AnswerBytes{std::move(incoming.buffered_body)});
  Finish(incoming, AnswerEnd{});
}

void OnFailure(IncomingAnswer& incoming, const HttpFailure& failure) {
  Finish(incoming,
         AnswerFailed{failure.sent ? Error{ErrorKind::kBrokenAnswer, failure.why, Ran::kUnknown}
                                   : Error{ErrorKind::kBackendFailed, failure.why, Ran::kNo}});
}

// Sets `ran` to unknown in a failure of a resume call, which says whether the resume call
// ran, not whether the request did.
void MarkRunUnknown(AnswerEvent& event) {
  auto* failed = std::get_if<AnswerFailed>(&event);
  if (failed != nullptr && failed->error.kind != ErrorKind::kBrokenAnswer &&
      failed->error.kind != ErrorKind::kNotFound) {
    failed->error.ran = Ran::kUnknown;  // the error's value is that of the resume call
  }
}

}  // namespace

EngineClient::EngineClient(HttpClient& client, const Address& backend, BackendKind kind)
    : client_(client), backend_(backend), kind_(kind) {}

HttpCall EngineClient::MakeCall(std::string method, std::string target) const {
  HttpCall call;
  call.method = std::move(method);
  call.to = backend_;
  call.target = std::move(target);
  return call;
}

CancelCall EngineClient::StartCall(HttpCall call, RequestId request,
                                   std::function<void(AnswerEvent)> on_event) {
  auto incoming = std::make_shared<IncomingAnswer>();
  incoming->request = std::move(request);
  incoming->kind = kind_;
  incoming->on_event = std::move(on_event);
  call.idle_timeout = kIdleTimeout;
  incoming->cancel = client_.Start(std::move(call), [incoming](HttpEvent event) {
    if (incoming->finished) return;
    std::visit(Overloaded{
                   [&](const HttpHead& head) { OnHead(*incoming, head); },
                   [&](const HttpBytes& bytes) { OnBytes(*incoming, bytes.bytes); },
                   [&](const HttpEnd& end) { OnEnd(*incoming, end); },
                   [&](const HttpFailure& failure) { OnFailure(*incoming, failure); },
               },
               event);
  });
  return [incoming] {
    incoming->finished = true;
    incoming->cancel();
  };
}

CancelCall EngineClient::Call(BackendRequest request, std::function<void(AnswerEvent)> on_event) {
  HttpCall call = MakeCall(std::move(request.method), std::move(request.path));
  call.headers = {{"Content-Type", std::move(request.content_type)},
                  {"X-Request-Id", request.request.value},
                  {"X-Repeatable", request.repeatable ? "true" : "false"}};
  for (auto& [name, value] : request.headers) call.headers.push_back({name, value});
  call.body = std::move(request.body);
  call.fresh_connection = !request.repeatable;
  return StartCall(std::move(call), std::move(request.request), std::move(on_event));
}

CancelCall EngineClient::Resume(RequestId request, std::uint64_t from_token,
                                std::function<void(AnswerEvent)> on_event) {
  HttpCall call =
      MakeCall("GET", "/engine/streams/" + request.value + "?from=" + std::to_string(from_token));
  return StartCall(
      std::move(call), std::move(request),
      [on_event = std::move(on_event), not_found = false](AnswerEvent event) mutable {
        MarkRunUnknown(event);
        if (const auto* head = std::get_if<AnswerHead>(&event)) {
          not_found = head->status >= 400;
          if (not_found) {
            on_event(AnswerFailed{
                Error{ErrorKind::kNotFound, "the engine has no such stream", Ran::kUnknown}});
          }
        }
        if (!not_found) on_event(std::move(event));
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
  FetchBody(MakeCall("DELETE", "/engine/streams/" + request.value),
            [done = std::move(done)](const Result<std::string>& body) {
              if (!IsOk(body)) return done(ErrorOf(body));
              done(Ok{});
            });
}

void EngineClient::Order(EngineOrder order, std::function<void(Result<Ok>)> done) {
  HttpCall call = MakeCall("POST", "/engine/orders");
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
  FetchBody(MakeCall("GET", "/engine/state"),
            [done = std::move(done)](const Result<std::string>& body) {
              if (!IsOk(body)) return done(ErrorOf(body));
              try {
                const Json json = ParseJsonOrThrow(ValueOf(body));
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
  FetchBody(MakeCall("GET", "/engine/load"),
            [done = std::move(done)](const Result<std::string>& body) {
              if (!IsOk(body)) return done(ErrorOf(body));
              try {
                const Json json = ParseJsonOrThrow(ValueOf(body));
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
  FetchBody(MakeCall("GET", "/engine/kv/" + request.value), std::move(done));
}

void EngineClient::Import(const RequestId& request, std::string exported,
                          std::function<void(Result<Ok>)> done) {
  HttpCall call = MakeCall("PUT", "/engine/kv/" + request.value);
  call.headers = {{"Content-Type", "application/json"}};
  call.body = std::move(exported);
  FetchBody(std::move(call), [done = std::move(done)](const Result<std::string>& body) {
    if (!IsOk(body)) return done(ErrorOf(body));
    done(Ok{});
  });
}

}  // namespace figmill
