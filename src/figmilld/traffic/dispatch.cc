#include "figmilld/traffic/dispatch.h"

#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill {
namespace {

// Longer than any silence of an engine that still works on the answer.
constexpr Duration kLongestSilence{120'000'000};
constexpr Duration kStatusTimeout{1'000'000};

template <typename Number>
bool ReadNumber(std::string_view text, Number& into) {
  const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), into);
  return failure == std::errc{} && end == text.data() + text.size();
}

Error BadHeader(std::string_view name, std::string_view value) {
  return Error{ErrorKind::kBadRequest,
               "header " + std::string(name) + " has no valid value: '" + std::string(value) + "'"};
}

// An absent header leaves the default.
template <typename Number>
bool ReadHeader(const HttpRequest& request, std::string_view name, Number& into) {
  const std::string_view value = request.HeaderOr(name);
  return value.empty() || ReadNumber(value, into);
}

bool ReadOptional(const HttpRequest& request, std::string_view name,
                  std::optional<std::uint64_t>& into) {
  if (request.HeaderOr(name).empty()) return true;
  return ReadHeader(request, name, into.emplace());
}

Result<Ok> ReadNumbers(const HttpRequest& request, DispatchHeaders& dispatch) {
  std::uint64_t milliseconds = 60'000;
  const auto bad = [&](std::string_view name) { return BadHeader(name, request.HeaderOr(name)); };
  if (!ReadHeader(request, "Figmill-Incarnation", dispatch.incarnation)) {
    return bad("Figmill-Incarnation");
  }
  if (!ReadHeader(request, "Figmill-Deadline-Ms", milliseconds)) return bad("Figmill-Deadline-Ms");
  if (!ReadHeader(request, "Figmill-Tokens", dispatch.tokens)) return bad("Figmill-Tokens");
  if (!ReadOptional(request, "Figmill-Resume-From", dispatch.resume_from)) {
    return bad("Figmill-Resume-From");
  }
  if (!ReadOptional(request, "Figmill-Stamp", dispatch.stamp)) return bad("Figmill-Stamp");
  if (!ReadHeader(request, "Figmill-Orders", dispatch.orders)) return bad("Figmill-Orders");
  if (!ReadHeader(request, "Figmill-Epoch", dispatch.epoch)) return bad("Figmill-Epoch");
  dispatch.time_left = std::chrono::milliseconds(milliseconds);
  return Ok{};
}

// One answer being read.
struct Incoming {
  std::function<void(DispatchEvent)> on_event;
  FrameReader reader;
  int status = 0;
  std::string problem;
  std::uint64_t data_bytes = 0;
  bool over = false;
};

void Finish(Incoming& incoming, DispatchEvent last) {
  if (std::exchange(incoming.over, true)) return;
  incoming.on_event(std::move(last));
}

void Relay(Incoming& incoming, Frame frame) {
  if (incoming.over) return;
  if (const auto* data = std::get_if<FrameData>(&frame)) incoming.data_bytes += data->bytes.size();
  if (const auto* end = std::get_if<FrameEnd>(&frame)) {
    if (end->bytes != incoming.data_bytes) {
      Finish(incoming, DispatchBroke{true, "the answer has " + std::to_string(incoming.data_bytes) +
                                               " bytes, not " + std::to_string(end->bytes)});
      return;
    }
  }
  const bool last =
      std::holds_alternative<FrameEnd>(frame) || std::holds_alternative<FrameFailure>(frame);
  DispatchEvent event =
      std::visit([](auto& inner) { return DispatchEvent{std::move(inner)}; }, frame);
  if (last) {
    Finish(incoming, std::move(event));
  } else {
    incoming.on_event(std::move(event));
  }
}

void ReadBytes(Incoming& incoming, std::string_view bytes) {
  if (incoming.over) return;
  if (incoming.status != 200) {
    incoming.problem.append(bytes);
    return;
  }
  Result<std::vector<Frame>> frames = incoming.reader.Feed(bytes);
  if (!IsOk(frames)) {
    Finish(incoming, DispatchBroke{true, ErrorOf(frames).detail});
    return;
  }
  for (Frame& frame : ValueOf(frames)) Relay(incoming, std::move(frame));
}

void EndOfHttp(Incoming& incoming) {
  if (incoming.status != 200) {
    Finish(incoming, DispatchRefused{ErrorFromProblem(incoming.status, incoming.problem)});
    return;
  }
  Finish(incoming, DispatchBroke{true, "the answer ended without its final frame"});
}

}  // namespace

