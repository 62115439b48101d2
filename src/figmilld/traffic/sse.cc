#include "figmilld/traffic/sse.h"

#include <nlohmann/json.hpp>

#include "figmill/documents.h"
#include "figmill/runtime.h"

namespace figmill {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kSeparator = "\n\n";
constexpr std::string_view kData = "data: ";

// The JSON text of one event.
std::string_view DataOf(std::string_view event) {
  return event.starts_with(kData) ? event.substr(kData.size()) : std::string_view();
}

std::string_view LastEvent(std::string_view events) {
  if (events.ends_with(kSeparator)) events.remove_suffix(kSeparator.size());
  const std::size_t before = events.rfind(kSeparator);
  return before == std::string_view::npos ? events : events.substr(before + kSeparator.size());
}

const Json* FirstChoice(const Json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty()) return nullptr;
  return choices->front().is_object() ? &choices->front() : nullptr;
}

bool IsChat(const Json& event) {
  return event.value("object", "").starts_with("chat.");
}

std::string TextOf(const Json& event) {
  const Json* choice = FirstChoice(event);
  if (choice == nullptr) return {};
  const auto delta = choice->find("delta");
  const Json& from = delta != choice->end() ? *delta : *choice;
  const auto text = from.find(delta != choice->end() ? "content" : "text");
  return text != from.end() && text->is_string() ? text->get<std::string>() : std::string();
}

}  // namespace

std::string SseCutter::Feed(std::string_view bytes) {
  pending_.append(bytes);
  const std::size_t last = pending_.rfind(kSeparator);
  if (last == std::string::npos) return {};
  std::string events = pending_.substr(0, last + kSeparator.size());
  pending_.erase(0, last + kSeparator.size());
  if (events.ends_with(kDoneEvent)) {
    done_ = true;
    events.resize(events.size() - kDoneEvent.size());
  }
  return events;
}

std::uint32_t CountEvents(std::string_view events) {
  std::uint32_t count = 0;
  for (std::size_t at = events.find(kSeparator); at != std::string_view::npos;
       at = events.find(kSeparator, at + kSeparator.size())) {
    ++count;
  }
  return count;
}

void AnswerAssembler::Add(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = events.find(kSeparator);
    AddEvent(DataOf(events.substr(0, end)));
    if (end == std::string_view::npos) return;
    events.remove_prefix(end + kSeparator.size());
  }
}

void AnswerAssembler::AddEvent(std::string_view json) {
  const Json event = ParseJson(json);
  if (!event.is_object()) return;
  text_ += TextOf(event);
  last_event_ = json;
}

std::string AnswerAssembler::Whole() const {
  const Json last = ParseJson(last_event_);
  if (!last.is_object()) return {};
  Json whole = last;
  Json choice = {{"index", 0}};
  if (const Json* last_choice = FirstChoice(last)) {
    choice["finish_reason"] = last_choice->value("finish_reason", Json());
  }
  if (IsChat(last)) {
    choice["message"] = {{"role", "assistant"}, {"content", text_}};
    whole["object"] = "chat.completion";
  } else {
    choice["text"] = text_;
  }
  whole["choices"] = Json::array({std::move(choice)});
  return whole.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string ErrorEvent(const Error& error) {
  return "event: error\ndata: " + ProblemOf(error).body + "\n\n";
}

TokenUsage UsageOf(std::string_view events) {
  const Json event = ParseJson(DataOf(LastEvent(events)));
  if (!event.is_object() || !event.contains("usage") || !event["usage"].is_object()) return {};
  const Json& usage = event["usage"];
  TokenUsage result;
  result.completion_tokens = usage.value("completion_tokens", std::uint64_t{0});
  if (const auto details = usage.find("prompt_tokens_details");
      details != usage.end() && details->is_object()) {
    result.cached_tokens = details->value("cached_tokens", std::uint64_t{0});
  }
  return result;
}

}  // namespace figmill
