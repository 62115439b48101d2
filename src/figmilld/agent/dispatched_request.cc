#include "figmilld/agent/dispatched_request.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "figmill/documents.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

// Estimated bytes of a JSON body for each token of its prompt.
constexpr std::size_t kBytesPerToken = 6;

std::uint32_t MaxTokens(const Json& body) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto found = body.find(name);
    if (found != body.end() && found->is_number_unsigned()) return found->get<std::uint32_t>();
  }
  return 0;
}

// Item keys are "job/index"; for a key without an index, returns the whole key.
JobId JobIdOf(const ItemKey& item) {
  const std::size_t slash = item.value.rfind('/');
  return JobId{slash == std::string::npos ? item.value : item.value.substr(0, slash)};
}

}  // namespace

DispatchedRequest::DispatchedRequest(DispatchHeaders headers, std::string body, BackendKind kind)
    : headers_(std::move(headers)), kind_(kind), body_(std::move(body)) {
  max_tokens_ = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(headers_.tokens, std::numeric_limits<std::uint32_t>::max()));
  if (kind == BackendKind::kPlain) return;
  Json json = ParseJson(body_);
  if (json.is_object()) {
    const auto stream = json.find("stream");
    wants_stream_ = stream != json.end() && stream->is_boolean() && stream->get<bool>();
    if (max_tokens_ == 0) max_tokens_ = MaxTokens(json);
    if (!wants_stream_) {
      json["stream"] = true;
      body_ = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
  }
  // A sender that has received some tokens has been receiving a stream.
  wants_stream_ = wants_stream_ || headers_.resume_from.value_or(0) > 0;
}

Dispatch DispatchedRequest::ToDispatch() const {
  Dispatch dispatch;
  dispatch.request = headers_.request;
  dispatch.incarnation = headers_.incarnation;
  dispatch.work_class = headers_.work;
  dispatch.service = headers_.service;
  dispatch.item = headers_.item;
  dispatch.repeatable = headers_.repeatable;
  dispatch.time_left = headers_.time_left;
  dispatch.max_tokens = max_tokens_;
  dispatch.prompt_tokens = static_cast<std::uint32_t>(body_.size() / kBytesPerToken);
  dispatch.resume_from = headers_.resume_from;
  if (headers_.stamp) dispatch.stamp = Time(Duration(*headers_.stamp));
  dispatch.owner = headers_.owner;
  dispatch.job = JobIdOf(headers_.item);
  dispatch.epoch = headers_.epoch;
  return dispatch;
}

BackendRequest DispatchedRequest::ToBackendRequest(const std::string& traceparent) const {
  BackendRequest request;
  request.request = headers_.request;
  request.method = headers_.method;
  request.path = headers_.path;
  request.content_type = headers_.content_type;
  request.body = body_;
  request.repeatable = headers_.repeatable;
  if (!headers_.item.empty()) request.headers.emplace_back("X-Item-Key", headers_.item.value);
  if (!traceparent.empty()) request.headers.emplace_back("traceparent", traceparent);
  return request;
}

void DispatchedRequest::ResetAnswer() {
  tokens_ = headers_.resume_from.value_or(0);
  buffered_.clear();
  assembler_ = {};
  last_events_.clear();
}

bool DispatchedRequest::IsEventStream() const {
  return answer_head.content_type.starts_with("text/event-stream");
}

std::string DispatchedRequest::AddAnswerBytes(const AnswerBytes& bytes, std::uint32_t& tokens) {
  tokens = IsEventStream() ? CountEvents(bytes.bytes) : 0;
  tokens_ += tokens;
  if (IsEventStream()) last_events_ = bytes.bytes;
  if (NeedsAssembly()) {
    assembler_.Add(bytes.bytes);
    return {};
  }
  const bool send_now = headers_.work == WorkClass::kOnline && kind_ == BackendKind::kModel;
  if (send_now) return bytes.bytes;
  buffered_ += bytes.bytes;
  return {};
}

std::string DispatchedRequest::TakeRemaining() {
  if (NeedsAssembly()) return assembler_.Whole();
  std::string rest = std::move(buffered_);
  if (IsEventStream()) rest += kDoneEvent;
  return rest;
}

TokenUsage DispatchedRequest::usage() const {
  TokenUsage usage = UsageOf(last_events_);
  if (usage.completion_tokens == 0) usage.completion_tokens = tokens_;
  return usage;
}

std::string DispatchedRequest::content_type() const {
  return NeedsAssembly() ? "application/json" : answer_head.content_type;
}

}  // namespace figmill