std::vector<Header> ToHeaders(const DispatchHeaders& dispatch) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(dispatch.time_left).count();
  std::vector<Header> headers = {
      {"Content-Type", dispatch.content_type},
      {"Figmill-Request", dispatch.request.value},
      {"Figmill-Incarnation", std::to_string(dispatch.incarnation)},
      {"Figmill-Class", dispatch.work == WorkClass::kOnline ? "online" : "batch"},
      {"Figmill-Service", dispatch.service.value},
      {"Figmill-Method", dispatch.method},
      {"Figmill-Path", dispatch.path},
      {"Figmill-Repeatable", dispatch.repeatable ? "true" : "false"},
      {"Figmill-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, milliseconds))},
      {"Figmill-Tokens", std::to_string(dispatch.tokens)},
      {"Figmill-Orders", std::to_string(dispatch.orders)},
  };
  if (dispatch.resume_from) {
    headers.push_back({"Figmill-Resume-From", std::to_string(*dispatch.resume_from)});
  }
  if (dispatch.stamp) headers.push_back({"Figmill-Stamp", std::to_string(*dispatch.stamp)});
  if (!dispatch.item.empty()) headers.push_back({"Figmill-Item", dispatch.item.value});
  if (!dispatch.traceparent.empty()) headers.push_back({"traceparent", dispatch.traceparent});
  if (dispatch.work == WorkClass::kBatch) {
    headers.push_back({"Figmill-Owner", dispatch.owner.value});
    headers.push_back({"Figmill-Epoch", std::to_string(dispatch.epoch)});
  }
  return headers;
}

Result<DispatchHeaders> ParseDispatch(const HttpRequest& request) {
  DispatchHeaders dispatch;
  dispatch.request.value = request.HeaderOr("Figmill-Request");
  if (dispatch.request.empty()) return BadHeader("Figmill-Request", "");
  const std::string_view work = request.HeaderOr("Figmill-Class", "online");
  if (work != "online" && work != "batch") return BadHeader("Figmill-Class", work);
  dispatch.work = work == "batch" ? WorkClass::kBatch : WorkClass::kOnline;
  const std::string_view repeatable = request.HeaderOr("Figmill-Repeatable", "true");
  if (repeatable != "true" && repeatable != "false") {
    return BadHeader("Figmill-Repeatable", repeatable);
  }
  dispatch.repeatable = repeatable == "true";
  dispatch.service.value = request.HeaderOr("Figmill-Service");
  dispatch.method = request.HeaderOr("Figmill-Method", "POST");
  dispatch.path = request.HeaderOr("Figmill-Path", "/");
  dispatch.content_type = request.HeaderOr("Content-Type", "application/json");
  dispatch.item.value = request.HeaderOr("Figmill-Item");
  dispatch.owner.value = request.HeaderOr("Figmill-Owner");
  dispatch.traceparent = request.HeaderOr("traceparent");
  const Result<Ok> numbers = ReadNumbers(request, dispatch);
  if (!IsOk(numbers)) return ErrorOf(numbers);
  return dispatch;
}

namespace {

CancelCall SendNow(HttpClient& client, const Address& agent, const DispatchHeaders& dispatch,
                   std::string body, std::function<void(DispatchEvent)> on_event) {
  HttpCall call;
  call.method = "POST";
  call.to = agent;
  call.target = "/agent/run";
  call.headers = ToHeaders(dispatch);
  call.body = std::move(body);
  call.idle_timeout = kLongestSilence;
  // Over a pooled connection that breaks when the agent is killed, the client would
  // send again, to the agent's successor; that one's "not run" is true of itself
  // and false of the request, which would then run a second time elsewhere.
  call.fresh_connection = !dispatch.repeatable;
  auto incoming = std::make_shared<Incoming>();
  incoming->on_event = std::move(on_event);
  return client.Start(std::move(call), [incoming](HttpEvent event) {
    std::visit(Overloaded{
                   [&](HttpHead& head) { incoming->status = head.status; },
                   [&](HttpBytes& bytes) { ReadBytes(*incoming, bytes.bytes); },
                   [&](HttpEnd&) { EndOfHttp(*incoming); },
                   [&](HttpFailure& failure) {
                     Finish(*incoming, DispatchBroke{failure.sent, failure.why});
                   },
               },
               event);
  });
}

// The stamp of an agent's status document.
std::optional<std::uint64_t> StampOf(const Result<HttpResponse>& status) {
  if (!IsOk(status) || ValueOf(status).status != 200) return std::nullopt;
  const auto body = ParseJson(ValueOf(status).body);
  if (!body.is_object() || !body.contains("stamp")) return std::nullopt;
  return body["stamp"].get<std::uint64_t>();
}

}  // namespace

CancelCall SendDispatch(HttpClient& client, const Address& agent, const DispatchHeaders& dispatch,
                        std::string body, std::function<void(DispatchEvent)> on_event) {
  if (dispatch.repeatable || dispatch.resume_from || dispatch.stamp) {
    return SendNow(client, agent, dispatch, std::move(body), std::move(on_event));
  }
  HttpCall ask;
  ask.to = agent;
  ask.target = "/agent/status";
  ask.total_timeout = kStatusTimeout;
  auto cancel = std::make_shared<CancelCall>();
  *cancel = client.Fetch(std::move(ask), [&client, agent, headers = dispatch,
                                          body = std::move(body), on_event = std::move(on_event),
                                          cancel](const Result<HttpResponse>& status) mutable {
    headers.stamp = StampOf(status);
    if (!headers.stamp) {
      on_event(DispatchBroke{false, "the agent didn't tell its stamp"});
      return;
    }
    *cancel = SendNow(client, agent, headers, std::move(body), std::move(on_event));
  });
  return [cancel] { (*cancel)(); };
}

}  // namespace figmill
